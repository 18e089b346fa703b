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
	Self              Member
	ReportInterval    time.Duration // between two reports to the collector
	ListInterval      time.Duration // between two reads of the instance list by a collector
	MemberTimeout     time.Duration // silence after which a member counts as gone
	IsolationLimit    time.Duration // without platform and peers before new work is refused
	DirectInterval    time.Duration // between reads of the platform by a member without collectors
	SubsetSize        int           // servers of a pool that one daemon talks to
	CollectorsADomain int           // collectors in each failure domain

	// Parse reads documents; document.Parse if nil.
	Parse func(name string, source []byte) (*document.Document, error)
	// Now is the clock of Isolated and of leaving marks; time.Now if nil.
	Now func() time.Time
}

func (c Config) withDefaults() Config {
	setDuration(&c.ReportInterval, time.Second)
	setDuration(&c.ListInterval, time.Second)
	setDuration(&c.MemberTimeout, 4*time.Second)
	setDuration(&c.IsolationLimit, 10*time.Second)
	setDuration(&c.DirectInterval, 2*time.Second)
	if c.SubsetSize <= 0 {
		c.SubsetSize = defaultSubsetSize
	}
	if c.CollectorsADomain <= 0 {
		c.CollectorsADomain = 2
	}
	if c.Parse == nil {
		c.Parse = document.Parse
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func setDuration(d *time.Duration, otherwise time.Duration) {
	if *d <= 0 {
		*d = otherwise
	}
}

// Manager implements View, Documents and Admin.
type Manager struct {
	config Config
	store  objectapi.ObjectStore
	list   objectapi.InstanceList
	conns  peer.Conns
	log    *event.Logger

	documents *documentSet
	collector *collector
	member    *attendance
	counts    counters
	wake      chan struct{}             // holds one value when roles must be placed again
	pulls     chan string               // peer addresses that hold something newer
	contact   atomic.Pointer[time.Time] // last answer of the platform or a peer
	asked     atomic.Bool               // the platform answered the first read of documents or failed it
	current   atomic.Pointer[view]

	mu      sync.Mutex
	roster  roster
	changed chan struct{} // closed at the next change of the roster
}

// NewManager returns a Manager that knows nothing but itself until Run.
func NewManager(config Config, store objectapi.ObjectStore, list objectapi.InstanceList, conns peer.Conns, log *event.Logger) *Manager {
	config = config.withDefaults()
	m := &Manager{
		config: config, store: store, list: list, conns: conns, log: log,
		documents: newDocumentSet(config.Parse, log),
		wake:      make(chan struct{}, 1),
		pulls:     make(chan string, waitingPulls),
		changed:   make(chan struct{}),
		roster: roster{
			self:       config.Self,
			subsetSize: config.SubsetSize,
			marks:      map[string]time.Time{},
		},
	}
	m.collector = newCollector(m)
	m.member = newAttendance(m)
	m.touch()
	m.current.Store(m.roster.build())
	return m
}

// Register adds the package's drpc services to mux.
func (m *Manager) Register(mux drpc.Mux) error {
	return fleetpb.DRPCRegisterFleet(mux, &service{manager: m})
}

// Ready reports whether documents and the instance list are known. Documents of peers
// count once the platform was asked too, so that a daemon starts with the highest
// versions of both.
func (m *Manager) Ready() bool { return m.asked.Load() && m.listKnown() && m.documents.ready() }

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
	m.placeAgain()
}

// placeAgain asks Run to place the roles again.
func (m *Manager) placeAgain() {
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

// touch records that the platform or a peer answered.
func (m *Manager) touch() {
	now := m.config.Now()
	m.contact.Store(&now)
}

// Isolated implements View.
func (m *Manager) Isolated() (time.Time, bool) {
	since := *m.contact.Load()
	return since, m.config.Now().Sub(since) > m.config.IsolationLimit
}

// jitter returns a duration between half and one and a half of d.
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
