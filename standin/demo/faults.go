package demo

import (
	"context"
	"fmt"
	"slices"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// disturbance is one fault, disturbance, due when a share of the samples was delivered.
type disturbance struct {
	percent int
	option  string // name in Options.Faults
	name    string
	cause   func(ctx context.Context) error
}

// faults returns a function that causes each disturbance once it is due.
func (d *demo) faults(ctx context.Context, samples int) func(delivered int) {
	due := []disturbance{
		{10, "weights", "weights version 2 published", d.publish},
		{30, "daemon", "daemon-1 killed", d.killDaemon},
		{45, "engine", "engine-2 killed", d.killEngine},
	}
	due = slices.DeleteFunc(due, func(f disturbance) bool { return !slices.Contains(d.options.Faults, f.option) })
	return func(delivered int) {
		for len(due) > 0 && delivered*100 >= due[0].percent*samples {
			now := due[0]
			due = due[1:]
			if err := now.cause(ctx); err != nil {
				d.say("%s: %v", now.name, err)
				continue
			}
			d.say("%s after %d samples", now.name, delivered)
		}
	}
}

// killDaemon kills the daemon that the trainer and some callers talk to.
func (d *demo) killDaemon(context.Context) error {
	d.daemons[0].Kill()
	return nil
}

// killEngine kills an engine. The instance list shows it for a while.
func (d *demo) killEngine(context.Context) error {
	d.engines[1].Kill()
	return nil
}

// publish publishes new weights; from now on the trainer pulls with their version.
func (d *demo) publish(ctx context.Context) error {
	if err := d.cluster.Publish(ctx, modelService, 2); err != nil {
		return err
	}
	d.version.Store(2)
	return nil
}

// waitSwapped waits until all engines that live have the published weights active.
func (d *demo) waitSwapped(ctx context.Context) error {
	version := d.version.Load()
	for _, engine := range d.engines {
		if engine.Exited() {
			continue
		}
		err := d.cluster.WaitFor(ctx, fmt.Sprintf("%s has weights version %d", engine.Name, version), func() bool {
			var status backend.EngineStatus
			return d.cluster.Get(ctx, engine.Address, "/status", &status) == nil && status.Version == version && status.Whole
		})
		if err != nil {
			return err
		}
	}
	d.say("weights version %d is active on all living engines", version)
	return nil
}
