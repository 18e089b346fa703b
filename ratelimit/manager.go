// Package ratelimit keeps the requests of all daemons together within the request limits that
// replicas in need name in their responses. All daemons learn of a limit by gossip. For each
// replica one daemon, the owner of its limit, gives out permits; before a daemon sends a request
// to a replica that names a limit, it asks the owner. Nothing is kept in the store.
package ratelimit

import (
	"context"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/gossip"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/ratelimit/ratelimitpb"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

const (
	// permitTimeout bounds one call to an owner. A caller waits for it.
	permitTimeout = 150 * time.Millisecond
	// cleanupInterval is the time between two deletions of state that is not needed any more.
	cleanupInterval = 10 * time.Second
	// isolatedShare is the share of a limit that all daemons together use if none of them reaches a
	// owner.
	isolatedShare = 0.1
)

// Tracker is told when replicas take no requests.
type Tracker interface {
	// Defer places no requests on a replica for d; only none that can wait if canWait is set. A d of 0
	// ends an earlier deferral.
	Defer(id string, d time.Duration, canWait bool)
	// Knows reports whether a replica is listed.
	Knows(id string) bool
}

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	Self    string                   // ID of this daemon
	Members func() map[string]string // drpc addresses of all daemons by ID, including this one
	Conns   peer.ConnProvider
	Backend upstream.Backend
	Tracker Tracker
	Log     *event.Logger
}

// Manager is an upstream.Backend that sends a request to a replica with a limit only with a permit.
type Manager struct {
	Dependencies

	now     func() time.Time
	ask     func(ctx context.Context, address string, request *ratelimitpb.PermitRequest) (*ratelimitpb.PermitAnswer, error)
	limits  *registry
	owners  *ownerCache
	buckets buckets
	turns   turns
	notify  func() // causes the limits to be pushed to other daemons
}

// NewManager returns a Manager.
func NewManager(deps Dependencies) *Manager {
	m := &Manager{
		Dependencies: deps, now: clock.BootNow, owners: newOwnerCache(deps.Members),
		buckets: buckets{byKey: map[bucketKey]*bucket{}}, turns: turns{byKey: map[turnKey]*turn{}}, notify: func() {},
	}
	m.limits = newRegistry(clock.BootNow, m.limitEnded, deps.Log)
	m.ask = m.callOwner
	return m
}

// limitEnded makes a replica available again whose limit has ended: the turns that were given no longer
// matter.
func (m *Manager) limitEnded(id string) {
	m.turns.retain(func(replica string) bool { return replica != id })
	m.Tracker.Defer(id, 0, false)
}

// Topic returns the topic through which daemons tell each other of limits.
func (m *Manager) Topic() gossip.Topic { return m.limits }

// OnChange calls notify when a response has shown a new limit. It must be called before Send.
func (m *Manager) OnChange(notify func()) { m.notify = notify }

// Run deletes state that is not needed any more until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		clock.Sleep(ctx, cleanupInterval)
		m.limits.retain(m.Tracker.Knows)
		m.turns.retain(m.Tracker.Knows)
		m.buckets.removeIdle(m.now())
		m.owners.removeOld(m.now())
	}
	return nil
}

// Limited returns the replicas that name a limit, by ID.
func (m *Manager) Limited() map[string]LimitedReplica { return m.limits.snapshot() }

// Send implements upstream.Backend. If the replica's limit leaves no room for the request, it
// returns an error that wraps upstream.ErrRateLimited at once.
func (m *Manager) Send(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	if _, limited := m.limits.get(call.Replica.ID, call.Replica.StartedMs); limited {
		if wait, granted := m.awaitPermit(ctx, call.Replica, call.Deferrable); !granted {
			m.Tracker.Defer(call.Replica.ID, wait, call.Deferrable)
			m.Log.Log(event.RateLimitDeferred, event.F("request", call.RequestID), event.F("replica", call.Replica.ID), event.F("wait_ms", wait.Milliseconds()))
			return nil, fault.Wrap(upstream.ErrRateLimited, fault.Overloaded, "the request was not sent to replica "+call.Replica.ID,
				"try another replica or send it again later", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(wait))
		}
		m.limits.countSent(call.Replica.ID)
	}
	sentAt := m.now()
	resp, err := m.Backend.Send(ctx, call)
	if err == nil && showsLimit(resp) && m.limits.recordResponse(call.Replica.ID, call.Replica.StartedMs, resp.RequestLimit, sentAt) {
		m.notify()
	}
	return resp, err
}

// showsLimit reports whether a response shows the limit of the replica that was called, or that it names
// none: another replica that got its address may respond, and a faulty one may send anything unsigned.
func showsLimit(resp *upstream.Response) bool {
	if resp.Status == http.StatusMisdirectedRequest {
		return false
	}
	return resp.Signed || resp.RequestLimit > 0
}

// Events implements upstream.Backend.
func (m *Manager) Events(resp *upstream.Response) upstream.EventReader { return m.Backend.Events(resp) }

// awaitPermit asks for a permit unless this daemon's turn is yet to come. Without a permit it returns
// the time until then.
func (m *Manager) awaitPermit(ctx context.Context, replica catalog.Replica, deferrable bool) (time.Duration, bool) {
	t := m.turns.lock(turnKey{replica.ID, deferrable})
	defer t.asking.Unlock()
	if wait := t.at.Sub(m.now()); wait > 0 {
		return wait, false
	}
	wait, granted := m.acquire(ctx, replica, deferrable)
	if !granted {
		t.at = m.now().Add(wait)
	}
	return wait, granted
}

// acquire asks the owners of a replica's limit for a permit, the next one if one does not respond.
// A daemon that reaches none uses its equal part of isolatedShare of the limit. Without a permit
// it returns the time until this daemon's turn.
func (m *Manager) acquire(ctx context.Context, replica catalog.Replica, deferrable bool) (time.Duration, bool) {
	owners, daemons := m.owners.of(replica.ID, m.now())
	for _, o := range owners {
		if o.id == m.Self {
			return m.permit(replica.ID, replica.StartedMs, o.rank, deferrable)
		}
		resp, err := m.ask(ctx, o.address, &ratelimitpb.PermitRequest{Limit: m.limits.encode(replica.ID), Rank: int32(o.rank), Deferrable: deferrable})
		if ctx.Err() == nil || err == nil {
			m.owners.recordResult(o.address, err == nil, m.now())
		}
		if err != nil {
			continue
		}
		if m.limits.merge(resp.Limit) {
			m.notify()
		}
		return time.Duration(max(resp.WaitMs, 1)) * time.Millisecond, resp.Granted
	}
	known, limited := m.limits.get(replica.ID, replica.StartedMs)
	if !limited {
		return 0, true
	}
	granted, wait := m.buckets.take(bucketKey{replica.ID, replica.StartedMs, len(rankShares)}, m.now(), max(known.perSecond, minRate)*isolatedShare/float64(daemons), deferrable)
	return wait, granted
}

// permit takes a permit for a replica from this daemon's bucket of the given rank.
func (m *Manager) permit(id string, startedMs int64, rank int, deferrable bool) (time.Duration, bool) {
	known, limited := m.limits.get(id, startedMs)
	if !limited {
		return 0, true
	}
	rank = min(max(rank, 0), len(rankShares)-1)
	granted, wait := m.buckets.take(bucketKey{id, startedMs, rank}, m.now(), max(known.perSecond, minRate)*rankShares[rank], deferrable)
	return wait, granted
}
