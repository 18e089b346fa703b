package batch

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

// reviewInterval is the pause between two looks at the streams of a batch.
const reviewInterval = 200 * time.Millisecond

// errStraggles says that a text leaves a replica because it is slower there than elsewhere.
var errStraggles = fault.New(fault.Unavailable, "the text is slower there than elsewhere", "go on at another replica")

// textStream is an item's text on its way from a replica.
type textStream struct {
	task   *task
	lease  *placement.Lease
	cancel context.CancelFunc

	mu    sync.Mutex
	text  Text // as far as it has come; only the stream's own task changes it
	pace  paceRecord
	moved bool // it was broken off because it straggles
}

// add appends an event.
func (s *textStream) add(data string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.add(data, version)
	s.pace.add(time.Now())
	if s.pace.made%paceEvents == 0 {
		s.lease.Pace(s.pace.times[len(s.pace.times)-1].Sub(s.pace.times[0]) / time.Duration(len(s.pace.times)-1))
	}
}

// end notes that the text is whole.
func (s *textStream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.Whole = true
}

// restart drops what was made.
func (s *textStream) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = Text{}
}

// snapshot returns a copy of the text so far.
func (s *textStream) snapshot() Text {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.text.copy()
}

func (s *textStream) wasMoved() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved
}

// begin adds a stream to those that are looked at; the returned function takes it out.
func (r *run) begin(s *textStream) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[s] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.streams, s)
	}
}

// review moves texts that straggle while a faster replica has a place, until the batch ends.
func (r *run) review() {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		streams := make([]*textStream, 0, len(r.streams))
		for s := range r.streams {
			streams = append(streams, s)
		}
		r.mu.Unlock()
		for _, s := range streams {
			r.moveIfSlow(s)
		}
	}
}

func (r *run) moveIfSlow(s *textStream) {
	request, ok := r.needs(s.task.item)
	if !ok || s.task.moves >= maxMoves {
		return
	}
	if route, ok := r.routeOf(s.task.item); ok && route.SingleVersion {
		return // it might have to begin anew
	}
	request.Exclude = map[string]bool{s.lease.ID: true}
	usual, free := r.tracker.Usual(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !free || s.moved || !s.pace.straggles(time.Now(), usual) {
		return
	}
	s.moved = true
	s.task.moves++ // only the review reads it
	r.log.Log(event.BatchItemSlow, event.F("batch", r.job.ID), event.F("item", s.task.item.ID), event.F("replica", s.lease.ID),
		event.F("events", s.pace.made), event.F("ms", time.Since(s.pace.sent).Milliseconds()), event.F("usual_ms", usual.Milliseconds()))
	s.cancel()
}
