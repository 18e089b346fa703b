package batch

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

// stragglerCheckInterval is the interval between two checks of a batch's streams.
const stragglerCheckInterval = 200 * time.Millisecond

// errStraggler means that a completion moves because its replica is slower than others.
var errStraggler = fault.New(fault.Unavailable, "the replica is slower than others", "continue on another replica")

// completionStream is a completion that a replica is streaming.
type completionStream struct {
	task   *task
	lease  *placement.Lease
	cancel context.CancelFunc

	mu         sync.Mutex
	completion Completion // written only by the stream's own goroutine
	pace       streamPace
	moved      bool // canceled as a straggler

	text      *connlimit.Holder // memory of the completion, kept while it is unfinished
	textSize  int64             // see textMemory
	textLimit int64             // of the item
}

// add appends an event.
func (s *completionStream) add(data string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completion.add(data, version)
	s.pace.add(time.Now())
	if s.pace.eventCount%paceWindowEvents == 0 {
		s.lease.ObserveTimePerUnit(s.pace.eventTimes[len(s.pace.eventTimes)-1].Sub(s.pace.eventTimes[0]) / time.Duration(len(s.pace.eventTimes)-1))
	}
}

// markComplete marks the completion as complete.
func (s *completionStream) markComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completion.Complete = true
}

// reset discards the completion.
func (s *completionStream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completion = Completion{}
	s.textSize = 0
	s.text.Release()
}

// snapshot returns a copy of the completion.
func (s *completionStream) snapshot() Completion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.completion.copy()
}

func (s *completionStream) isMoved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved
}

// track adds a stream to those checked for stragglers; the returned function removes it.
func (r *run) track(s *completionStream) (untrack func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[s] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.streams, s)
	}
}

// moveStragglers cancels straggling streams while a faster replica has a free slot, until the
// batch ends. The item then continues there.
func (r *run) moveStragglers() {
	ticker := time.NewTicker(stragglerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		streams := make([]*completionStream, 0, len(r.streams))
		for s := range r.streams {
			streams = append(streams, s)
		}
		r.mu.Unlock()
		for _, s := range streams {
			r.moveIfStraggler(s)
		}
	}
}

func (r *run) moveIfStraggler(s *completionStream) {
	route, ok := r.routeOf(s.task.item)
	if !ok || s.task.moves >= maxMoves || route.SingleVersion { // with a single version it might have to start over
		return
	}
	request := r.placementRequest()
	request.Service = usableService(route, s.task.item.ID, r.usability(request))
	request.Exclude = map[string]bool{s.lease.ID: true}
	typical, free := r.tracker.MedianTimePerUnit(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !free || s.moved || !s.pace.isStraggler(time.Now(), typical) {
		return
	}
	s.moved = true
	s.task.moves++ // accessed only by moveStragglers
	r.log.Log(event.BatchItemStraggling, event.F("batch", r.job.ID), event.F("item", s.task.item.ID), event.F("replica", s.lease.ID),
		event.F("events", s.pace.eventCount), event.F("ms", time.Since(s.pace.sentAt).Milliseconds()), event.F("usual_ms", typical.Milliseconds()))
	s.cancel()
}
