package waves

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/boottime"
	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

const (
	// lookInterval is the pause between two looks while replicas are behind.
	lookInterval = 100 * time.Millisecond
	// rankDelay is how long replicas must be behind without progress before the next
	// daemon in line steps in.
	rankDelay = 2500 * time.Millisecond
	// observers is how many daemons in line read the lease once there was no progress
	// for observeAfter, so that its time has run when their turn comes.
	observers    = 2
	observeAfter = time.Second
	// orderLimit bounds one call of a replica.
	orderLimit = 700 * time.Millisecond
	// loadTime is how long a load takes at least; a replica is asked about it after that.
	loadTime = 900 * time.Millisecond
	// askInterval is the pause between two questions to a replica that loads.
	askInterval = 120 * time.Millisecond
	// busyPause is how long a replica is left alone whose load can wait.
	busyPause = 600 * time.Millisecond
	// orderPatience is how long an order may show no effect before it is given again.
	orderPatience = 2500 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	Self        string        // ID of this daemon
	Incarnation int64         // ms since the Unix epoch at its start
	Lease       time.Duration // time of the lease
	Fenced      bool          // replicas refuse orders with an old fencing token
}

// Parts are what a Manager works with.
type Parts struct {
	Store         objectapi.ObjectStore
	Engines       Engines
	Tracker       *placement.Tracker
	Configuration func() *catalog.Configuration
	Demand        func() map[string]float64 // recent work by model
	Members       func() map[string]string  // addresses of all daemons by ID
	Log           *event.Logger
}

// Manager follows named versions and gives orders while it holds the lease.
type Manager struct {
	Parts

	config Config
	lease  *lease
	wake   chan struct{}

	mu       sync.Mutex
	versions map[string]int64 // newest named version by model
	orders   map[string]*progress
	counts   map[string]map[string]int // replicas of each model, by service
	waiting  map[string]time.Time      // replicas whose load can wait until then
	behind   int                       // replicas that are behind
	since    time.Time                 // of the last progress while replicas are behind
	observed time.Time                 // when another holder's lease was read last; used by Run only
}

// progress is an order that this daemon gave.
type progress struct {
	model   string
	version int64
	given   time.Time
	asked   time.Time
}

// NewManager returns a Manager.
func NewManager(config Config, parts Parts) *Manager {
	return &Manager{
		Parts: parts, config: config, wake: make(chan struct{}, 1),
		lease: &lease{
			store: parts.Store, log: parts.Log, self: config.Self, incarnation: config.Incarnation,
			length: config.Lease, fenced: config.Fenced, clock: boottime.Now,
		},
		versions: map[string]int64{}, orders: map[string]*progress{}, counts: map[string]map[string]int{}, waiting: map[string]time.Time{},
	}
}

// Named notes a version that a trainer named.
func (m *Manager) Named(v catalog.ModelVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v.Version <= m.versions[v.Model] {
		return
	}
	m.versions[v.Model] = v.Version
	m.wakeUp()
}

// Run gives orders until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := m.round(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	released, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderLimit)
	defer cancel()
	m.lease.release(released)
	return nil
}

// idleInterval is the pause between two looks while no replica is behind.
const idleInterval = time.Second

// work is a replica that should load a version.
type work struct {
	replica catalog.Replica
	model   string
	version int64
	limit   int // loads of its service at once

	halfHasIt bool    // half of the model's replicas have the version or load it
	usable    float64 // part of the model's replicas that may run its current step
}

// round looks once at what is behind and orders what it may. It returns the pause until
// the next look.
func (m *Manager) round(ctx context.Context) time.Duration {
	todo := m.todo()
	m.note(len(todo))
	if len(todo) == 0 {
		return idleInterval
	}
	if _, held := m.lease.holds(); held {
		m.lease.keep(ctx)
		m.giveOrders(ctx, todo)
		return lookInterval
	}
	rank, still := m.place()
	switch {
	case still >= time.Duration(rank)*rankDelay:
		m.lease.acquire(ctx)
	case rank <= observers && still > observeAfter && time.Since(m.observed) > observeAfter:
		m.observed = time.Now()
		m.lease.observe(ctx)
	}
	return 2 * lookInterval
}

// todo lists the replicas that are behind, grouped by service.
func (m *Manager) todo() []work {
	configuration := m.Configuration()
	if configuration == nil {
		return nil
	}
	demand := m.Demand()
	m.mu.Lock()
	defer m.mu.Unlock()
	var todo []work
	for name, service := range configuration.Services {
		if service.Engine == nil {
			continue
		}
		replicas := ready(m.Tracker.Replicas(name))
		models := m.named(service.Engine.Models)
		counts := apportion(len(replicas), models, demand, m.counts[name])
		m.counts[name] = counts
		parts := shares(replicas, models, counts)
		for _, model := range models {
			todo = append(todo, m.behindOf(model, parts[model], atOnce(len(replicas)))...)
		}
	}
	sort.Slice(todo, func(a, b int) bool { return urgency(todo[a], todo[b]) })
	return todo
}

// behindOf lists the replicas of a model that lack its newest version. The lock is held.
func (m *Manager) behindOf(model string, replicas []catalog.Replica, limit int) []work {
	newest := m.versions[model]
	has, usable := 0, 0
	for _, r := range replicas {
		if p := m.orders[r.ID]; r.Versions[model] >= newest || p != nil && p.model == model && p.version >= newest {
			has++
		}
		if r.Versions[model] >= newest-1 {
			usable++
		}
	}
	var todo []work
	for _, r := range replicas {
		if r.Versions[model] < newest {
			todo = append(todo, work{
				replica: r, model: model, version: newest, limit: limit,
				halfHasIt: has >= len(replicas)/2, usable: float64(usable) / float64(len(replicas)),
			})
		}
	}
	return todo
}

// lag is how many versions a replica is behind.
func (w work) lag() int64 { return w.version - w.replica.Versions[w.model] }

// named are the models of which a version was named, in a fixed order.
func (m *Manager) named(models []string) []string {
	var found []string
	for _, model := range models {
		if m.versions[model] > 0 {
			found = append(found, model)
		}
	}
	sort.Strings(found)
	return found
}

func ready(replicas []catalog.Replica) []catalog.Replica {
	var found []catalog.Replica
	for _, r := range replicas {
		if r.State == catalog.Ready {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].ID < found[b].ID })
	return found
}

// note remembers when there was progress last.
func (m *Manager) note(behind int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if behind != m.behind || behind == 0 {
		m.behind, m.since = behind, time.Now()
	}
}

// place returns this daemon's place in line and for how long there was no progress.
func (m *Manager) place() (rank int, still time.Duration) {
	own := xxhash.Sum64String(m.config.Self)
	for id := range m.Members() {
		if id != m.config.Self && xxhash.Sum64String(id) > own {
			rank++
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return rank, time.Since(m.since)
}

// giveOrders follows the orders in progress and gives new ones while there is room.
func (m *Manager) giveOrders(ctx context.Context, todo []work) {
	loading := map[string]int{}
	var group sync.WaitGroup
	defer group.Wait()
	var next []work
	for _, w := range todo {
		m.mu.Lock()
		p := m.orders[w.replica.ID]
		waits := w.lag() <= 1 && w.halfHasIt && time.Now().Before(m.waiting[w.replica.ID])
		m.mu.Unlock()
		if waits && p == nil {
			continue
		}
		if p == nil || p.version < w.version && time.Since(p.given) > orderPatience {
			next = append(next, w)
			continue
		}
		loading[w.replica.Service]++
		if time.Since(p.given) > loadTime && time.Since(p.asked) > askInterval {
			p.asked = time.Now()
			group.Go(func() { m.follow(ctx, w, p) })
		}
	}
	for _, w := range next {
		if loading[w.replica.Service] >= w.limit {
			continue
		}
		loading[w.replica.Service]++
		group.Go(func() { m.order(ctx, w) })
	}
}

// follow asks a replica how far its order is.
func (m *Manager) follow(ctx context.Context, w work, p *progress) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	report, err := m.Engines.Report(ctx, w.replica)
	if err != nil {
		m.forgetAfter(w, p)
		return
	}
	m.seen(w.replica, report)
	if report.Versions[p.model] >= p.version || !report.Busy && time.Since(p.given) > orderPatience {
		m.forget(w.replica.ID)
	}
}

// seen records the versions that a replica reports.
func (m *Manager) seen(replica catalog.Replica, report Report) {
	for model, version := range report.Versions {
		m.Tracker.SetVersion(replica.ID, model, version)
	}
}

func (m *Manager) forget(id string) {
	m.mu.Lock()
	delete(m.orders, id)
	m.mu.Unlock()
	m.Tracker.Hold(id, 0)
	m.wakeUp()
}

// putOff leaves a busy replica alone for a time.
func (m *Manager) putOff(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[id] = time.Now().Add(busyPause)
}

// wakeUp has the replicas looked at.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) forgetAfter(w work, p *progress) {
	if time.Since(p.given) > orderPatience {
		m.forget(w.replica.ID)
	}
}

// order gives one order, if the replica is free and the lease holds right before it.
func (m *Manager) order(ctx context.Context, w work) {
	ctx, cancel := context.WithTimeout(ctx, 2*orderLimit)
	defer cancel()
	report, err := m.Engines.Report(ctx, w.replica)
	if err != nil {
		m.log(w, 0, "", err)
		return
	}
	m.seen(w.replica, report)
	if report.Busy || report.Versions[w.model] >= w.version {
		return
	}
	if mayWait(w.version-report.Versions[w.model], w.halfHasIt, report.Running, max(w.replica.Slots, 1)) {
		m.putOff(w.replica.ID)
		return
	}
	token, held := m.lease.use()
	if !held {
		return
	}
	m.mu.Lock()
	m.orders[w.replica.ID] = &progress{model: w.model, version: w.version, given: time.Now()}
	m.mu.Unlock()
	reply, err := m.Engines.Order(ctx, w.replica, Order{
		Model: w.model, Version: w.version, Strategy: m.strategy(w.replica.Service),
		Holder: m.config.Self, Token: token, Expected: report.Orders,
	})
	m.log(w, token, reply, err)
	switch {
	case err != nil: // it may have been accepted, or may be later
	case reply == Accepted:
		m.Tracker.Hold(w.replica.ID, loadTime)
	case reply == Holds:
		m.Tracker.SetVersion(w.replica.ID, w.model, w.version)
		m.forget(w.replica.ID)
	case reply == Fenced:
		m.lease.lost()
		m.forget(w.replica.ID)
	default:
		m.forget(w.replica.ID)
	}
}

func (m *Manager) log(w work, token int64, reply Reply, err error) {
	if err != nil {
		m.Log.Log(event.WaveOrderUnanswered, event.F("replica", w.replica.ID), event.F("model", w.model),
			event.F("version", w.version), event.F("token", token), event.Err(err))
		return
	}
	m.Log.Log(event.WaveOrder, event.F("replica", w.replica.ID), event.F("model", w.model),
		event.F("version", w.version), event.F("token", token), event.F("reply", string(reply)))
}

// strategy lets texts go on under the new version, unless a route of the service wants
// texts of one version.
func (m *Manager) strategy(service string) Strategy {
	if c := m.Configuration(); c != nil {
		for _, route := range c.Routes {
			for _, share := range route.Split {
				if route.SingleVersion && share.Service == service {
					return Wait
				}
			}
		}
	}
	return Retain
}
