package demo

import (
	"fmt"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
	"github.com/hornbeamtide/hornbeamtide/standin/tally"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

func healthy() figures {
	requests := tally.New()
	for i := range 8 {
		requests.Record(caller.Request{ID: fmt.Sprint("lookup-", i)}, caller.Result{Outcome: caller.OK})
	}
	requests.Record(caller.Request{ID: "1", Key: "a"}, caller.Result{Outcome: caller.OK})
	requests.RecordCopies(caller.Request{ID: "2", Key: "b"}, caller.Result{Outcome: fault.Unknown}, caller.Result{Outcome: caller.OK})
	requests.Record(caller.Request{ID: "c"}, caller.Result{Outcome: fault.NotRun})
	requests.Record(caller.Request{ID: "3"}, caller.Result{Outcome: fault.Unknown})
	requests.RecordCopies(caller.Request{ID: "4", Key: "d"}, caller.Result{Outcome: fault.NotRun}, caller.Result{Outcome: fault.Unknown})
	return figures{
		samples:  trainer.Result{Expected: 128, Delivered: 128},
		requests: requests,
		runs:     map[string]int64{"a": 1},
	}
}

func TestLastLine(t *testing.T) {
	want := "demo: samples expected=128 delivered=128 duplicated=0 missing=0 over_bound=0 untagged=0; " +
		"requests ok=10 not_run=1 unknown=2; non_idempotent run_twice=0"
	if got := healthy().line(); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	if broken := healthy().broken(); len(broken) > 0 {
		t.Errorf("broken: %v", broken)
	}
}

func TestEachBrokenPromiseEndsTheDemo(t *testing.T) {
	cases := map[string]func(*figures){
		"missing sample":           func(f *figures) { f.samples.Delivered, f.samples.Missing = 127, 1 },
		"sample delivered twice":   func(f *figures) { f.samples.Duplicated = 1 },
		"sample over the bound":    func(f *figures) { f.samples.OverBound = 1 },
		"sample without a version": func(f *figures) { f.samples.Untagged = 1 },
		"sample of wrong versions": func(f *figures) { f.samples.Wrong = 1 },
		"request run twice":        func(f *figures) { f.runs["b"] = 2 },
		"not run, but it ran":      func(f *figures) { f.runs["c"] = 1 },
		"another request's answer": func(f *figures) { f.requests.Wrong = []tally.WrongAnswer{{ID: "x"}} },
		"no answer at all":         func(f *figures) { f.requests.Outcomes[caller.OK] = 0 },
	}
	for name, change := range cases {
		f := healthy()
		change(&f)
		if len(f.broken()) == 0 {
			t.Errorf("%s: not noticed", name)
		}
	}
}
