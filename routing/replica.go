package routing

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// Limits of the probes of slow replicas, which otherwise may get no request and so never
// recover.
const (
	minProbePicks    = 200              // minimum number of pool requests between two probes
	minProbeInterval = 30 * time.Second // minimum time between two probes
	maxProbeInterval = 5 * time.Minute  // after which a probe is due however few requests the pool had
)

// replica is the mutable state of one backend server, guarded by Store.mu.
type replica struct {
	state              ReplicaState
	latency            latency
	health             health
	inFlightAtReport   int       // InFlight when the load was reported
	resumeVersion      int64     // minimum complete version that ends the suspension
	partialSwaps       int64     // number of partial swaps seen
	leavingReportedAt  time.Time // when the server itself reported that it is leaving, zero if it did not
	busyUntil          time.Time // end of the period after a refusal because of load
	lastConsidered     time.Time // last time the replica was a candidate
	pollInFlight       bool
	lastPoll           time.Time // start of the last poll
	skippedPolls       int       // scheduled polls skipped since lastPoll
	lastLoadResponse   time.Time // when a response last reported the load
	picksAtLastRequest int64     // pool.picks at the replica's last request
	lastRequest        time.Time // start of the replica's last request
	listed             bool      // in the list at the last refresh
	inSubset           bool
}

func newReplica(server fleet.Replica) *replica {
	return &replica{state: ReplicaState{Replica: server, Whole: true, Slowness: 1}}
}

// updateLoad records the load that the replica reported.
func (r *replica) updateLoad(load backend.Load, now time.Time) {
	r.state.Running = load.Running
	r.state.Waiting = load.Waiting
	r.state.Reported = now
	r.inFlightAtReport = r.state.InFlight
}

// otherDaemonsLoad estimates the number of requests of other daemons on the replica;
// ok is false if the replica never reported its load.
func (r *replica) otherDaemonsLoad() (requests float64, ok bool) {
	if r.state.Reported.IsZero() {
		return 0, false
	}
	return max(float64(r.state.Running+r.state.Waiting-r.inFlightAtReport), 0), true
}

// probeDue reports whether a failing or slow replica is due for a trial request. Slow
// replicas are probed with sample requests if the pool has them, since no caller waits
// for those.
func (r *replica) probeDue(c choiceContext) bool {
	if r.state.Failing {
		return r.health.halfOpen && !r.health.trialInFlight
	}
	if !r.state.Slow || r.state.InFlight > 0 || (c.recentSamples && !c.isSample) {
		return false
	}
	waited := c.now.Sub(r.lastRequest)
	return (waited >= minProbeInterval && c.picks-r.picksAtLastRequest >= minProbePicks) || waited >= maxProbeInterval
}

// leaving reports whether the replica list or the server itself reported that the
// replica accepts no new work.
func (r *replica) leaving(now time.Time) bool {
	reported := !r.leavingReportedAt.IsZero() && now.Sub(r.leavingReportedAt) < leavingPeriod
	return r.state.Replica.Leaving || reported
}
