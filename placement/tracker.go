// Package placement chooses the replica for a request. The tracker holds the state of each
// replica as seen by this daemon. A choice takes a snapshot of it and applies filters, affinity
// and a cost function.
package placement

import (
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

const (
	// baseUnhealthyTime is how long a replica whose connection broke gets no work while others
	// can take it; it doubles with each consecutive failure, up to maxUnhealthyTime.
	baseUnhealthyTime = 500 * time.Millisecond
	maxUnhealthyTime  = 8 * time.Second
	// refusedDelay is how long a replica that refused a request gets no work while others
	// can take it. loadingDelay is the same for a replica that refused it with free slots,
	// which is loading weights.
	refusedDelay = 100 * time.Millisecond
	loadingDelay = 400 * time.Millisecond
	// loadReportMaxAge is how long a replica's load report counts.
	loadReportMaxAge = 1500 * time.Millisecond
	// smoothingFactor is the weight of the newest observation in moving averages.
	smoothingFactor = 0.2
)

// replica is the state of one replica.
type replica struct {
	catalog.Replica

	inFlight            int           // requests of this daemon
	load                upstream.Load // last report
	loadReportedAt      time.Time
	inFlightAtReport    int // inFlight when load was reported
	consecutiveFailures int
	unhealthyUntil      time.Time     // gets no work until then while others can take it
	timePerUnit         float64       // moving average, ms; 0 if unknown
	meanDuration        time.Duration // moving average over requests with a response; 0 if unknown
	heldUntil           time.Time     // gets no new work until then: a load order is in progress
	deferredUntil       time.Time     // gets no requests until then: its request limit is used up
	waitDeferredUntil   time.Time     // gets no requests that can wait until then
	isLeaving           bool          // gets no new work: it announced that it is leaving
}

// Tracker holds the state of the replicas of all services.
type Tracker struct {
	now            func() time.Time
	bootNow        func() time.Time // for marks, which count also while the instance is suspended
	log            *event.Logger
	leavingChanged func() // causes other daemons to be told of leaving replicas

	mu       sync.Mutex
	replicas map[string]*replica // by ID
	leaving  leavingMarks
	changed  chan struct{} // closed when a replica may have become available
}

// NewTracker returns a tracker without replicas.
func NewTracker(log *event.Logger) *Tracker {
	return &Tracker{
		now: time.Now, bootNow: clock.BootNow, log: log, leavingChanged: func() {},
		replicas: map[string]*replica{}, leaving: leavingMarks{}, changed: make(chan struct{}),
	}
}

// Set adds a replica or updates its entry. A new incarnation under the same ID starts without
// the load and failures of the previous one, and gets work if it did not announce itself that it is
// leaving.
func (t *Tracker) Set(r catalog.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.replicas[r.ID]
	if known == nil || known.StartedMs != r.StartedMs || known.Address != r.Address {
		now := t.bootNow()
		if known != nil {
			t.leaving.setListed(incarnationOf(known.Replica), false, now)
		}
		t.leaving.setListed(incarnationOf(r), true, now)
		t.replicas[r.ID] = &replica{Replica: r, isLeaving: t.leaving.has(incarnationOf(r), now)}
		t.notifyWaiters()
		return
	}
	known.Replica = r
	t.notifyWaiters()
}

// Remove removes a replica.
func (t *Tracker) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.replicas[id]; known != nil {
		t.leaving.setListed(incarnationOf(known.Replica), false, t.bootNow())
	}
	delete(t.replicas, id)
}

// Replicas returns the replicas of a service.
func (t *Tracker) Replicas(service string) []catalog.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []catalog.Replica
	for _, r := range t.replicas {
		if r.Service == service {
			found = append(found, r.Replica)
		}
	}
	return found
}

// Changed returns a channel that is closed when a replica may have become available.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// notifyWaiters wakes the goroutines that wait on Changed. The caller holds the lock.
func (t *Tracker) notifyWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Hold sends no new work to a replica for d, because a load order is in progress there. A d of 0
// ends the hold.
func (t *Tracker) Hold(id string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.heldUntil = time.Time{}
	if d > 0 {
		r.heldUntil = t.now().Add(d)
		return
	}
	t.notifyWaiters()
}

// Defer places no requests on a replica for d, because the daemons have used up its request limit;
// only none that can wait if canWait is set. A d of 0 ends an earlier deferral.
func (t *Tracker) Defer(id string, d time.Duration, canWait bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.waitDeferredUntil = t.now().Add(d)
	if !canWait {
		r.deferredUntil = r.waitDeferredUntil
	}
	time.AfterFunc(d, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.notifyWaiters()
	})
}

// isDeferred reports whether the replica takes no such request now because of its request limit.
func (r *replica) isDeferred(request Request, now time.Time) bool {
	if request.RequireFreeSlot && now.Before(r.waitDeferredUntil) {
		return true
	}
	return now.Before(r.deferredUntil)
}

// UntilDeferredEnd returns the time until the first replica of a service whose request limit is used
// up takes requests again. It returns false if there is no such replica.
func (t *Tracker) UntilDeferredEnd(service string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first time.Time
	for _, r := range t.replicas {
		if r.Service == service && r.State == catalog.Ready && !r.isLeaving && t.now().Before(r.deferredUntil) && (first.IsZero() || r.deferredUntil.Before(first)) {
			first = r.deferredUntil
		}
	}
	return first.Sub(t.now()), !first.IsZero()
}

// Knows reports whether a replica is listed.
func (t *Tracker) Knows(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replicas[id] != nil
}

// SetVersion records the weight version that a replica reported. Older versions are ignored.
func (t *Tracker) SetVersion(id, model string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil || version <= r.Versions[model] {
		return
	}
	versions := map[string]int64{model: version}
	for m, v := range r.Versions {
		if m != model {
			versions[m] = v
		}
	}
	r.Versions = versions
	t.notifyWaiters()
}

// Lease counts one request at a replica until Done. Only the first call of Done counts, so that one can
// be deferred for work that may panic.
type Lease struct {
	catalog.Replica

	Choice Choice // how it was chosen

	tracker    *Tracker
	acquiredAt time.Time
	done       bool // guarded by tracker.mu
}

// Outcome is what the end of a request implies for the health of its replica.
type Outcome int

// Values of Outcome.
const (
	Answered     Outcome = iota // the replica responded, with any status
	Refused                     // the replica was full and did not run the request
	Failed                      // no response, or a partial one
	Inconclusive                // no evidence about the replica, such as a canceled request or too short a timeout
)

// Done ends the request and records the outcome and the load report, if any. timePerUnit is
// the time for a unit of work: an event of a stream, or a whole request that is not streamed;
// 0 if it is unknown.
func (l *Lease) Done(outcome Outcome, load *upstream.Load, timePerUnit time.Duration) {
	t := l.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[l.ID]
	if r == nil || l.done {
		return
	}
	l.done = true
	r.inFlight = max(r.inFlight-1, 0)
	defer t.notifyWaiters()
	if load != nil {
		r.load, r.loadReportedAt, r.inFlightAtReport = *load, t.now(), r.inFlight
	}
	switch outcome {
	case Answered:
		if r.consecutiveFailures > 0 {
			t.log.Log(event.PlacementCleared, event.F("replica", l.ID), event.F("failures", r.consecutiveFailures))
		}
		r.consecutiveFailures, r.unhealthyUntil = 0, time.Time{}
		r.observeDuration(t.now().Sub(l.acquiredAt))
	case Refused:
		r.unhealthyUntil = t.now().Add(refusedDelay)
		if load != nil && load.Running+load.Waiting < slotCount(r) {
			r.unhealthyUntil = t.now().Add(loadingDelay)
		}
	case Failed:
		r.consecutiveFailures++
		delay := min(baseUnhealthyTime<<min(r.consecutiveFailures-1, 10), maxUnhealthyTime)
		r.unhealthyUntil = t.now().Add(delay)
		t.log.Log(event.PlacementSuspected, event.F("replica", l.ID), event.F("failures", r.consecutiveFailures), event.F("for_ms", delay.Milliseconds()))
	}
	if load != nil {
		timePerUnit = usualTime(timePerUnit, load.Slowdown)
	}
	r.observeTimePerUnit(timePerUnit)
}

// ObserveTimePerUnit records the time per unit of work while the request is in flight.
func (l *Lease) ObserveTimePerUnit(timePerUnit time.Duration) {
	t := l.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.replicas[l.ID]; r != nil {
		r.observeTimePerUnit(timePerUnit)
	}
}

// observeTimePerUnit adds an observation to the replica's moving average; 0 is ignored.
func (r *replica) observeTimePerUnit(timePerUnit time.Duration) {
	if timePerUnit <= 0 {
		return
	}
	ms := float64(timePerUnit) / float64(time.Millisecond)
	if r.timePerUnit == 0 {
		r.timePerUnit = ms
	}
	r.timePerUnit += smoothingFactor * (ms - r.timePerUnit)
}

// MedianTimePerUnit returns the median time per unit of work at the replicas that may run a
// request, 0 if it is unknown, and true if a replica that is not slow can take the request.
// Otherwise it returns 0 and false.
func (t *Tracker) MedianTimePerUnit(request Request) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := t.filter(request)
	median := medianTimePerUnit(t.eligibleReplicas(request))
	for _, c := range result.candidates {
		if slowness(c, median) < slowReplicaFactor {
			return time.Duration(median * float64(time.Millisecond)), true
		}
	}
	return 0, false
}

// ReportLoad records a replica's load while a request is still in flight there.
func (l *Lease) ReportLoad(load *upstream.Load) {
	if load == nil {
		return
	}
	t := l.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.replicas[l.ID]; r != nil {
		r.load, r.loadReportedAt, r.inFlightAtReport = *load, t.now(), r.inFlight
	}
}
