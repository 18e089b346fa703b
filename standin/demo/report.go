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

// report writes the last line and returns an error if a figure breaks a promise.
func (d *demo) report(ctx context.Context, samples trainer.Result, requests mixResult) error {
	var plain fakeplain.Counts
	if err := d.cluster.Get(ctx, d.plain.Address, "/control/counts", &plain); err != nil {
		return err
	}
	runTwice := 0
	for _, key := range requests.keys {
		if plain.RunsByKey[key] > 1 {
			runTwice++
		}
	}
	var ran []string
	for _, id := range requests.notRun {
		if plain.RunsByKey[id] > 0 {
			ran = append(ran, id)
		}
	}
	d.say("step took %s, %d tokens, %d versions, %d samples of several versions, %d calls retried by the trainer",
		samples.Took.Round(1e6), samples.Tokens, samples.Versions, samples.MultiParts, samples.Retries)
	broken := samples.Broken() || runTwice > 0 || len(ran) > 0 || len(requests.wrong) > 0 || requests.outcomes[caller.OK] == 0
	if samples.Wrong > 0 {
		d.say("samples whose text does not fit their versions: %d", samples.Wrong)
	}
	if len(ran) > 0 {
		d.say("requests reported as not run that ran: %s", strings.Join(ran, " "))
	}
	if len(requests.wrong) > 0 {
		d.say("answers that are not the request's own: %s", strings.Join(requests.wrong, "; "))
	}
	d.say("non-idempotent requests: %d, copies of them sent: %d", len(requests.keys), requests.copies)
	for _, kind := range slices.Sorted(maps.Keys(requests.kinds)) {
		d.say("requests without an answer: %d %s", requests.kinds[kind], kind)
	}
	fmt.Fprintf(d.options.Out, "demo: samples expected=%d delivered=%d duplicated=%d missing=%d over_bound=%d untagged=%d; "+
		"requests ok=%d not_run=%d unknown=%d; non_idempotent run_twice=%d\n",
		samples.Expected, samples.Delivered, samples.Duplicated, samples.Missing, samples.OverBound, samples.Untagged,
		requests.outcomes[caller.OK], requests.outcomes[fault.NotRun], requests.outcomes[fault.Unknown], runTwice)
	if broken {
		return errBroken
	}
	return nil
}
