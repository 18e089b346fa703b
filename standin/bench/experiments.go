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

// Options are the options that all experiments share.
type Options struct {
	ExamplesDir    string
	RunsPerVariant int // runs of each variant
	Steps          int // per trainer and run
	Seed           uint64
	Out            io.Writer // progress
	DaemonLog      io.Writer // log of the daemons
}

// Compare interleaves the runs of the variants, so that the runs with one seed see the
// same conditions on the machine.
func Compare(ctx context.Context, o Options, w Workload, variants []Variant, faults FaultOptions) ([]Result, error) {
	var results []Result
	for round := range o.RunsPerVariant {
		for _, v := range variants {
			run := Run{
				Workload: w, Variant: v, Seed: o.Seed + uint64(round), Steps: o.Steps,
				ExamplesDir: o.ExamplesDir, Faults: faults, DaemonLog: o.DaemonLog,
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

// CompareSlowReplica compares runs with only healthy engines with runs in which one engine is ten
// times slower.
func CompareSlowReplica(ctx context.Context, o Options, w Workload, variant Variant) ([]Result, error) {
	var results []Result
	for round := range o.RunsPerVariant {
		for _, factor := range []float64{0, slowEngineFactor} {
			run := Run{
				Workload: w, Variant: variant, Seed: o.Seed + uint64(round), Steps: o.Steps,
				ExamplesDir: o.ExamplesDir, Faults: FaultOptions{SlowEngine: factor}, DaemonLog: o.DaemonLog,
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

const slowEngineFactor = 10

// LoadPoint is the goodput at one offered load of model requests.
type LoadPoint struct {
	Variant  string  `json:"variant"`
	Offered  float64 `json:"offered"`  // requests per second
	Goodput  float64 `json:"goodput"`  // complete responses within the deadline, per second
	NotRun   int     `json:"not_run"`  // requests shed
	Unknown  int     `json:"unknown"`  // requests with an unknown outcome
	Attempts float64 `json:"attempts"` // attempts at engines per request
	P99MS    float64 `json:"p99_ms"`   // of the complete responses
}

const (
	overloadTime     = 5 * time.Second
	overloadDeadline = 2 * time.Second
)

// Overload measures one point for each of the offered rates, without trainers.
func Overload(ctx context.Context, o Options, w Workload, variant Variant, rates []float64) ([]LoadPoint, error) {
	var points []LoadPoint
	for _, rate := range rates {
		point, err := measureLoadPoint(ctx, o, w, variant, rate)
		if err != nil {
			return points, err
		}
		fmt.Fprintf(o.Out, "%s %s offered %.0f/s: goodput %.0f/s not_run %d unknown %d attempts %.3f p99 %.0f ms\n",
			w.Name, variant.Name, rate, point.Goodput, point.NotRun, point.Unknown, point.Attempts, point.P99MS)
		points = append(points, point)
	}
	return points, nil
}

func measureLoadPoint(ctx context.Context, o Options, w Workload, variant Variant, rate float64) (LoadPoint, error) {
	run := Run{Workload: w, Variant: variant, Seed: o.Seed, ExamplesDir: o.ExamplesDir, DaemonLog: o.DaemonLog}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	system, err := run.start(ctx)
	if err != nil {
		return LoadPoint{}, err
	}
	defer system.Close()
	if err := sleep(ctx, settleTime); err != nil {
		return LoadPoint{}, err
	}
	load := newCallers(w, system.Addresses(), overloadDeadline)
	sending, stop := context.WithTimeout(ctx, overloadTime)
	defer stop()
	var sent sync.WaitGroup
	sent.Go(func() { load.send(sending, rate, o.Seed, load.generate) })
	sent.Wait()
	engineAttempts := int64(0)
	for _, engine := range system.Engines {
		counts := engine.Counts()
		engineAttempts += counts.Started + counts.Refused
	}
	requests := 0
	for _, n := range load.outcomes {
		requests += n
	}
	return LoadPoint{
		Variant: variant.Name, Offered: float64(requests) / overloadTime.Seconds(),
		Goodput: float64(load.outcomes[caller.OK]) / overloadTime.Seconds(),
		NotRun:  load.outcomes[fault.NotRun], Unknown: load.outcomes[fault.Unknown],
		Attempts: float64(engineAttempts) / float64(max(requests, 1)),
		P99MS:    float64(load.modelLatency.ValueAtQuantile(99)) / 1000,
	}, nil
}
