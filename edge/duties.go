package edge

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/batch"
	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/duty"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/relay"
	"github.com/hornbeamtide/hornbeamtide/usage"
)

// duties holds the parts that count and report usage. All of them are nil if no reports are asked for.
type duties struct {
	recorder *usage.Recorder
	usage    *usage.Manager
	manager  *duty.Manager
	cloud    *platform.CloudClient
}

func newDuties(d *Daemon, store *relay.Store, conns *peer.Pool, tracker *placement.Tracker, batches *batch.Manager, log *event.Logger) *duties {
	s := d.settings
	if s.Duties.Address == "" || s.Duties.UsageWindow <= 0 {
		return &duties{}
	}
	trueTime := usage.NewClock(conns, d.members, s.ID, log)
	recorder := usage.NewRecorder(trueTime, s.Duties.UsageWindow, log)
	counts := usage.NewManager(usage.Dependencies{
		Self: s.ID, Incarnation: d.started.UnixNano(), Members: d.members, Conns: conns, Clock: trueTime, Recorder: recorder, Log: log,
	})
	cloud := platform.NewCloudClient(platform.CloudConfig{Address: s.Duties.Address}, log)
	var scaling *duty.Scaling
	if s.Duties.OrdersReplicas() {
		scaling = &duty.Scaling{Client: cloud, Services: d.services, Replicas: tracker.Replicas, Demand: batches.StepItems}
	}
	return &duties{
		recorder: recorder, usage: counts, cloud: cloud,
		manager: duty.NewManager(duty.Config{
			Self: s.ID, Incarnation: d.started.UnixMilli(), LeaseDuration: s.Orders.LeaseDuration, Fenced: s.Orders.ReplicasCheckTokens,
			Window: s.Duties.UsageWindow, Due: s.Duties.UsageDue, CallsPerSecond: s.Duties.CallsPerSecond,
		}, duty.Dependencies{
			Store: store, Client: cloud, Total: counts.Total, Now: trueTime.Now, Order: d.dutyOrder, Members: d.members, Conns: conns, Scaling: scaling, Log: log,
		}),
	}
}

// dutyOrder returns the IDs of all daemons in duty order.
func (d *Daemon) dutyOrder() []string {
	members := d.members()
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	return usage.DutyOrder(ids)
}

// services returns the services of the configuration in force.
func (d *Daemon) services() map[string]catalog.Service {
	if c := d.configuration.Load(); c != nil {
		return c.Services
	}
	return nil
}

// enabled reports whether usage is reported.
func (d *duties) enabled() bool { return d.manager != nil }

// record counts a request that a replica began to run for an organisation.
func (d *duties) record(organisation string, begunAt time.Time) {
	if d.enabled() && organisation != "" {
		d.recorder.Record(organisation, begunAt)
	}
}

// Register adds the drpc services for other daemons.
func (d *duties) Register(mux drpc.Mux) error {
	if !d.enabled() {
		return nil
	}
	if err := d.usage.Register(mux); err != nil {
		return err
	}
	return d.manager.Register(mux)
}

// runUsage counts until ctx ends.
func (d *duties) runUsage(ctx context.Context) error {
	if !d.enabled() {
		return nil
	}
	return d.usage.Run(ctx)
}

// runReports sends reports until ctx ends, then gives the duty up.
func (d *duties) runReports(ctx context.Context) {
	if !d.enabled() {
		return
	}
	_ = d.manager.Run(ctx) // ends with ctx
	d.cloud.Close()
}

// dutiesDump is the state of the duties for the metrics.
type dutiesDump struct {
	Reports duty.Dump   `json:"reports"`
	Usage   usage.State `json:"usage"`
}

func (d *duties) dump() any {
	if !d.enabled() {
		return nil
	}
	return dutiesDump{Reports: d.manager.Dump(), Usage: d.usage.State()}
}

// startLeases starts the functions that hold leases. Their context ends as soon as a stop is requested, so
// that the leases pass to the next daemons while this one still serves its callers.
func startLeases(ctx context.Context, running *sync.WaitGroup, runs ...func(context.Context)) {
	for _, run := range runs {
		running.Go(func() { run(ctx) })
	}
}
