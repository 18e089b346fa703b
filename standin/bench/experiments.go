package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
)

// Options are common to all experiments.
type Options struct {
	Examples string
	Pairs    int // runs of each variant
	Steps    int // a trainer and run
	Seed     uint64
	Out      io.Writer // progress
	Log      io.Writer // of the daemons
}

// Compare runs the variants interleaved, so that each pair meets the same machine.
func Compare(ctx context.Context, o Options, w Workload, variants []Variant, faults Disturbances) ([]Result, error) {
	var results []Result
	for pair := range o.Pairs {
		for _, v := range variants {
			run := Run{
				Workload: w, Variant: v, Seed: o.Seed + uint64(pair), Steps: o.Steps,
				Examples: o.Examples, Faults: faults, Log: o.Log,
			}
			result, err := run.Measure(ctx)
			if err != nil {
				return results, fmt.Errorf("%s %s seed %d: %w", w.Name, v.Name, run.Seed, err)
			}
			fmt.Fprintf(o.Out, "%s %s seed %d: idle %.3f staleness %.3f p99 %.0f ms hit %.2f\n",
				w.Name, v.Name, run.Seed, result.IdleShare, result.MeanStaleness, result.ModelP99MS, result.PrefixHit)
			results = append(results, result)
		}
	}
	return results, nil
}

// SlowReplica compares runs with all engines healthy and with one that is ten times slower.
func SlowReplica(ctx context.Context, o Options, w Workload, variant Variant) ([]Result, error) {
	var results []Result
	for pair := range o.Pairs {
		for _, factor := range []float64{0, slowFactor} {
			run := Run{
				Workload: w, Variant: variant, Seed: o.Seed + uint64(pair), Steps: o.Steps,
				Examples: o.Examples, Faults: Disturbances{SlowEngine: factor}, Log: o.Log,
			}
			result, err := run.Measure(ctx)
			if err != nil {
				return results, err
			}
			if factor > 0 {
				result.Variant += "+slow"
			}
			fmt.Fprintf(o.Out, "%s %s seed %d: p99 %.0f ms\n", w.Name, result.Variant, run.Seed, result.ModelP99MS)
			results = append(results, result)
		}
	}
	return results, nil
}

const slowFactor = 10

// LoadPoint is the goodput at one offered load of callers' model requests.
type LoadPoint struct {
	Variant  string  `json:"variant"`
	Offered  float64 `json:"offered"`  // requests a second
	Goodput  float64 `json:"goodput"`  // answered whole in time a second
	NotRun   int     `json:"not_run"`  // shed
	Unknown  int     `json:"unknown"`  //
	Attempts float64 `json:"attempts"` // at engines a request
	P99MS    float64 `json:"p99_ms"`   // of the answered ones
}

const (
	overloadTime     = 5 * time.Second
	overloadDeadline = 2 * time.Second
)

// Overload offers growing loads without trainers and returns a point each.
func Overload(ctx context.Context, o Options, w Workload, variant Variant, rates []float64) ([]LoadPoint, error) {
	var points []LoadPoint
	for _, rate := range rates {
		point, err := loadPoint(ctx, o, w, variant, rate)
		if err != nil {
			return points, err
		}
		fmt.Fprintf(o.Out, "%s %s offered %.0f/s: goodput %.0f/s not_run %d unknown %d attempts %.3f p99 %.0f ms\n",
			w.Name, variant.Name, rate, point.Goodput, point.NotRun, point.Unknown, point.Attempts, point.P99MS)
		points = append(points, point)
	}
	return points, nil
}

func loadPoint(ctx context.Context, o Options, w Workload, variant Variant, rate float64) (LoadPoint, error) {
	run := Run{Workload: w, Variant: variant, Seed: o.Seed, Examples: o.Examples, Log: o.Log}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	system, err := run.start(ctx)
	if err != nil {
		return LoadPoint{}, err
	}
	defer system.Close()
	if err := pause(ctx, settleTime); err != nil {
		return LoadPoint{}, err
	}
	load := newCallers(w, system.Addresses(), overloadDeadline)
	sending, stop := context.WithTimeout(ctx, overloadTime)
	defer stop()
	var sent sync.WaitGroup
	sent.Go(func() { load.send(sending, rate, o.Seed, load.generate) })
	sent.Wait()
	started := int64(0)
	for _, engine := range system.Engines {
		counts := engine.Counts()
		started += counts.Started + counts.Refused
	}
	requests := 0
	for _, n := range load.outcomes {
		requests += n
	}
	return LoadPoint{
		Variant: variant.Name, Offered: float64(requests) / overloadTime.Seconds(),
		Goodput: float64(load.outcomes[caller.OK]) / overloadTime.Seconds(),
		NotRun:  load.outcomes[fault.NotRun], Unknown: load.outcomes[fault.Unknown],
		Attempts: float64(started) / float64(max(requests, 1)),
		P99MS:    float64(load.latency.ValueAtQuantile(99)) / 1000,
	}, nil
}
