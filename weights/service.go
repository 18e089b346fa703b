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
	maxConcurrentCalls = 64               // orders or status reads in flight per share
	ticketLifetime     = 30 * time.Second // unused tickets expire after this
	noExpiry           = time.Hour        // remaining time when the engine, not the lease, stops outdated orders
)

// tickets records when each Prepare request arrived. The pool's owner measures the
// remaining time of its lease after Prepare has returned; this daemon counts it from the
// earlier arrival of Prepare. An Activate request that is delayed on the way therefore
// can't be executed after the lease has expired.
type tickets struct {
	mu     sync.Mutex
	lastID int64
	opened map[int64]time.Time
}

func (t *tickets) open(now time.Time) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.opened == nil {
		t.opened = map[int64]time.Time{}
	}
	for id, at := range t.opened {
		if now.Sub(at) > ticketLifetime {
			delete(t.opened, id)
		}
	}
	t.lastID++
	t.opened[t.lastID] = now
	return t.lastID
}

// take returns when the ticket was opened and removes it, so that it is used only once.
func (t *tickets) take(id int64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.opened[id]
	delete(t.opened, id)
	return at, ok
}

// service implements the drpc service of a Manager.
type service struct {
	manager *Manager
}

// Announce applies an announcement of a pool's owner.
func (s *service) Announce(_ context.Context, r *weightspb.AnnounceRequest) (*weightspb.AnnounceReply, error) {
	s.manager.applyAnnouncement(r)
	return &weightspb.AnnounceReply{}, nil
}

// Newest returns the newest version of the pool that this daemon knows, and handles the
// hint in the request.
func (s *service) Newest(_ context.Context, r *weightspb.NewestRequest) (*weightspb.NewestReply, error) {
	s.manager.handleHint(r.Pool, r.Hint)
	return &weightspb.NewestReply{Version: s.manager.Newest(r.Pool)}, nil
}

// Prepare opens a ticket.
func (s *service) Prepare(context.Context, *weightspb.PrepareRequest) (*weightspb.PrepareReply, error) {
	return &weightspb.PrepareReply{Ticket: s.manager.tickets.open(s.manager.now())}, nil
}

// Activate activates a version on a share of the replicas if the ticket is valid.
func (s *service) Activate(ctx context.Context, r *weightspb.ActivateRequest) (*weightspb.SurveyReply, error) {
	opened, ok := s.manager.tickets.take(r.Ticket)
	if !ok {
		return nil, fault.New(fault.Fenced, "the activation ticket is unknown, used or expired", "prepare again", fault.WithOutcome(fault.NotRun))
	}
	expiresAt := opened.Add(time.Duration(r.RemainingMs) * time.Millisecond)
	permit := func() (int64, time.Duration) {
		if r.ChecksFencing {
			return r.Fence, noExpiry
		}
		return r.Fence, expiresAt.Sub(s.manager.now())
	}
	return s.manager.activateShare(ctx, r.Targets, r.Version, permit), nil
}

// Survey reads the states of a share of the replicas.
func (s *service) Survey(ctx context.Context, r *weightspb.SurveyRequest) (*weightspb.SurveyReply, error) {
	return s.manager.surveyShare(ctx, r.Targets), nil
}

// applyAnnouncement records the version and the suspensions of an announcement.
func (m *Manager) applyAnnouncement(r *weightspb.AnnounceRequest) {
	if r.Version > 0 {
		m.setNewest(r.Pool, r.Version)
	}
	for _, s := range r.Suspensions {
		m.suspend(s.Replica, s.Min)
	}
}

func (m *Manager) suspend(replica string, minVersion int64) {
	if m.deps.Gate == nil || m.config.DisableSuspensions {
		return
	}
	m.deps.Gate.Suspend(replica, minVersion)
}

func (m *Manager) activateShare(ctx context.Context, targets []*weightspb.Target, version int64, permit permitFunc) *weightspb.SurveyReply {
	return forEachTarget(targets, func(t *weightspb.Target) *weightspb.ReplicaReport {
		return m.activateTarget(ctx, t, version, permit)
	})
}

func (m *Manager) surveyShare(ctx context.Context, targets []*weightspb.Target) *weightspb.SurveyReply {
	return forEachTarget(targets, func(t *weightspb.Target) *weightspb.ReplicaReport {
		return m.readTarget(ctx, t)
	})
}

// forEachTarget calls f for all targets, at most maxConcurrentCalls concurrently, and
// returns the reports in target order.
func forEachTarget(targets []*weightspb.Target, f func(t *weightspb.Target) *weightspb.ReplicaReport) *weightspb.SurveyReply {
	reply := &weightspb.SurveyReply{Reports: make([]*weightspb.ReplicaReport, len(targets))}
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, t := range targets {
		group.Go(func() error {
			reply.Reports[i] = f(t)
			return nil
		})
	}
	_ = group.Wait()
	return reply
}
