package demo

import (
	"context"
	"fmt"
	"slices"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// scheduledFault is a fault to inject once a percentage of the samples has been delivered.
type scheduledFault struct {
	percent int
	option  string // name in Options.Faults
	name    string
	inject  func(ctx context.Context) error
}

// faultInjector returns a function that injects each fault that is due at the given number of
// delivered samples.
func (d *demo) faultInjector(ctx context.Context, samples int) func(delivered int) {
	pending := []scheduledFault{
		{10, "weights", "weight version 2 published", d.publishVersion2},
		{30, "daemon", "daemon-1 killed", d.killDaemon},
		{45, "engine", "engine-2 killed", d.killEngine},
	}
	pending = slices.DeleteFunc(pending, func(f scheduledFault) bool { return !slices.Contains(d.options.Faults, f.option) })
	return func(delivered int) {
		for len(pending) > 0 && delivered*100 >= pending[0].percent*samples {
			next := pending[0]
			pending = pending[1:]
			if err := next.inject(ctx); err != nil {
				d.logf("%s: %v", next.name, err)
				continue
			}
			d.logf("%s after %d samples", next.name, delivered)
		}
	}
}

// killDaemon kills the first daemon, which the trainer and some callers use.
func (d *demo) killDaemon(context.Context) error {
	d.daemons[0].Kill()
	return nil
}

// killEngine kills an engine, which stays in the instance list for a while.
func (d *demo) killEngine(context.Context) error {
	d.engines[1].Kill()
	return nil
}

// publishVersion2 publishes weight version 2 and makes the trainer use it.
func (d *demo) publishVersion2(ctx context.Context) error {
	if err := d.cluster.Publish(ctx, modelService, 2); err != nil {
		return err
	}
	d.version.Store(2)
	return nil
}

// waitForWeights waits until all running engines have activated the published weight version.
func (d *demo) waitForWeights(ctx context.Context) error {
	version := d.version.Load()
	for _, engine := range d.engines {
		if engine.Exited() {
			continue
		}
		err := d.cluster.WaitFor(ctx, fmt.Sprintf("%s has weight version %d", engine.Name, version), func() bool {
			var status backend.EngineStatus
			return d.cluster.Get(ctx, engine.Address, "/status", &status) == nil && status.Version == version && status.Complete
		})
		if err != nil {
			return err
		}
	}
	d.logf("weight version %d is active on all running engines", version)
	return nil
}
