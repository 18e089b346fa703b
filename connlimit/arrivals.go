package connlimit

import (
	"sync"
	"time"
)

const (
	// maxRoomWait is how long the first of several arrivals waits for room, and roomWaitStep how often it asks.
	maxRoomWait  = 500 * time.Millisecond
	roomWaitStep = 10 * time.Millisecond
)

// Arrivals knows which of the large bodies that are being read arrived first. Load pattern: large bodies that come at the
// same moment use up a budget together. Only the first of them waits for room, the others are refused and leave it
// theirs; otherwise all of them might be refused. The zero value is ready for use, by several goroutines.
type Arrivals struct {
	mu      sync.Mutex
	next    int64
	reading map[int64]bool
}

// Arrival is one body that is being read.
type Arrival struct {
	arrivals *Arrivals
	ticket   int64
}

// Begin registers a body. End must be called when it has been read.
func (a *Arrivals) Begin() *Arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reading == nil {
		a.reading = map[int64]bool{}
	}
	a.next++
	a.reading[a.next] = true
	return &Arrival{arrivals: a, ticket: a.next}
}

// End removes the body.
func (a *Arrival) End() {
	a.arrivals.mu.Lock()
	defer a.arrivals.mu.Unlock()
	delete(a.arrivals.reading, a.ticket)
}

// isFirst reports whether no body that is being read arrived earlier.
func (a *Arrival) isFirst() bool {
	a.arrivals.mu.Lock()
	defer a.arrivals.mu.Unlock()
	for other := range a.arrivals.reading {
		if other < a.ticket {
			return false
		}
	}
	return true
}

// Take takes size more bytes for the body. It reports false and takes nothing if the budget is used up; the first of
// several bodies waits for a time before that.
func (a *Arrival) Take(h *Holder, size int64) bool {
	for end := time.Now().Add(maxRoomWait); !h.Take(size); time.Sleep(roomWaitStep) {
		if !a.isFirst() || time.Now().After(end) {
			return false
		}
	}
	return true
}
