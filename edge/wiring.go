package edge

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/batch"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/gateway"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/relay"
	"github.com/hornbeamtide/hornbeamtide/roster"
	"github.com/hornbeamtide/hornbeamtide/waves"
)

func (d *Daemon) constructors() []any {
	s := d.settings
	return []any{
		func() *event.Logger { return d.log },
		func(h *measure.Set) *platform.Client {
			return platform.NewClient(platform.Config{
				Address: s.Store.Address, CallTimeout: s.Store.CallTimeout, Progress: s.Store.Watch, WriteRate: s.Store.Writes,
				Measures: h,
			}, d.log)
		},
		func() *peer.Pool {
			return peer.NewPool(peer.Config{Connect: peerConnect, Progress: peerProgress}, d.log)
		},
		peer.NewServer,
		measure.NewSet,
		placement.NewTracker,
		platform.NewBackends,
		func(store *platform.Client, conns *peer.Pool) *mirror.Mirror {
			return mirror.New(mirror.Config{Self: s.ID, FailureDomain: s.FailureDomain, Kinds: mirroredKinds()}, store, conns, d.mirrorMembers, d.log)
		},
		func(store *platform.Client, m *mirror.Mirror, conns *peer.Pool) *relay.Store {
			return relay.New(store, conns, d.otherDaemons, m.Source, d.log)
		},
		func(b *platform.Backends, t *placement.Tracker, h *measure.Set) *gateway.Gateway {
			return gateway.New(b, t, h, d.log)
		},
		func(store *relay.Store, m *mirror.Mirror, conns *peer.Pool) *roster.Manager {
			return roster.NewManager(roster.Config{
				Kind: platform.MemberKind, Self: s.ID, Value: d.ownEntry(), AddressOf: peerAddressOf,
			}, roster.Parts{Store: store, Copy: m, Reach: batch.Reach(conns), Log: d.log})
		},
		func(store *relay.Store, m *mirror.Mirror, r *roster.Manager, conns *peer.Pool, t *placement.Tracker, b *platform.Backends, h *measure.Set) *batch.Manager {
			return batch.NewManager(batch.Parts{
				Self: s.ID, Store: store, Mirror: m, Members: d.members, Conns: conns, Tracker: t, Backend: b,
				Configuration: d.configuration.Load, Suspect: r.Suspect, Measures: h, Log: d.log,
			})
		},
		func(store *relay.Store, t *placement.Tracker, b *platform.Backends, batches *batch.Manager, h *measure.Set) *waves.Manager {
			return waves.NewManager(waves.Config{
				Self: s.ID, Incarnation: d.started.UnixMilli(), Lease: s.Orders.Lease, Fenced: s.Orders.Fenced,
			}, waves.Parts{Store: store, Engines: b, Tracker: t, Configuration: d.configuration.Load, Demand: batches.Demand, Members: d.members, Measures: h, Log: d.log})
		},
	}
}

const (
	// promptWait is that of kinds whose changes must be in force within two seconds, also
	// if a watch goes silent: with the pause between calls and their slack 1.85 s.
	promptWait = 750 * time.Millisecond
	// versionWait is that of named weight versions.
	versionWait = 2500 * time.Millisecond
	// slowWait is that of kinds that are told in other ways too, or seldom matter.
	slowWait = 6 * time.Second
)

func mirroredKinds() []mirror.Kind {
	return []mirror.Kind{
		{Name: platform.ConfigurationKind, Wait: promptWait},
		{Name: platform.ReplicaKind, Wait: promptWait},
		{Name: platform.VersionKind, Wait: versionWait},
		{Name: platform.RetirementKind, Wait: slowWait},
		{Name: platform.MemberKind, Wait: slowWait},
		{Name: batch.KindJobs, Wait: slowWait},
		{Name: batch.KindEnds, Wait: versionWait},
	}
}
