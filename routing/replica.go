package routing

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// Probes of slow replicas, which otherwise may get no request that shows a change.
const (
	probePicks    = 200              // choices of the pool from one probe to the next
	probeInterval = 30 * time.Second // shortest time between two probes
	probeAnyway   = 5 * time.Minute  // longest time between two probes, however few the choices
)

// replica is the mutable state of one backend server, guarded by Store.mu.
type replica struct {
	state       ReplicaState
	latency     latency
	health      health
	ownAtReport int       // own requests in progress when the load was reported
	resume      int64     // version that ends the suspension
	partial     int64     // times that a partial swap was seen
	saidLeaving time.Time // when the server itself said so, zero if it did not
	busyUntil   time.Time // it refused work because of its load
	wanted      time.Time // last time a choice considered the replica
	polling     bool
	polled      time.Time // last poll
	skipped     int       // turns without a poll since then
	loaded      time.Time // last load that came with a response
	probePicks  int64     // pool's choices at the replica's last request
	lastProbe   time.Time // replica's last request
	listed      bool      // in the list at the last refresh
	inSubset    bool
}

func newReplica(server fleet.Replica) *replica {
	return &replica{state: ReplicaState{Replica: server, Whole: true, Slowness: 1}}
}

// report takes a load report in.
func (r *replica) report(load backend.Load, now time.Time) {
	r.state.Running = load.Running
	r.state.Waiting = load.Waiting
	r.state.Reported = now
	r.ownAtReport = r.state.InFlight
}

// others estimates the requests of other daemons on the replica; ok is false when
// the replica never reported its load.
func (r *replica) others() (requests float64, ok bool) {
	if r.state.Reported.IsZero() {
		return 0, false
	}
	return max(float64(r.state.Running+r.state.Waiting-r.ownAtReport), 0), true
}

// probeDue reports that a failing or slow replica is due for one trial request. Slow
// ones are tried with samples where the pool has them, since no caller waits there.
func (r *replica) probeDue(c choiceContext) bool {
	if r.state.Failing {
		return r.health.halfOpen && !r.health.trial
	}
	if !r.state.Slow || r.state.InFlight > 0 || (c.samples && !c.sample) {
		return false
	}
	waited := c.now.Sub(r.lastProbe)
	return (waited >= probeInterval && c.picks-r.probePicks >= probePicks) || waited >= probeAnyway
}

// leaving reports whether list or server says that the replica takes no new work.
func (r *replica) leaving(now time.Time) bool {
	said := !r.saidLeaving.IsZero() && now.Sub(r.saidLeaving) < leavingHold
	return r.state.Replica.Leaving || said
}
