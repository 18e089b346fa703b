package usage

import (
	"sort"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// maxOrganisationsShown bounds the organisations of a window in the state for dumps.
const maxOrganisationsShown = 64

// cell is one count of this daemon.
type cell struct {
	count    int64
	sequence uint64 // of the last change
}

// Recorder counts the requests that replicas began to run for this daemon, by window of true time and
// organisation.
type Recorder struct {
	clock   *Clock
	window  time.Duration
	log     *event.Logger
	changed chan struct{} // signals new counts to the Manager

	mu       sync.Mutex
	windows  map[int64]map[string]cell
	full     int64  // last window that was reported to be full
	sequence uint64 // increases with each count
}

// NewRecorder returns a Recorder for windows of the given length.
func NewRecorder(trueTime *Clock, window time.Duration, log *event.Logger) *Recorder {
	return &Recorder{clock: trueTime, window: window, log: log, changed: make(chan struct{}, 1), windows: map[int64]map[string]cell{}}
}

// Record counts a request of an organisation that a replica began to run at begunAt, a time that
// time.Now returned. It does nothing without an organisation.
func (r *Recorder) Record(organisation string, begunAt time.Time) {
	if organisation == "" {
		return
	}
	now := r.clock.Now()
	index, current := WindowIndex(now.Add(-r.clock.since(begunAt)), r.window), WindowIndex(now, r.window)
	if !isKept(index, current) {
		r.log.Log(event.UsageWindowGone, event.F("window", index), event.F("current", current), event.F("organisation", organisation))
		return
	}
	if !r.add(organisation, index, current) {
		return
	}
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// add counts a request. It returns false if the window has too many organisations.
func (r *Recorder) add(organisation string, index, current int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(current)
	counts := r.windows[index]
	if counts == nil {
		counts = map[string]cell{}
		r.windows[index] = counts
	}
	known, exists := counts[organisation]
	if !exists && len(counts) >= maxOrganisations {
		if r.full != index {
			r.full = index
			r.log.Log(event.UsageOrganisationsFull, event.F("window", index), event.F("organisation", organisation))
		}
		return false
	}
	r.sequence++
	counts[organisation] = cell{count: known.count + 1, sequence: r.sequence}
	return true
}

// prune deletes the windows that are not kept. The caller holds the lock.
func (r *Recorder) prune(current int64) {
	for index := range r.windows {
		if !isKept(index, current) {
			delete(r.windows, index)
		}
	}
}

// changedSince returns the recent counts that changed after a sequence number, by window, and the
// current sequence number. Load pattern: with 360 daemons, the first two of the duty order get over
// 1,000 messages a second; a message with all counts of 30 s would be many times as large.
func (r *Recorder) changedSince(sequence uint64) (map[int64]map[string]int64, uint64) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := map[int64]map[string]int64{}
	for index, counts := range r.windows {
		if !isRecent(index, now, r.window) {
			continue
		}
		for organisation, c := range counts {
			if c.sequence <= sequence {
				continue
			}
			if changed[index] == nil {
				changed[index] = map[string]int64{}
			}
			changed[index][organisation] = c.count
		}
	}
	return changed, r.sequence
}

// lastSequence returns the sequence number of the last count.
func (r *Recorder) lastSequence() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence
}

// of returns the counts of one window.
func (r *Recorder) of(index int64) map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int64, len(r.windows[index]))
	for organisation, c := range r.windows[index] {
		counts[organisation] = c.count
	}
	return counts
}

// hasRecent reports whether there are counts to be sent to other daemons.
func (r *Recorder) hasRecent() bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for index := range r.windows {
		if isRecent(index, now, r.window) {
			return true
		}
	}
	return false
}

// WindowState is the state of one window on this daemon.
type WindowState struct {
	Window  int64            `json:"window"`
	Total   int64            `json:"total"`             // requests of all organisations
	Counts  map[string]int64 `json:"counts"`            // of the organisations with the most requests
	Omitted int              `json:"omitted,omitempty"` // organisations that are not in Counts
}

// Windows returns the last windows with this daemon's counts, ordered by time.
func (r *Recorder) Windows() []WindowState {
	current := WindowIndex(r.clock.Now(), r.window)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(current)
	states := make([]WindowState, 0, len(r.windows))
	for index, counts := range r.windows {
		states = append(states, windowState(index, counts))
	}
	sort.Slice(states, func(a, b int) bool { return states[a].Window < states[b].Window })
	return states
}

func windowState(index int64, counts map[string]cell) WindowState {
	names := make([]string, 0, len(counts))
	for organisation := range counts {
		names = append(names, organisation)
	}
	sort.Slice(names, func(a, b int) bool {
		countA, countB := counts[names[a]].count, counts[names[b]].count
		return countA > countB || countA == countB && names[a] < names[b]
	})
	state := WindowState{Window: index, Counts: map[string]int64{}, Omitted: max(len(names)-maxOrganisationsShown, 0)}
	for i, organisation := range names {
		state.Total += counts[organisation].count
		if i < maxOrganisationsShown {
			state.Counts[organisation] = counts[organisation].count
		}
	}
	return state
}
