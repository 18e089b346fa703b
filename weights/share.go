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
	peerTimeout                = time.Second     // short call to another daemon
	surveyTimeout              = 5 * time.Second // survey of one share
	minShareTargets            = 4               // replicas per share; fewer are not worth a call to another daemon
	maxConcurrentAnnouncements = 32
	waveTimeout                = activateTimeout + surveyTimeout
)

// share is the part of a pool's replicas that one daemon surveys or activates.
type share struct {
	member  fleet.Member
	targets []*weightspb.Target
	indexes []int // positions of the targets in the full list
}

func targetsOf(replicas []fleet.Replica) []*weightspb.Target {
	targets := make([]*weightspb.Target, len(replicas))
	for i, r := range replicas {
		targets[i] = &weightspb.Target{Replica: r.ID, Address: r.Address}
	}
	return targets
}

// splitTargets divides the targets evenly into one share per minShareTargets targets,
// rounded up, but at most one per member. A single share stays on this daemon.
func (m *Manager) splitTargets(targets []*weightspb.Target) []share {
	members := m.deps.View.Members()
	count := min(len(members), (len(targets)+minShareTargets-1)/minShareTargets)
	if count <= 1 {
		members = []fleet.Member{m.deps.View.Self()}
		count = 1
	}
	shares := make([]share, count)
	for i, t := range targets {
		s := &shares[i%count]
		s.member = members[i%count]
		s.targets = append(s.targets, t)
		s.indexes = append(s.indexes, i)
	}
	return shares
}

// client returns a drpc client for a member.
func (m *Manager) client(ctx context.Context, member fleet.Member) (weightspb.DRPCWeightsClient, error) {
	conn, err := m.deps.Conns.Conn(ctx, member.PeerAddress)
	if err != nil {
		return nil, err
	}
	return weightspb.NewDRPCWeightsClient(conn), nil
}

// surveyAll reads the state of all targets through the members. If a member does not
// respond, this daemon reads its share itself.
func (m *Manager) surveyAll(ctx context.Context, targets []*weightspb.Target) []*weightspb.ReplicaReport {
	return m.forEachShare(targets, func(s share) *weightspb.SurveyReply {
		if reply, err := m.surveyMember(ctx, s); err == nil {
			return reply
		}
		return m.surveyShare(ctx, s.targets)
	})
}

func (m *Manager) surveyMember(ctx context.Context, s share) (*weightspb.SurveyReply, error) {
	if s.member.ID == m.deps.View.Self().ID {
		return m.surveyShare(ctx, s.targets), nil
	}
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	client, err := m.client(ctx, s.member)
	if err != nil {
		return nil, err
	}
	return requireAllReports(client.Survey(peer.WithProgressTimeout(ctx, surveyTimeout), &weightspb.SurveyRequest{Targets: s.targets}))(s)
}

// requireAllReports returns an error for a reply without a report for every target of
// the share.
func requireAllReports(reply *weightspb.SurveyReply, err error) func(share) (*weightspb.SurveyReply, error) {
	return func(s share) (*weightspb.SurveyReply, error) {
		if err != nil {
			return nil, err
		}
		if len(reply.Reports) != len(s.targets) {
			return nil, fault.New(fault.Mismatched, "a survey reply does not contain a report for every replica", "upgrade all daemons to one version")
		}
		return reply, nil
	}
}

// activateAll activates version on all targets in one wave through the members. If a
// member fails, this daemon activates its share itself.
func (m *Manager) activateAll(ctx context.Context, p *poolController, targets []*weightspb.Target, version int64) []*weightspb.ReplicaReport {
	ctx, cancel := context.WithTimeout(ctx, waveTimeout)
	defer cancel()
	return m.forEachShare(targets, func(s share) *weightspb.SurveyReply {
		if reply, err := m.activateMember(ctx, p, s, version); err == nil {
			return reply
		}
		return m.activateShare(ctx, s.targets, version, p.permit)
	})
}

func (m *Manager) activateMember(ctx context.Context, p *poolController, s share, version int64) (*weightspb.SurveyReply, error) {
	if s.member.ID == m.deps.View.Self().ID {
		return m.activateShare(ctx, s.targets, version, p.permit), nil
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
	fencingToken, left := p.permit()
	return requireAllReports(client.Activate(peer.WithProgressTimeout(ctx, waveTimeout), &weightspb.ActivateRequest{
		Ticket:        ticket.Ticket,
		Pool:          p.pool,
		Version:       version,
		Fence:         fencingToken,
		ChecksFencing: p.checksFencing.Load(),
		RemainingMs:   left.Milliseconds(),
		Targets:       s.targets,
	}))(s)
}

// forEachShare runs f for all shares concurrently and returns the reports in target order.
func (m *Manager) forEachShare(targets []*weightspb.Target, f func(s share) *weightspb.SurveyReply) []*weightspb.ReplicaReport {
	reports := make([]*weightspb.ReplicaReport, len(targets))
	var wg sync.WaitGroup
	for _, s := range m.splitTargets(targets) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i, r := range f(s).Reports {
				reports[s.indexes[i]] = r
			}
		}()
	}
	wg.Wait()
	return reports
}

// announce applies an announcement and sends it to all other members without waiting
// for their replies. Members that miss it ask for the newest version later.
func (m *Manager) announce(ctx context.Context, r *weightspb.AnnounceRequest) {
	m.counters.announced.Add(1)
	m.applyAnnouncement(r)
	self := m.deps.View.Self().ID
	var group errgroup.Group
	group.SetLimit(maxConcurrentAnnouncements)
	go func() {
		for _, member := range m.deps.View.Members() {
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

// fetchNewest asks a member for the newest version that it knows of a pool.
func (m *Manager) fetchNewest(ctx context.Context, member fleet.Member, pool string) (int64, error) {
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
