package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/bench"
)

type benchCommand struct {
	Workloads      []string  `long:"workload" description:"karachi or cerrito; repeat for both" default:"karachi" default:"cerrito"`
	Kinds          []string  `long:"kind" description:"overload, slow or compare; repeat for more" default:"overload" default:"slow" default:"compare"`
	Variants       []string  `long:"variant" description:"variant to compare; repeat for more" default:"affinity" default:"random" default:"round_robin" default:"least_load"`
	Rates          []float64 `long:"rate" description:"offered loads of overload, requests a second" default:"50" default:"100" default:"150" default:"200" default:"300" default:"400"`
	RunsPerVariant int       `long:"pairs" description:"runs of each variant" default:"5"`
	Steps          int       `long:"steps" description:"steps of each trainer and run" default:"5"`
	Seed           uint64    `long:"seed" description:"seed of the first run" default:"1"`
	InjectFaults   bool      `long:"faults" description:"compare with an engine crash and a platform outage"`
	SlowFactor     float64   `long:"slow" description:"compare with one engine slower by this factor"`
	Examples       string    `long:"examples" description:"folder with documents" default:"examples"`
	Results        string    `long:"results" description:"folder of the JSON results" default:"bench/results"`
	Timeout        string    `long:"timeout" description:"longest time of the whole bench" default:"20m"`
}

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	timeout, err := time.ParseDuration(c.Timeout)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, w := range bench.Workloads {
		if !contains(c.Workloads, w.Name) {
			continue
		}
		for _, kind := range c.Kinds {
			if err := c.run(ctx, kind, w); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *benchCommand) run(ctx context.Context, kind string, w bench.Workload) error {
	options := bench.Options{
		ExamplesDir: c.Examples, RunsPerVariant: c.RunsPerVariant, Steps: c.Steps, Seed: c.Seed, Out: os.Stderr, DaemonLog: io.Discard,
	}
	variants := bench.FindVariants(c.Variants)
	if len(variants) == 0 {
		return fmt.Errorf("no variant has any of the given names")
	}
	fmt.Printf("\n%s, %s\n\n", w.Name, kind)
	switch kind {
	case "overload":
		points, err := bench.Overload(ctx, options, w, variants[0], c.Rates)
		bench.WriteLoadTable(os.Stdout, points)
		return firstError(err, bench.SaveJSON(c.Results, w.Name+"-overload", points))
	case "slow":
		results, err := bench.CompareSlowReplica(ctx, options, w, variants[0])
		bench.WriteTable(os.Stdout, results)
		return firstError(err, bench.SaveJSON(c.Results, w.Name+"-slow", results))
	case "compare":
		faults := bench.FaultOptions{SlowEngine: c.SlowFactor, Crash: c.InjectFaults, Outage: c.InjectFaults}
		results, err := bench.Compare(ctx, options, w, variants, faults)
		bench.WriteTable(os.Stdout, results)
		return firstError(err, bench.SaveJSON(c.Results, w.Name+"-compare", results))
	}
	return fmt.Errorf("unknown kind %q: use overload, slow or compare", kind)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
