// Package tally counts what callers saw and compares it with what servers ran.
package tally

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
)

// WrongAnswer is an answer that claims to be whole and is not what was asked for.
type WrongAnswer struct {
	ID      string
	Replica string
	Reason  string
}

// Tally counts the results of requests. It is safe for concurrent use; its fields are
// read once the callers have ended.
type Tally struct {
	Outcomes map[fault.Outcome]int
	Reasons  map[string]int // requests without an answer, by outcome and kind
	Copies   int            // copies of non-idempotent requests
	Wrong    []WrongAnswer
	Keys     []string // keys of non-idempotent requests

	notRun []string // ids and keys of requests of which every copy was said not run
	mu     sync.Mutex
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{Outcomes: map[fault.Outcome]int{}, Reasons: map[string]int{}}
}

// Record counts the result of a request. One that was said not run is expected not to
// have run under its key, or its id when it has none.
func (t *Tally) Record(r caller.Request, result caller.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Outcomes[result.Outcome]++
	if result.Outcome != caller.OK {
		t.Reasons[reason(result)]++
	}
	if result.Wrong != "" {
		t.Wrong = append(t.Wrong, WrongAnswer{ID: r.ID, Replica: result.Replica, Reason: result.Wrong})
	}
	if r.Key != "" {
		t.Keys = append(t.Keys, r.Key)
	}
	if result.Outcome != fault.NotRun {
		return
	}
	if r.Key != "" {
		t.notRun = append(t.notRun, r.Key)
	} else {
		t.notRun = append(t.notRun, r.ID)
	}
}

// RecordCopies counts the results of all copies of one non-idempotent request as one
// request: answered if a copy was, not run only if every copy was said not run.
func (t *Tally) RecordCopies(r caller.Request, results ...caller.Result) {
	t.mu.Lock()
	t.Copies += len(results) - 1
	t.mu.Unlock()
	joined := results[0]
	for _, next := range results[1:] {
		if rank(next.Outcome) > rank(joined.Outcome) {
			joined = next
		}
	}
	t.Record(r, joined)
}

// rank orders the outcomes of copies by what they say of the request.
func rank(o fault.Outcome) int {
	switch o {
	case caller.OK:
		return 3
	case fault.Failed:
		return 2
	case fault.NotRun:
		return 0
	}
	return 1
}

// RanTwice returns the keys that servers ran more than once.
func (t *Tally) RanTwice(runs map[string]int64) []string {
	return filter(t.Keys, func(key string) bool { return runs[key] > 1 })
}

// RanAfterAll returns the ids and keys that were said not run and that servers ran.
func (t *Tally) RanAfterAll(runs map[string]int64) []string {
	return filter(t.notRun, func(id string) bool { return runs[id] > 0 })
}

// SortedReasons returns "count reason" of the requests without an answer.
func (t *Tally) SortedReasons() []string {
	var lines []string
	for _, r := range slices.Sorted(maps.Keys(t.Reasons)) {
		lines = append(lines, fmt.Sprintf("%d %s", t.Reasons[r], r))
	}
	return lines
}

func filter(all []string, keep func(string) bool) []string {
	var kept []string
	for _, s := range all {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	return kept
}

// reason names outcome and kind; a connection that broke has no kind.
func reason(r caller.Result) string {
	if r.Kind == "" {
		return string(r.Outcome) + " connection to the daemon ended"
	}
	return string(r.Outcome) + " " + string(r.Kind)
}
