package edge

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/batch"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/gateway"
	"github.com/hornbeamtide/hornbeamtide/gossip"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/organisation"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/quarantine"
	"github.com/hornbeamtide/hornbeamtide/ratelimit"
	"github.com/hornbeamtide/hornbeamtide/relay"
	"github.com/hornbeamtide/hornbeamtide/roster"
	"github.com/hornbeamtide/hornbeamtide/waves"
)

func (d *Daemon) constructors() []any {
	s := d.settings
	return []any{
		func() *event.Logger { return d.log },
		func(measures *measure.Set) *platform.Client {
			return platform.NewClient(platform.Config{
				Address: s.Store.Address, CallTimeout: s.Store.CallTimeout, WatchWait: s.Store.WatchWait, WriteRate: s.Store.MaxWritesPerSecond,
				Measures: measures, Answers: d.newBufferBudget(answerBuffers),
			}, d.log)
		},
		func() *peer.Pool {
			return peer.NewPool(peer.Config{ConnectTimeout: peerConnectTimeout, ProgressTimeout: peerProgressTimeout}, d.log)
		},
		peer.NewServer,
		measure.NewSet,
		placement.NewTracker,
		func(measures *measure.Set, tracker *placement.Tracker) *platform.ReplicaTransport {
			transport := platform.NewReplicaTransport(measures)
			transport.OnLeaving = tracker.MarkLeaving
			return transport
		},
		func(store *platform.Client, conns *peer.Pool) *mirror.Mirror {
			return mirror.New(mirror.Config{
				Self: s.ID, FailureDomain: s.FailureDomain, Kinds: mirroredKinds(),
				ProvenKey: platform.ConfigurationKey, ProofInterval: s.Organisations.WithdrawalTime / proofsPerWithdrawalTime,
			}, store, conns, d.mirrorMembers, d.log)
		},
		func(m *mirror.Mirror) *organisation.Gate {
			age := m.ConfirmedAge
			if s.Organisations.WithdrawalTime > 0 {
				age = m.ProofAge
			}
			return organisation.NewGate(organisation.Config{
				WithdrawalTime: s.Organisations.WithdrawalTime, Configuration: d.configuration.Load, Age: d.configurationAge(age),
			})
		},
		func(store *relay.Store, conns *peer.Pool, tracker *placement.Tracker, batches *batch.Manager) *duties {
			return newDuties(d, store, conns, tracker, batches, d.log)
		},
		func(store *platform.Client, m *mirror.Mirror, conns *peer.Pool) *relay.Store {
			return relay.New(store, conns, d.peerAddresses, m.Source, d.log)
		},
		func(transport *platform.ReplicaTransport, tracker *placement.Tracker, conns *peer.Pool) *ratelimit.Manager {
			return ratelimit.NewManager(ratelimit.Dependencies{Self: s.ID, Members: d.members, Conns: conns, Backend: transport, Tracker: tracker, Log: d.log})
		},
		func(store *relay.Store, m *mirror.Mirror, transport *platform.ReplicaTransport) *quarantine.Manager {
			return quarantine.NewManager(quarantine.Dependencies{Store: store, Mirror: m, Members: d.members, Accepts: transport.Accepts, Log: d.log})
		},
		func(conns *peer.Pool, limits *ratelimit.Manager, guard *quarantine.Manager, tracker *placement.Tracker) *gossip.Manager {
			g := gossip.NewManager(conns, d.peerAddresses, limits.Topic(), guard.Topic(), tracker.LeavingTopic())
			tracker.OnLeaving(g.Notify)
			limits.OnChange(g.Notify)
			guard.OnChange(g.Notify)
			return g
		},
		func(backend *ratelimit.Manager, tracker *placement.Tracker, guard *quarantine.Manager, calls *duties, measures *measure.Set) *gateway.Gateway {
			g := gateway.New(backend, tracker, guard, measures, d.log)
			g.OnRun(calls.record)
			g.LimitBuffers(d.newBufferBudget(responseBuffers))
			return g
		},
		func(store *relay.Store, m *mirror.Mirror, conns *peer.Pool) *roster.Manager {
			return roster.NewManager(roster.Config{
				Kind: platform.MemberKind, Self: s.ID, Value: d.memberEntry(), AddressOf: peerAddressOf,
			}, roster.Dependencies{Store: store, Mirror: m, Probe: batch.Probe(conns), Log: d.log})
		},
		func(store *relay.Store, m *mirror.Mirror, rosterManager *roster.Manager, conns *peer.Pool, tracker *placement.Tracker, backend *ratelimit.Manager, measures *measure.Set) *batch.Manager {
			return batch.NewManager(batch.Dependencies{
				Self: s.ID, Store: store, Mirror: m, MemberAddresses: d.members, MemberCores: d.memberCores, Conns: conns, Tracker: tracker, Backend: backend,
				Configuration: d.configuration.Load, ReportUnresponsive: rosterManager.ReportUnresponsive, Measures: measures, Log: d.log,
				Items: d.bodies, Texts: d.newBufferBudget(textBuffers),
			})
		},
		func(store *relay.Store, tracker *placement.Tracker, transport *platform.ReplicaTransport, batches *batch.Manager, measures *measure.Set) *waves.Manager {
			return waves.NewManager(waves.Config{
				Self: s.ID, Incarnation: d.started.UnixMilli(), LeaseDuration: s.Orders.LeaseDuration, ReplicasCheckTokens: s.Orders.ReplicasCheckTokens,
			}, waves.Dependencies{Store: store, ReplicaClient: transport, Tracker: tracker, Configuration: d.configuration.Load, Demand: batches.Demand, Members: d.members, Measures: measures, Log: d.log})
		},
	}
}

// refusedAge is the age of a configuration in force that is not the newest one, since the newest was
// refused. It may hold keys that were withdrawn.
const refusedAge = time.Hour

// configurationAge returns the function that returns how long ago the configuration in force was the newest
// for certain, given the one for the copy of the store.
func (d *Daemon) configurationAge(copyAge func() time.Duration) func() time.Duration {
	return func() time.Duration {
		age := copyAge()
		if d.configurationRefused.Load() {
			return refusedAge
		}
		return age
	}
}

const (
	// proofsPerWithdrawalTime is how often the configuration is proven to be the newest within the
	// withdrawal time of API keys, so that a few failed reads or a change of the collector refuse nobody.
	proofsPerWithdrawalTime = 5
	// urgentWatchWait is the watch duration of kinds whose changes must take effect within two
	// seconds, even if a watch stops responding: with the delay between calls and the margin for
	// the response, a change takes at most 1.85 s.
	urgentWatchWait = 750 * time.Millisecond
	// versionWatchWait is the watch duration of announced weight versions and of batch ends.
	versionWatchWait = 2500 * time.Millisecond
	// slowWatchWait is the watch duration of kinds whose changes rarely matter or also reach
	// daemons in other ways.
	slowWatchWait = 6 * time.Second
)

func mirroredKinds() []mirror.Kind {
	return []mirror.Kind{
		{Name: platform.ConfigurationKind, MaxWatchWait: urgentWatchWait},
		{Name: platform.ReplicaKind, MaxWatchWait: urgentWatchWait},
		{Name: platform.VersionKind, MaxWatchWait: versionWatchWait},
		{Name: platform.RetirementKind, MaxWatchWait: slowWatchWait},
		{Name: platform.MemberKind, MaxWatchWait: slowWatchWait},
		{Name: batch.KindBatches, MaxWatchWait: slowWatchWait},
		{Name: batch.KindBatchEnds, MaxWatchWait: versionWatchWait},
		{Name: quarantine.Kind, MaxWatchWait: slowWatchWait},
	}
}
