package weights

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

const (
	parallelOrders = 64               // orders or reads in progress of one call
	ticketLife     = 30 * time.Second // a ticket is forgotten after this
	endless        = time.Hour        // time left where the engine checks the fencing number
)

// tickets remembers when each Prepare arrived. A later Activate counts the lease's
// remaining time from then, so that a delayed message can't outlive the lease: the
// keeper measured that time after Prepare was answered.
type tickets struct {
	mu     sync.Mutex
	last   int64
	opened map[int64]time.Time
}

func (t *tickets) open(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.opened == nil {
		t.opened = map[int64]time.Time{}
	}
	for id, at := range t.opened {
		if now.Sub(at) > ticketLife {
			delete(t.opened, id)
		}
	}
	t.last++
	t.opened[t.last] = now
	return t.last
}

// take returns when the ticket was opened and uses it up.
func (t *tickets) take(id int64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.opened[id]
	delete(t.opened, id)
	return at, ok
}

// service is the drpc side of a Manager.
type service struct {
	m *Manager
}

// Announce takes in a keeper's news.
func (s *service) Announce(_ context.Context, r *weightspb.AnnounceRequest) (*weightspb.AnnounceReply, error) {
	s.m.hear(r)
	return &weightspb.AnnounceReply{}, nil
}

// Newest returns what this daemon knows of the pool and follows a hint.
func (s *service) Newest(_ context.Context, r *weightspb.NewestRequest) (*weightspb.NewestReply, error) {
	s.m.followHint(r.Pool, r.Hint)
	return &weightspb.NewestReply{Version: s.m.Newest(r.Pool)}, nil
}

// Prepare opens a ticket.
func (s *service) Prepare(context.Context, *weightspb.PrepareRequest) (*weightspb.PrepareReply, error) {
	return &weightspb.PrepareReply{Ticket: s.m.tickets.open(s.m.now())}, nil
}

// Activate activates a version on a share of the replicas.
func (s *service) Activate(ctx context.Context, r *weightspb.ActivateRequest) (*weightspb.SurveyReply, error) {
	opened, ok := s.m.tickets.take(r.Ticket)
	if !ok {
		return nil, fault.New(fault.Fenced, "the ticket is not known", "prepare again", fault.WithOutcome(fault.NotRun))
	}
	until := opened.Add(time.Duration(r.RemainingMs) * time.Millisecond)
	remaining := func() (int64, time.Duration) {
		if r.ChecksFencing {
			return r.Fence, endless
		}
		return r.Fence, until.Sub(s.m.now())
	}
	return s.m.activateShare(ctx, r.Targets, r.Version, remaining), nil
}

// Survey reads a share of the replicas.
func (s *service) Survey(ctx context.Context, r *weightspb.SurveyRequest) (*weightspb.SurveyReply, error) {
	return s.m.surveyShare(ctx, r.Targets), nil
}

// hear records news of a keeper.
func (m *Manager) hear(r *weightspb.AnnounceRequest) {
	if r.Version > 0 {
		m.setNewest(r.Pool, r.Version)
	}
	for _, s := range r.Suspensions {
		m.suspend(s.Replica, s.Min)
	}
}

func (m *Manager) suspend(replica string, least int64) {
	if m.parts.Gate == nil || m.config.DisableSuspensions {
		return
	}
	m.parts.Gate.Suspend(replica, least)
}

func (m *Manager) activateShare(ctx context.Context, targets []*weightspb.Target, version int64, remaining permit) *weightspb.SurveyReply {
	return eachTarget(targets, func(t *weightspb.Target) *weightspb.ReplicaReport {
		return m.activateTarget(ctx, t, version, remaining)
	})
}

func (m *Manager) surveyShare(ctx context.Context, targets []*weightspb.Target) *weightspb.SurveyReply {
	return eachTarget(targets, func(t *weightspb.Target) *weightspb.ReplicaReport {
		return m.readTarget(ctx, t)
	})
}

// eachTarget calls f for all targets, a bounded number at a time, and keeps their order.
func eachTarget(targets []*weightspb.Target, f func(t *weightspb.Target) *weightspb.ReplicaReport) *weightspb.SurveyReply {
	reply := &weightspb.SurveyReply{Reports: make([]*weightspb.ReplicaReport, len(targets))}
	var group errgroup.Group
	group.SetLimit(parallelOrders)
	for i, t := range targets {
		group.Go(func() error {
			reply.Reports[i] = f(t)
			return nil
		})
	}
	_ = group.Wait()
	return reply
}
