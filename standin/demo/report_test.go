package demo

import (
	"fmt"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
	"github.com/hornbeamtide/hornbeamtide/standin/tally"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

func resultsWithoutViolation() results {
	requests := tally.New()
	for i := range 8 {
		requests.Record(caller.Request{ID: fmt.Sprint("lookup-", i)}, caller.Result{Outcome: caller.OK})
	}
	requests.Record(caller.Request{ID: "1", Key: "a"}, caller.Result{Outcome: caller.OK})
	requests.RecordCopies(caller.Request{ID: "2", Key: "b"}, caller.Result{Outcome: fault.Unknown}, caller.Result{Outcome: caller.OK})
	requests.Record(caller.Request{ID: "c"}, caller.Result{Outcome: fault.NotRun})
	requests.Record(caller.Request{ID: "3"}, caller.Result{Outcome: fault.Unknown})
	requests.RecordCopies(caller.Request{ID: "4", Key: "d"}, caller.Result{Outcome: fault.NotRun}, caller.Result{Outcome: fault.Unknown})
	return results{
		samples:  trainer.Result{Expected: 128, Delivered: 128},
		requests: requests,
		runs:     map[string]int64{"a": 1},
	}
}

func TestSummaryLine(t *testing.T) {
	want := "demo: samples expected=128 delivered=128 duplicated=0 missing=0 over_bound=0 untagged=0; " +
		"requests ok=10 not_run=1 unknown=2; non_idempotent run_twice=0"
	if got := resultsWithoutViolation().summaryLine(); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	if violations := resultsWithoutViolation().violations(); len(violations) > 0 {
		t.Errorf("unexpected violations: %v", violations)
	}
}

func TestEachViolationFailsTheDemo(t *testing.T) {
	cases := map[string]func(*results){
		"missing sample":           func(r *results) { r.samples.Delivered, r.samples.Missing = 127, 1 },
		"sample delivered twice":   func(r *results) { r.samples.Duplicated = 1 },
		"sample over the bound":    func(r *results) { r.samples.OverBound = 1 },
		"sample without a version": func(r *results) { r.samples.Untagged = 1 },
		"sample of wrong versions": func(r *results) { r.samples.MismatchedCompletions = 1 },
		"request run twice":        func(r *results) { r.runs["b"] = 2 },
		"ran despite not run":      func(r *results) { r.runs["c"] = 1 },
		"mismatched response":      func(r *results) { r.requests.Mismatched = []tally.MismatchedResponse{{ID: "x"}} },
		"no complete response":     func(r *results) { r.requests.Outcomes[caller.OK] = 0 },
	}
	for name, injectViolation := range cases {
		r := resultsWithoutViolation()
		injectViolation(&r)
		if len(r.violations()) == 0 {
			t.Errorf("%s: no violation reported", name)
		}
	}
}
