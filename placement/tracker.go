// Package placement chooses the replica for a request. The tracker keeps what this
// daemon knows of each replica; a choice is a chain of filters, preferences and a score
// over a snapshot of it.
package placement

import (
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

const (
	// suspicion is how long a replica that broke a connection gets no work while
	// others can take it; it doubles with each failure in a row.
	suspicion    = 500 * time.Millisecond
	maxSuspicion = 8 * time.Second
	// refusalPause is how long a replica that refused a request gets no work while others
	// can take it, and loadingPause the same for one that refused it with places free:
	// it loads weights.
	refusalPause = 100 * time.Millisecond
	loadingPause = 400 * time.Millisecond
	// reportAge is how long a replica's own report of its load counts.
	reportAge = 1500 * time.Millisecond
	// speedWeight is the share of the newest observation in the mean pace.
	speedWeight = 0.2
)

// replica is what is known of one replica.
type replica struct {
	catalog.Replica

	inProgress int // requests of this daemon
	load       upstream.Load
	loadAt     time.Time
	ownAtLoad  int // inProgress when load was reported
	failures   int // in a row
	suspect    time.Time
	pace       float64       // mean time a unit of work, ms; 0 when unknown
	lasting    time.Duration // mean time of an answered request; 0 when unknown
	held       time.Time     // takes no new work until then: an order is in progress
}

// Tracker keeps the replicas of all services.
type Tracker struct {
	now func() time.Time
	log *event.Logger

	mu       sync.Mutex
	replicas map[string]*replica // by ID
	changed  chan struct{}       // closed when a place may have become free
}

// NewTracker returns a tracker without replicas.
func NewTracker(log *event.Logger) *Tracker {
	return &Tracker{now: time.Now, log: log, replicas: map[string]*replica{}, changed: make(chan struct{})}
}

// Set adds a replica or replaces what its entry says. Another incarnation under the same
// ID starts with a clean record.
func (t *Tracker) Set(r catalog.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.replicas[r.ID]
	if known == nil || known.Started != r.Started || known.Address != r.Address {
		t.replicas[r.ID] = &replica{Replica: r}
		t.wake()
		return
	}
	known.Replica = r
	t.wake()
}

// Remove takes a replica out.
func (t *Tracker) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// Changed returns a channel that is closed when a place may have become free.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// wake tells those who wait for a place. The caller holds the lock.
func (t *Tracker) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Hold keeps new work off a replica for a time, because an order to it is in progress.
// A zero time ends it.
func (t *Tracker) Hold(id string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[id]
	if r == nil {
		return
	}
	r.held = time.Time{}
	if d > 0 {
		r.held = t.now().Add(d)
		return
	}
	t.wake()
}

// SetVersion records the weight version that a replica was seen to run.
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
	t.wake()
}

// Lease is a place at a replica. Done must be called once.
type Lease struct {
	catalog.Replica

	Choice Choice // how it was chosen

	tracker *Tracker
	taken   time.Time
}

// Outcome is what a request showed about its replica.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota // it answered, with whatever status
	Refused                 // it was full and did not run the request
	Broke                   // no answer, or one that broke off
	Unclear                 // the request ended for reasons of its caller
)

// Done gives the place back and records the outcome. pace is the time a unit of work
// took, 0 when it is unknown.
func (l *Lease) Done(outcome Outcome, load *upstream.Load, pace time.Duration) {
	t := l.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.replicas[l.ID]
	if r == nil {
		return
	}
	r.inProgress = max(r.inProgress-1, 0)
	defer t.wake()
	if load != nil {
		r.load, r.loadAt, r.ownAtLoad = *load, t.now(), r.inProgress
	}
	switch outcome {
	case Answered:
		if r.failures > 0 {
			t.log.Log(event.PlacementCleared, event.F("replica", l.ID), event.F("failures", r.failures))
		}
		r.failures, r.suspect = 0, time.Time{}
		r.observeLasting(t.now().Sub(l.taken))
	case Refused:
		r.suspect = t.now().Add(refusalPause)
		if load != nil && load.Running+load.Waiting < slotsOf(r) {
			r.suspect = t.now().Add(loadingPause)
		}
	case Broke:
		r.failures++
		pause := min(suspicion<<min(r.failures-1, 10), maxSuspicion)
		r.suspect = t.now().Add(pause)
		t.log.Log(event.PlacementSuspected, event.F("replica", l.ID), event.F("failures", r.failures), event.F("for_ms", pause.Milliseconds()))
	}
	r.observe(pace)
}

// Pace records the time that a unit of work takes while the request goes on.
func (l *Lease) Pace(pace time.Duration) {
	t := l.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.replicas[l.ID]; r != nil {
		r.observe(pace)
	}
}

// observe adds a pace to the replica's mean; 0 is none.
func (r *replica) observe(pace time.Duration) {
	if pace <= 0 {
		return
	}
	ms := float64(pace) / float64(time.Millisecond)
	if r.pace == 0 {
		r.pace = ms
	}
	r.pace += speedWeight * (ms - r.pace)
}

// Usual returns the usual time of a unit of work at the replicas that may run a request, 0
// if it is unknown, and whether one that is not slow has a place.
func (t *Tracker) Usual(request Request) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.survey(request)
	median := medianPace(t.candidates(request))
	for _, c := range s.candidates {
		if slowness(c, median) < slowReplica {
			return time.Duration(median * float64(time.Millisecond)), true
		}
	}
	return 0, false
}

// Report records a replica's load while a request is still in progress there.
func (l *Lease) Report(load *upstream.Load) {
	if load == nil {
		return
	}
	t := l.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.replicas[l.ID]; r != nil {
		r.load, r.loadAt, r.ownAtLoad = *load, t.now(), r.inProgress
	}
}
