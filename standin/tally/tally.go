// Package tally counts the results that callers received and compares them with what
// servers ran.
package tally

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
)

// MismatchedResponse is a seemingly complete response that does not match its request.
type MismatchedResponse struct {
	ID      string
	Replica string
	Reason  string
}

// Tally counts the results of requests. Its methods Record and RecordCopies are safe for
// concurrent use. Everything else must be used only after all callers have finished.
type Tally struct {
	Outcomes   map[fault.Outcome]int
	Reasons    map[string]int // requests without a complete response, by outcome and kind
	Copies     int            // additional copies of non-idempotent requests
	Mismatched []MismatchedResponse
	Keys       []string // keys of non-idempotent requests

	notRun []string // ids and keys of requests of which every copy was reported as not run
	mu     sync.Mutex
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{Outcomes: map[fault.Outcome]int{}, Reasons: map[string]int{}}
}

// Record counts the result of a request. If the request was reported as not run, Record
// keeps its key, or its id if it has no key, for RanDespiteNotRun.
func (t *Tally) Record(r caller.Request, result caller.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Outcomes[result.Outcome]++
	if result.Outcome != caller.OK {
		t.Reasons[reason(result)]++
	}
	if result.Mismatch != "" {
		t.Mismatched = append(t.Mismatched, MismatchedResponse{ID: r.ID, Replica: result.Replica, Reason: result.Mismatch})
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
// request. It counts as successful if any copy succeeded, and as not run only if every
// copy was reported as not run.
func (t *Tally) RecordCopies(r caller.Request, results ...caller.Result) {
	t.mu.Lock()
	t.Copies += len(results) - 1
	t.mu.Unlock()
	merged := results[0]
	for _, next := range results[1:] {
		if rank(next.Outcome) > rank(merged.Outcome) {
			merged = next
		}
	}
	t.Record(r, merged)
}

// rank orders the outcomes of copies: the highest one is the outcome of the request.
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

// RanDespiteNotRun returns the ids and keys that were reported as not run although servers ran
// them.
func (t *Tally) RanDespiteNotRun(runs map[string]int64) []string {
	return filter(t.notRun, func(id string) bool { return runs[id] > 0 })
}

// SortedReasons returns a line "count reason" for each entry of Reasons, sorted by reason.
func (t *Tally) SortedReasons() []string {
	var lines []string
	for _, r := range slices.Sorted(maps.Keys(t.Reasons)) {
		lines = append(lines, fmt.Sprintf("%d %s", t.Reasons[r], r))
	}
	return lines
}

func filter(values []string, match func(string) bool) []string {
	var matching []string
	for _, s := range values {
		if match(s) {
			matching = append(matching, s)
		}
	}
	return matching
}

// reason returns the outcome of a failed request and its cause. A result without an error
// kind means that the connection to the daemon broke.
func reason(r caller.Result) string {
	if r.Kind == "" {
		return string(r.Outcome) + " connection to the daemon ended"
	}
	return string(r.Outcome) + " " + string(r.Kind)
}
