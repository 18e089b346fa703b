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
	failureThreshold     = 3                      // consecutive failures before a replica that still accepts connections is marked failing
	failureResetInterval = 30 * time.Second       // time after which an earlier failure no longer counts
	connectTimeout       = time.Second            // for a new connection
	minBackoff           = time.Second            // time from a failure to the first probe
	maxBackoff           = 10 * time.Second       // maximum time between two probes
	busyPeriod           = 200 * time.Millisecond // other replicas are preferred this long after a server refused work
	leavingPeriod        = 10 * time.Minute       // a server's report that it is leaving is valid this long
)

// health is the failure detection state of a replica; its result is in ReplicaState.
type health struct {
	consecutiveFailures int  // failures since the last success
	halfOpen            bool // a probe succeeded; one trial request may follow
	trialInFlight       bool
	connCheckInFlight   bool // a new connection is being tried
	lastSuccess         time.Time
	lastFailure         time.Time // last failure that was counted
	backoff             time.Duration
	nextProbe           time.Time
}

// Dial checks that a new connection to a server can be opened, and closes it.
type Dial func(ctx context.Context, address string) error

func dialTCP(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// requestResult classifies the end of a request with regard to its server.
type requestResult int

const (
	inconclusive  requestResult = iota // refused, canceled or the caller's fault
	succeeded                          // the server works
	suspect                            // the connection failed or stalled
	busy                               // the server refused the request because of its load
	serverLeaving                      // the server reported that it accepts no new work
)

// classifyResult classifies the end of a request. An exceeded deadline counts against
// the server only if no other request succeeded there in the meantime.
func classifyResult(err error, started, lastSuccess time.Time) requestResult {
	switch fault.KindOf(err) {
	case "":
		return succeeded
	case fault.Draining:
		return serverLeaving
	case fault.Overloaded:
		return busy
	case fault.Unavailable, fault.Truncated, fault.Mismatched:
		return suspect
	case fault.Deadline:
		if lastSuccess.Before(started) {
			return suspect
		}
	}
	return inconclusive
}

// markSuccess resets the failure state and ends a failing state.
func (s *Store) markSuccess(r *replica, now time.Time) {
	r.health.consecutiveFailures = 0
	r.health.lastSuccess = now
	r.health.backoff = 0
	r.health.halfOpen = false
	if r.state.Failing {
		r.state.Failing = false
		s.log.Log(event.ReplicaRecovered, event.F("replica", r.state.Replica.ID))
	}
}

// markSuspect counts the failure of a request or poll that began at started. The
// replica is marked failing only if a new connection fails too, or after
// failureThreshold consecutive failures. Requests that were in flight at the last
// counted failure do not count again: connections that stalled together count once.
func (s *Store) markSuspect(r *replica, started, now time.Time) {
	if r.state.Failing || !started.After(r.health.lastFailure) {
		return
	}
	if now.Sub(r.health.lastFailure) > failureResetInterval {
		r.health.consecutiveFailures = 0
	}
	r.health.lastFailure = now
	r.health.consecutiveFailures++
	if r.health.consecutiveFailures >= failureThreshold {
		s.markFailing(r, now)
		return
	}
	if !r.health.connCheckInFlight {
		r.health.connCheckInFlight = true
		go s.checkNewConnection(r, r.state.Replica)
	}
}

// checkNewConnection marks a suspect replica failing if no new connection can be opened.
func (s *Store) checkNewConnection(r *replica, server fleet.Replica) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	err := s.dial(ctx, server.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.health.connCheckInFlight = false
	if err != nil && !r.state.Failing {
		s.markFailing(r, s.now())
	}
}

func (s *Store) markFailing(r *replica, now time.Time) {
	if !r.state.Failing {
		s.log.Log(event.ReplicaUnhealthy, event.F("replica", r.state.Replica.ID))
	}
	r.state.Failing = true
	r.health.halfOpen = false
	r.health.backoff = min(max(2*r.health.backoff, minBackoff), maxBackoff)
	r.health.nextProbe = now.Add(r.health.backoff)
}

// markLeaving records a server's report that it accepts no new work.
func (s *Store) markLeaving(r *replica, now time.Time) {
	if !r.leavingReportedAt.IsZero() {
		return
	}
	r.leavingReportedAt = now
	s.log.Log(event.ReplicaLeaving, event.F("replica", r.state.Replica.ID))
	if s.reporter != nil {
		go s.reporter.MarkLeaving(r.state.Replica.ID)
	}
}
