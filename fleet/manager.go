package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

// Config configures a Manager. Zero durations and counts take the defaults of
// docs/API.md.
type Config struct {
	Self                Member
	ReportInterval      time.Duration // interval between reports to the collector
	ListInterval        time.Duration // interval between reads of the instance list by the collectors
	MemberTimeout       time.Duration // time without contact after which a member is silent
	IsolationLimit      time.Duration // time without contact with the platform and peers after which new work is refused
	DirectReadInterval  time.Duration // mean interval between platform reads of a member without a collector
	SubsetSize          int           // replicas of a pool that one daemon uses for unkeyed requests
	CollectorsPerDomain int           // collectors in each failure domain

	// Parse parses documents; document.Parse if nil.
	Parse func(name string, source []byte) (*document.Document, error)
	// Now is the clock for Isolated and leaving marks; time.Now if nil.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	setDefaultDuration(&c.ReportInterval, time.Second)
	setDefaultDuration(&c.ListInterval, time.Second)
	setDefaultDuration(&c.MemberTimeout, 4*time.Second)
	setDefaultDuration(&c.IsolationLimit, 10*time.Second)
	setDefaultDuration(&c.DirectReadInterval, 2*time.Second)
	if c.SubsetSize <= 0 {
		c.SubsetSize = defaultSubsetSize
	}
	if c.CollectorsPerDomain <= 0 {
		c.CollectorsPerDomain = 2
	}
	if c.Parse == nil {
		c.Parse = document.Parse
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func setDefaultDuration(d *time.Duration, defaultValue time.Duration) {
	if *d <= 0 {
		*d = defaultValue
	}
}

// Manager implements View, Documents and DocumentAdmin.
type Manager struct {
	config Config
	store  objectapi.ObjectStore
	list   objectapi.InstanceList
	conns  peer.ConnProvider
	log    *event.Logger

	documents       *documentSet
	collector       *collector
	collectorClient *collectorClient
	counts          counters
	wake            chan struct{}             // holds one value when Run must update the roles
	fetchRequests   chan string               // addresses of peers that have newer data
	lastContact     atomic.Pointer[time.Time] // last contact with the platform or a peer
	firstReadDone   atomic.Bool               // the first platform read of the documents succeeded or failed
	current         atomic.Pointer[view]

	mu      sync.Mutex
	roster  roster
	changed chan struct{} // closed at the next change of the roster
}

// NewManager returns a Manager whose view contains only its own daemon until Run.
func NewManager(config Config, store objectapi.ObjectStore, list objectapi.InstanceList, conns peer.ConnProvider, log *event.Logger) *Manager {
	config = config.withDefaults()
	m := &Manager{
		config: config, store: store, list: list, conns: conns, log: log,
		documents:     newDocumentSet(config.Parse, log),
		wake:          make(chan struct{}, 1),
		fetchRequests: make(chan string, maxQueuedFetches),
		changed:       make(chan struct{}),
		roster: roster{
			self:         config.Self,
			subsetSize:   config.SubsetSize,
			leavingMarks: map[string]time.Time{},
		},
	}
	m.collector = newCollector(m)
	m.collectorClient = newCollectorClient(m)
	m.recordContact()
	m.current.Store(m.roster.build())
	return m
}

// Register registers the drpc service of the package with mux.
func (m *Manager) Register(mux drpc.Mux) error {
	return fleetpb.DRPCRegisterFleet(mux, &rpcServer{manager: m})
}

// Ready reports whether the documents and the instance list are known. Documents from peers
// suffice only after the first platform read has succeeded or failed, so that a daemon
// starts with the highest versions of both sources.
func (m *Manager) Ready() bool {
	return m.firstReadDone.Load() && m.listReceived() && m.documents.ready()
}

// update changes the roster and publishes a new view if change reports true.
func (m *Manager) update(change func(*roster) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !change(&m.roster) {
		return
	}
	m.current.Store(m.roster.build())
	close(m.changed)
	m.changed = make(chan struct{})
	m.wakeRun()
}

// wakeRun makes Run update the roles.
func (m *Manager) wakeRun() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// rosterChanged returns a channel that is closed at the next change of the roster.
func (m *Manager) rosterChanged() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// recordContact records a contact with the platform or a peer.
func (m *Manager) recordContact() {
	now := m.config.Now()
	m.lastContact.Store(&now)
}

// Isolated implements View.
func (m *Manager) Isolated() (time.Time, bool) {
	since := *m.lastContact.Load()
	return since, m.config.Now().Sub(since) > m.config.IsolationLimit
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
