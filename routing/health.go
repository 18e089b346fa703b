package routing

import (
	"context"
	"net"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// Health limits.
const (
	failuresAllowed = 3                      // consecutive failures before a replica that still accepts connections is held failing
	failureMemory   = 30 * time.Second       // after which an earlier failure no longer counts
	connectTimeout  = time.Second            // of a fresh connection attempt
	firstBackoff    = time.Second            // from a failure to the first probe
	maxBackoff      = 10 * time.Second       // between two probes
	busyHold        = 200 * time.Millisecond // others are preferred this long after a server refused work
	leavingHold     = 10 * time.Minute       // how long a server's own word that it leaves counts
)

// health tells whether a replica is worth a request. Failing is in ReplicaState.
type health struct {
	consecutive int  // failures one after the other since the last success
	halfOpen    bool // a probe succeeded; one trial request may follow
	trial       bool // the trial request is in progress
	checking    bool // a fresh connection attempt is under way
	lastSuccess time.Time
	lastFailure time.Time // last counted failure
	backoff     time.Duration
	nextProbe   time.Time
}

// Dial opens and closes a fresh connection to a server.
type Dial func(ctx context.Context, address string) error

func dialTCP(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// verdict is what the end of a request says about its server.
type verdict int

const (
	neutral   verdict = iota // nothing: refused, cancelled or the caller's fault
	succeeded                // it works
	suspect                  // the connection failed or stalled
	busy                     // it refused the request because of its load
	leaves                   // it said that it takes no new work
)

// judge classifies the end of a request. A deadline that passed speaks against the
// server only when nothing else succeeded there meanwhile.
func judge(err error, started, lastSuccess time.Time) verdict {
	switch fault.KindOf(err) {
	case "":
		return succeeded
	case fault.Draining:
		return leaves
	case fault.Overloaded:
		return busy
	case fault.Unavailable, fault.Truncated, fault.Mismatched:
		return suspect
	case fault.Deadline:
		if lastSuccess.Before(started) {
			return suspect
		}
	}
	return neutral
}

// markSuccess ends a failing state.
func (s *Store) markSuccess(r *replica, now time.Time) {
	r.health.consecutive = 0
	r.health.lastSuccess = now
	r.health.backoff = 0
	r.health.halfOpen = false
	if r.state.Failing {
		r.state.Failing = false
		s.log.Log(event.ReplicaRecovered, event.F("replica", r.state.Replica.ID))
	}
}

// markSuspect counts the failure of a request or poll that began at started. The
// replica is held failing only when a fresh connection fails too, or after several
// failures one after the other without a success: connections that went silent
// together count once.
func (s *Store) markSuspect(r *replica, started, now time.Time) {
	if r.state.Failing || !started.After(r.health.lastFailure) {
		return
	}
	if now.Sub(r.health.lastFailure) > failureMemory {
		r.health.consecutive = 0
	}
	r.health.lastFailure = now
	r.health.consecutive++
	if r.health.consecutive >= failuresAllowed {
		s.holdFailing(r, now)
		return
	}
	if !r.health.checking {
		r.health.checking = true
		go s.checkFresh(r, r.state.Replica)
	}
}

// checkFresh tries a new connection to a suspect replica.
func (s *Store) checkFresh(r *replica, server fleet.Replica) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	err := s.dial(ctx, server.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.health.checking = false
	if err != nil && !r.state.Failing {
		s.holdFailing(r, s.now())
	}
}

func (s *Store) holdFailing(r *replica, now time.Time) {
	if !r.state.Failing {
		s.log.Log(event.ReplicaFailing, event.F("replica", r.state.Replica.ID))
	}
	r.state.Failing = true
	r.health.halfOpen = false
	r.health.backoff = min(max(2*r.health.backoff, firstBackoff), maxBackoff)
	r.health.nextProbe = now.Add(r.health.backoff)
}

// markLeaving takes the server's own word that it takes no new work.
func (s *Store) markLeaving(r *replica, now time.Time) {
	if !r.saidLeaving.IsZero() {
		return
	}
	r.saidLeaving = now
	s.log.Log(event.ReplicaLeaving, event.F("replica", r.state.Replica.ID))
	if s.reporter != nil {
		go s.reporter.MarkLeaving(r.state.Replica.ID)
	}
}
