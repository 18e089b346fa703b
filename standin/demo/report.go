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

// errViolation reports that the demo violated a guarantee.
var errViolation = errors.New("the demo violated a guarantee")

// results holds the counts of the trainer, the callers and the plain service.
type results struct {
	samples  trainer.Result
	requests *tally.Tally
	runs     map[string]int64 // executions by request key or ID, from the plain service
}

// report writes the results, with the summary line last, and returns an error if they violate a
// guarantee.
func (d *demo) report(ctx context.Context, samples trainer.Result, requests *tally.Tally) error {
	var plain fakeplain.Counts
	if err := d.cluster.Get(ctx, d.plainServer.Address, "/control/counts", &plain); err != nil {
		return err
	}
	r := results{samples: samples, requests: requests, runs: plain.RunsByKey}
	d.logf("step took %s, %d tokens, %d versions, %d samples of several versions, %d calls retried by the trainer",
		samples.Duration.Round(1e6), samples.Tokens, samples.Versions, samples.MultiSegment, samples.Retries)
	d.logf("non-idempotent requests: %d, copies of them sent: %d", len(requests.Keys), requests.Copies)
	for _, reason := range requests.SortedReasons() {
		d.logf("requests without a complete response: %s", reason)
	}
	violations := r.violations()
	for _, violation := range violations {
		d.logf("guarantee violated: %s", violation)
	}
	fmt.Fprintln(d.options.Out, r.summaryLine())
	if len(violations) > 0 {
		return errViolation
	}
	return nil
}

// summaryLine returns the last line of the demo's output.
func (r results) summaryLine() string {
	s, outcomes := r.samples, r.requests.Outcomes
	return fmt.Sprintf("demo: samples expected=%d delivered=%d duplicated=%d missing=%d over_bound=%d untagged=%d; "+
		"requests ok=%d not_run=%d unknown=%d; non_idempotent run_twice=%d",
		s.Expected, s.Delivered, s.Duplicated, s.Missing, s.OverBound, s.Untagged,
		outcomes[caller.OK], outcomes[fault.NotRun], outcomes[fault.Unknown], len(r.requests.RanTwice(r.runs)))
}

// violations lists the violated guarantees.
func (r results) violations() []string {
	var found []string
	addIf := func(violated bool, format string, arguments ...any) {
		if violated {
			found = append(found, fmt.Sprintf(format, arguments...))
		}
	}
	addIf(r.samples.MismatchedCompletions > 0, "samples whose completion does not match their weight versions: %d", r.samples.MismatchedCompletions)
	addIf(r.samples.Violated(), "samples: %s", r.summaryLine())
	addIf(len(r.requests.RanTwice(r.runs)) > 0, "requests run twice: %s", strings.Join(r.requests.RanTwice(r.runs), " "))
	addIf(len(r.requests.RanDespiteNotRun(r.runs)) > 0, "requests that ran but were reported as not run: %s", strings.Join(r.requests.RanDespiteNotRun(r.runs), " "))
	addIf(len(r.requests.Mismatched) > 0, "mismatched responses: %v", r.requests.Mismatched)
	addIf(r.requests.Outcomes[caller.OK] == 0, "no request got a complete response")
	return found
}
