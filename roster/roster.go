// Package roster maintains the list of daemons in the platform's store. It announces this daemon
// and removes daemons that are permanently gone; no other part removes them.
package roster

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// announceRetryDelay is the time between two attempts to write this daemon's own object, and
	// reannounceDelay is how long after a write it may be written again.
	announceRetryDelay = 500 * time.Millisecond
	reannounceDelay    = 5 * time.Second
	// defaultRoundInterval is the default time between two rounds of probes of suspects.
	defaultRoundInterval = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
	// maxProbedOthers is how many other daemons are probed before a suspect is removed.
	maxProbedOthers = 3
)

// Config configures a Manager.
type Config struct {
	Kind          string                    // kind of the daemons' objects
	Self          string                    // ID of this daemon and name of its object
	Value         []byte                    // value of this daemon's object
	AddressOf     func(value []byte) string // returns the address in the value of a daemon's object
	RoundInterval time.Duration             // time between two rounds of probes; 0 for 1 s
}

// Mirror is this daemon's copy of the store's objects.
type Mirror interface {
	Known(kind string) bool // the copy has the full state of the kind
	Objects(kind string) []objectapi.Object
	Add(kind string, o objectapi.Object)
}

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	Store  objectapi.ObjectStore
	Mirror Mirror
	Probe  func(ctx context.Context, address string) error // returns nil if a daemon responds at the address
	Log    *event.Logger
}

// Manager announces this daemon and removes unreachable ones.
type Manager struct {
	Dependencies

	cfg         Config
	announcedAt time.Time // when this daemon was last announced; used by Run only

	mu       sync.Mutex
	suspects map[string]int // consecutive rounds in which a daemon was unreachable, by ID
}

// NewManager returns a Manager that does nothing before Run.
func NewManager(cfg Config, deps Dependencies) *Manager {
	if cfg.RoundInterval <= 0 {
		cfg.RoundInterval = defaultRoundInterval
	}
	return &Manager{Dependencies: deps, cfg: cfg, suspects: map[string]int{}}
}

// ReportUnresponsive marks a daemon that did not respond to a call as a suspect, which the
// next rounds probe. It does not wait for the probes.
func (m *Manager) ReportUnresponsive(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.suspects[id]; !known && id != m.cfg.Self {
		m.suspects[id] = 0
	}
}

// Run announces this daemon, keeps it announced and probes suspects until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.announce(ctx)
	for clock.Sleep(ctx, m.cfg.RoundInterval); ctx.Err() == nil; clock.Sleep(ctx, m.cfg.RoundInterval) {
		if m.isUnlisted() {
			m.announce(ctx)
		}
		m.probeSuspects(ctx)
	}
	return nil
}

func (m *Manager) key(id string) string { return m.cfg.Kind + "/" + id }

// announce writes this daemon's object, with retries until it succeeds or ctx ends.
func (m *Manager) announce(ctx context.Context) {
	key := m.key(m.cfg.Self)
	for ctx.Err() == nil {
		o, err := m.Store.Create(ctx, key, m.cfg.Value)
		if fault.Is(err, fault.Conflict) {
			o, err = m.updateAnnouncement(ctx, key)
		}
		if err == nil {
			m.announcedAt = time.Now()
			m.Mirror.Add(m.cfg.Kind, o)
			return
		}
		clock.Sleep(ctx, announceRetryDelay)
	}
}

// updateAnnouncement updates the object if its value differs, which happens when an instance
// restarts at another address.
func (m *Manager) updateAnnouncement(ctx context.Context, key string) (objectapi.Object, error) {
	current, err := m.Store.Get(ctx, key)
	if err != nil || bytes.Equal(current.Value, m.cfg.Value) {
		return current, err
	}
	return m.Store.Update(ctx, key, m.cfg.Value, current.Version)
}

// isUnlisted reports whether another daemon removed this one, which happens after it was isolated
// or suspended.
func (m *Manager) isUnlisted() bool {
	if !m.Mirror.Known(m.cfg.Kind) || time.Since(m.announcedAt) < reannounceDelay {
		return false
	}
	_, listed := m.find(m.cfg.Self)
	return !listed
}

func (m *Manager) find(id string) (objectapi.Object, bool) {
	for _, o := range m.Mirror.Objects(m.cfg.Kind) {
		if o.Key == m.key(id) {
			return o, true
		}
	}
	return objectapi.Object{}, false
}

// probeSuspects probes each suspect once and removes those that are gone.
func (m *Manager) probeSuspects(ctx context.Context) {
	m.mu.Lock()
	suspects := make([]string, 0, len(m.suspects))
	for id := range m.suspects {
		suspects = append(suspects, id)
	}
	m.mu.Unlock()
	var probes sync.WaitGroup
	for _, id := range suspects {
		probes.Go(func() { m.probeSuspect(ctx, id) })
	}
	probes.Wait()
}

// probeSuspect probes one suspect. If it responds or is no longer listed, it is no longer a
// suspect; after enough failed rounds it is removed from the list.
func (m *Manager) probeSuspect(ctx context.Context, id string) {
	o, listed := m.find(id)
	if !listed || m.isReachable(ctx, o) {
		m.removeSuspect(id)
		return
	}
	m.mu.Lock()
	m.suspects[id]++
	failedRounds := m.suspects[id]
	m.mu.Unlock()
	if failedRounds < minFailedRounds || !shouldRemove(failedRounds, m.reachableOthers(ctx, id)) {
		return
	}
	err := m.Store.Delete(ctx, o.Key, o.Version)
	switch {
	case err == nil:
		m.Log.Log(event.RosterMemberRemoved, event.F("member", id), event.F("address", m.cfg.AddressOf(o.Value)), event.F("rounds", failedRounds))
		m.removeSuspect(id)
	case fault.Is(err, fault.NotFound), fault.Is(err, fault.Conflict):
		m.removeSuspect(id) // another daemon removed it, or it announced itself again
	}
}

func (m *Manager) isReachable(ctx context.Context, o objectapi.Object) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return m.Probe(ctx, m.cfg.AddressOf(o.Value)) == nil
}

func (m *Manager) removeSuspect(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.suspects, id)
}

// reachableOthers probes a few other daemons, chosen at random, and returns how many respond.
func (m *Manager) reachableOthers(ctx context.Context, suspect string) int {
	var others []objectapi.Object
	for _, o := range m.Mirror.Objects(m.cfg.Kind) {
		if o.Key != m.key(suspect) && o.Key != m.key(m.cfg.Self) {
			others = append(others, o)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	others = others[:min(len(others), maxProbedOthers)]
	reached := make(chan bool, len(others))
	for _, o := range others {
		go func() { reached <- m.isReachable(ctx, o) }()
	}
	count := 0
	for range others {
		if <-reached {
			count++
		}
	}
	return count
}
