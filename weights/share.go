package weights

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

const (
	peerTimeout   = time.Second     // one short call to another daemon
	surveyTimeout = 5 * time.Second // one share of a survey
	shareLeast    = 4               // replicas that are worth a share of their own
	announceLimit = 32              // announcements in progress
	waveTimeout   = activateTimeout + surveyTimeout
)

// share is the part of a pool's replicas that one daemon reads or switches.
type share struct {
	member  fleet.Member
	targets []*weightspb.Target
	indexes []int // places in the whole list
}

func targetsOf(replicas []fleet.Replica) []*weightspb.Target {
	targets := make([]*weightspb.Target, len(replicas))
	for i, r := range replicas {
		targets[i] = &weightspb.Target{Replica: r.ID, Address: r.Address}
	}
	return targets
}

// shares splits targets evenly over as many members as have at least shareLeast each.
func (m *Manager) shares(targets []*weightspb.Target) []share {
	members := m.parts.View.Members()
	count := min(len(members), (len(targets)+shareLeast-1)/shareLeast)
	if count <= 1 {
		members = []fleet.Member{m.parts.View.Self()}
		count = 1
	}
	split := make([]share, count)
	for i, t := range targets {
		s := &split[i%count]
		s.member = members[i%count]
		s.targets = append(s.targets, t)
		s.indexes = append(s.indexes, i)
	}
	return split
}

// client returns the drpc client of a member.
func (m *Manager) client(ctx context.Context, member fleet.Member) (weightspb.DRPCWeightsClient, error) {
	conn, err := m.parts.Conns.Conn(ctx, member.PeerAddress)
	if err != nil {
		return nil, err
	}
	return weightspb.NewDRPCWeightsClient(conn), nil
}

// surveyAll reads all targets through the members. A member that does not answer has
// its share read by this daemon.
func (m *Manager) surveyAll(ctx context.Context, targets []*weightspb.Target) []*weightspb.ReplicaReport {
	return m.eachShare(targets, func(s share) *weightspb.SurveyReply {
		if reply, err := m.surveyMember(ctx, s); err == nil {
			return reply
		}
		return m.surveyShare(ctx, s.targets)
	})
}

func (m *Manager) surveyMember(ctx context.Context, s share) (*weightspb.SurveyReply, error) {
	if s.member.ID == m.parts.View.Self().ID {
		return m.surveyShare(ctx, s.targets), nil
	}
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	client, err := m.client(ctx, s.member)
	if err != nil {
		return nil, err
	}
	return whole(client.Survey(peer.WithProgress(ctx, surveyTimeout), &weightspb.SurveyRequest{Targets: s.targets}))(s)
}

// whole refuses a reply that does not answer every target of the share.
func whole(reply *weightspb.SurveyReply, err error) func(share) (*weightspb.SurveyReply, error) {
	return func(s share) (*weightspb.SurveyReply, error) {
		if err != nil {
			return nil, err
		}
		if len(reply.Reports) != len(s.targets) {
			return nil, fault.New(fault.Mismatched, "a survey reply misses replicas", "upgrade all daemons to one version")
		}
		return reply, nil
	}
}

// activateAll activates version on all targets in one wave through the members.
func (m *Manager) activateAll(ctx context.Context, k *keeper, targets []*weightspb.Target, version int64) []*weightspb.ReplicaReport {
	ctx, cancel := context.WithTimeout(ctx, waveTimeout)
	defer cancel()
	return m.eachShare(targets, func(s share) *weightspb.SurveyReply {
		if reply, err := m.activateMember(ctx, k, s, version); err == nil {
			return reply
		}
		return m.activateShare(ctx, s.targets, version, k.permit)
	})
}

func (m *Manager) activateMember(ctx context.Context, k *keeper, s share, version int64) (*weightspb.SurveyReply, error) {
	if s.member.ID == m.parts.View.Self().ID {
		return m.activateShare(ctx, s.targets, version, k.permit), nil
	}
	prepareCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client, err := m.client(prepareCtx, s.member)
	if err != nil {
		return nil, err
	}
	ticket, err := client.Prepare(prepareCtx, &weightspb.PrepareRequest{})
	if err != nil {
		return nil, err
	}
	fence, left := k.permit()
	return whole(client.Activate(peer.WithProgress(ctx, waveTimeout), &weightspb.ActivateRequest{
		Ticket:        ticket.Ticket,
		Pool:          k.pool,
		Version:       version,
		Fence:         fence,
		ChecksFencing: k.checksFencing.Load(),
		RemainingMs:   left.Milliseconds(),
		Targets:       s.targets,
	}))(s)
}

// eachShare runs f for all shares at once and returns the reports in target order.
func (m *Manager) eachShare(targets []*weightspb.Target, f func(s share) *weightspb.SurveyReply) []*weightspb.ReplicaReport {
	reports := make([]*weightspb.ReplicaReport, len(targets))
	var waiting sync.WaitGroup
	for _, s := range m.shares(targets) {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for i, r := range f(s).Reports {
				reports[s.indexes[i]] = r
			}
		}()
	}
	waiting.Wait()
	return reports
}

// announce takes in news and sends them to all other members, without waiting for
// them. Members that miss it ask later.
func (m *Manager) announce(ctx context.Context, r *weightspb.AnnounceRequest) {
	m.counters.announced.Add(1)
	m.hear(r)
	self := m.parts.View.Self().ID
	var group errgroup.Group
	group.SetLimit(announceLimit)
	go func() {
		for _, member := range m.parts.View.Members() {
			if member.ID == self {
				continue
			}
			group.Go(func() error {
				m.announceTo(ctx, member, r)
				return nil
			})
		}
	}()
}

func (m *Manager) announceTo(ctx context.Context, member fleet.Member, r *weightspb.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client, err := m.client(ctx, member)
	if err != nil {
		return
	}
	_, _ = client.Announce(ctx, r)
}

// askNewest asks a member for the newest version of a pool.
func (m *Manager) askNewest(ctx context.Context, member fleet.Member, pool string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client, err := m.client(ctx, member)
	if err != nil {
		return 0, err
	}
	reply, err := client.Newest(ctx, &weightspb.NewestRequest{Pool: pool})
	if err != nil {
		return 0, err
	}
	return reply.Version, nil
}

func countActive(reports []*weightspb.ReplicaReport, version int64) int {
	active := 0
	for _, r := range reports {
		if r.Reached && r.Whole && r.Version >= version {
			active++
		}
	}
	return active
}
