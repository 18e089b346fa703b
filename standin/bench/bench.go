// Package bench runs real daemons over loopback against fake engines and services with
// realistic costs. It measures trainer idle time, staleness, latency and wasted tokens for
// several routing policies and settings.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeweights"
	"github.com/hornbeamtide/hornbeamtide/standin/local"
)

// FaultOptions selects the faults of a run.
type FaultOptions struct {
	SlowEngine float64 // factor on the decoding times of one engine; 0 for none
	Crash      bool    // one engine loses its requests and weights during the run
	Outage     bool    // the platform is unavailable for a while during the run
}

// Run configures one measured run.
type Run struct {
	Workload    Workload
	Variant     Variant
	Seed        uint64
	Steps       int // per trainer
	ExamplesDir string
	Faults      FaultOptions
	DaemonLog   io.Writer
}

// Costs of the fake engines, on the scaled-down time of Workload.
const (
	tokenTime        = 2 * time.Millisecond
	extraRequestTime = 150 * time.Microsecond
	prefillTime      = 100 * time.Microsecond
	maxBatch         = 16
	cacheTokens      = 4096
	loadTime         = 150 * time.Millisecond
	runTimeout       = 90 * time.Second
	settleTime       = 1500 * time.Millisecond // time for collectors and load polls to settle
)

// Measure starts the system, runs the workload and returns the measurements.
func (r Run) Measure(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	system, err := r.start(ctx)
	if err != nil {
		return Result{}, err
	}
	defer system.Close()
	if err := sleep(ctx, settleTime); err != nil {
		return Result{}, err
	}
	return measure(ctx, r, system)
}

// start starts the fakes and the daemons and waits until both documents are in force.
func (r Run) start(ctx context.Context) (*local.System, error) {
	system, err := local.New(fakeweights.Config{LoadTime: loadTime, LoadSlots: 4}, r.DaemonLog)
	if err != nil {
		return nil, err
	}
	if err := r.startAll(system); err != nil {
		system.Close()
		return nil, err
	}
	if err := system.WaitReady(ctx); err != nil {
		system.Close()
		return nil, err
	}
	return system, nil
}

func (r Run) startAll(system *local.System) error {
	w := r.Workload
	system.Weights.Publish(w.ModelService, 1)
	for _, service := range []string{w.ModelService, w.PlainService} {
		source, err := os.ReadFile(filepath.Join(r.ExamplesDir, "documents", service+".ini"))
		if err != nil {
			return err
		}
		system.Apply(service, source)
	}
	for i := range w.Engines {
		if _, err := system.StartEngine(r.engineConfig(i), w.locationOf(i)); err != nil {
			return err
		}
	}
	for i := range w.PlainServers {
		config := fakeplain.Config{ID: fmt.Sprintf("plain-%d", i), ServiceTime: 5 * time.Millisecond, Seed: r.Seed + uint64(i)}
		if _, err := system.StartPlainService(config, w.PlainService, w.locationOf(i)); err != nil {
			return err
		}
	}
	for i := range w.Daemons {
		if _, err := system.StartDaemon(fmt.Sprintf("daemon-%d", i), w.locationOf(i), r.Variant.Settings); err != nil {
			return err
		}
	}
	return nil
}

func (r Run) engineConfig(i int) fakeengine.Config {
	return fakeengine.Config{
		ID: fmt.Sprintf("engine-%d", i), Pool: r.Workload.ModelService, Version: 1,
		TokenTime: tokenTime, ExtraRequestTime: extraRequestTime, PrefillTime: prefillTime,
		MaxBatch: maxBatch, CacheTokens: cacheTokens,
	}
}

func (w Workload) locationOf(i int) local.Location {
	return local.Location{Region: w.Region, FailureDomain: w.Domains[i%len(w.Domains)]}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
