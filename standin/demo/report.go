package demo

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
	"github.com/hornbeamtide/hornbeamtide/standin/tally"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

// errBroken ends a demo in which a promise was broken.
var errBroken = errors.New("a promise was broken")

// figures are what the trainer, the callers and the plain service counted.
type figures struct {
	samples  trainer.Result
	requests *tally.Tally
	runs     map[string]int64 // runs by request key or id, counted by the plain service
}

// report writes the figures, the last line last, and returns an error if one of them
// breaks a promise.
func (d *demo) report(ctx context.Context, samples trainer.Result, requests *tally.Tally) error {
	var plain fakeplain.Counts
	if err := d.cluster.Get(ctx, d.plain.Address, "/control/counts", &plain); err != nil {
		return err
	}
	f := figures{samples: samples, requests: requests, runs: plain.RunsByKey}
	d.say("step took %s, %d tokens, %d versions, %d samples of several versions, %d calls retried by the trainer",
		samples.Took.Round(1e6), samples.Tokens, samples.Versions, samples.MultiParts, samples.Retries)
	d.say("non-idempotent requests: %d, copies of them sent: %d", len(requests.Keys), requests.Copies)
	for _, reason := range requests.SortedReasons() {
		d.say("requests without an answer: %s", reason)
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
	s, outcomes := f.samples, f.requests.Outcomes
	return fmt.Sprintf("demo: samples expected=%d delivered=%d duplicated=%d missing=%d over_bound=%d untagged=%d; "+
		"requests ok=%d not_run=%d unknown=%d; non_idempotent run_twice=%d",
		s.Expected, s.Delivered, s.Duplicated, s.Missing, s.OverBound, s.Untagged,
		outcomes[caller.OK], outcomes[fault.NotRun], outcomes[fault.Unknown], len(f.requests.RanTwice(f.runs)))
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
	add(len(f.requests.RanTwice(f.runs)) > 0, "requests run twice: %s", strings.Join(f.requests.RanTwice(f.runs), " "))
	add(len(f.requests.RanAfterAll(f.runs)) > 0, "requests reported as not run that ran: %s", strings.Join(f.requests.RanAfterAll(f.runs), " "))
	add(len(f.requests.Wrong) > 0, "answers that are not the request's own: %v", f.requests.Wrong)
	add(f.requests.Outcomes[caller.OK] == 0, "no request was answered")
	return broken
}
