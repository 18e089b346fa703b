package demo

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

// errBroken ends a demo in which a promise was broken.
var errBroken = errors.New("a promise was broken")

// figures are what the trainer, the callers and the plain service counted.
type figures struct {
	samples  trainer.Result
	requests mixResult
	runs     map[string]int64 // runs by request key or id, counted by the plain service
}

// report writes the figures, the last line last, and returns an error if one of them
// breaks a promise.
func (d *demo) report(ctx context.Context, samples trainer.Result, requests mixResult) error {
	var plain fakeplain.Counts
	if err := d.cluster.Get(ctx, d.plain.Address, "/control/counts", &plain); err != nil {
		return err
	}
	f := figures{samples: samples, requests: requests, runs: plain.RunsByKey}
	d.say("step took %s, %d tokens, %d versions, %d samples of several versions, %d calls retried by the trainer",
		samples.Took.Round(1e6), samples.Tokens, samples.Versions, samples.MultiParts, samples.Retries)
	d.say("non-idempotent requests: %d, copies of them sent: %d", len(requests.keys), requests.copies)
	for _, kind := range slices.Sorted(maps.Keys(requests.kinds)) {
		d.say("requests without an answer: %d %s", requests.kinds[kind], kind)
	}
	broken := f.broken()
	for _, promise := range broken {
		d.say("broken: %s", promise)
	}
	fmt.Fprintln(d.options.Out, f.line())
	if len(broken) > 0 {
		return errBroken
	}
	return nil
}

// line is the demo's last line.
func (f figures) line() string {
	s, outcomes := f.samples, f.requests.outcomes
	return fmt.Sprintf("demo: samples expected=%d delivered=%d duplicated=%d missing=%d over_bound=%d untagged=%d; "+
		"requests ok=%d not_run=%d unknown=%d; non_idempotent run_twice=%d",
		s.Expected, s.Delivered, s.Duplicated, s.Missing, s.OverBound, s.Untagged,
		outcomes[caller.OK], outcomes[fault.NotRun], outcomes[fault.Unknown], len(f.ranTwice()))
}

// broken lists what breaks a promise.
func (f figures) broken() []string {
	var broken []string
	add := func(is bool, format string, arguments ...any) {
		if is {
			broken = append(broken, fmt.Sprintf(format, arguments...))
		}
	}
	add(f.samples.Wrong > 0, "samples whose text does not fit their versions: %d", f.samples.Wrong)
	add(f.samples.Broken(), "samples: %s", f.line())
	add(len(f.ranTwice()) > 0, "requests run twice: %s", strings.Join(f.ranTwice(), " "))
	add(len(f.ranAfterAll()) > 0, "requests reported as not run that ran: %s", strings.Join(f.ranAfterAll(), " "))
	add(len(f.requests.wrong) > 0, "answers that are not the request's own: %s", strings.Join(f.requests.wrong, "; "))
	add(f.requests.outcomes[caller.OK] == 0, "no request was answered")
	return broken
}

func (f figures) ranTwice() []string {
	var keys []string
	for _, key := range f.requests.keys {
		if f.runs[key] > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

func (f figures) ranAfterAll() []string {
	var ids []string
	for _, id := range f.requests.notRun {
		if f.runs[id] > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}
