// Package roster keeps the list of daemons in the platform's store: it announces this daemon,
// and takes out those that are gone for good, which nobody else does.
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
	// announcePause is the wait between two tries to write this daemon's own object, and
	// announceAgain how long after it was written it may be written anew.
	announcePause = 500 * time.Millisecond
	announceAgain = 5 * time.Second
	// roundPause is the wait between two rounds of questions to suspects.
	roundPause = time.Second
	// reachLimit bounds one question.
	reachLimit = 500 * time.Millisecond
	// witnesses is how many other daemons are asked before one is taken out.
	witnesses = 3
)

// Config configures a Manager.
type Config struct {
	Kind      string // of the daemons' objects
	Self      string // ID of this daemon, the name of its object
	Value     []byte // of this daemon's object
	AddressOf func(value []byte) string
	Round     time.Duration // between two rounds of questions; 0 for one second
}

// Copy is this daemon's copy of the store's objects.
type Copy interface {
	Known(kind string) bool // the whole of the kind was seen
	Objects(kind string) []objectapi.Object
	Add(kind string, o objectapi.Object)
}

// Parts are what a Manager works with.
type Parts struct {
	Store objectapi.ObjectStore
	Copy  Copy
	Reach func(ctx context.Context, address string) error // nil if a daemon answers there
	Log   *event.Logger
}

// Manager announces this daemon and takes out others.
type Manager struct {
	Parts

	config    Config
	announced time.Time // used by Run only

	mu       sync.Mutex
	suspects map[string]int // rounds in a row in which a daemon was not reached, by ID
}

// NewManager returns a Manager.
func NewManager(config Config, parts Parts) *Manager {
	if config.Round <= 0 {
		config.Round = roundPause
	}
	return &Manager{Parts: parts, config: config, suspects: map[string]int{}}
}

// Suspect has a daemon looked after that did not answer a call. It never blocks.
func (m *Manager) Suspect(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.suspects[id]; !known && id != m.config.Self {
		m.suspects[id] = 0
	}
}

// Run announces this daemon, keeps it announced and looks after suspects until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	m.announce(ctx)
	for clock.Sleep(ctx, m.config.Round); ctx.Err() == nil; clock.Sleep(ctx, m.config.Round) {
		if m.isMissing() {
			m.announce(ctx)
		}
		m.lookAfterSuspects(ctx)
	}
	return nil
}

func (m *Manager) key(id string) string { return m.config.Kind + "/" + id }

// announce writes this daemon's object until it stands.
func (m *Manager) announce(ctx context.Context) {
	key := m.key(m.config.Self)
	for ctx.Err() == nil {
		o, err := m.Store.Create(ctx, key, m.config.Value)
		if fault.Is(err, fault.Conflict) {
			o, err = m.replace(ctx, key)
		}
		if err == nil {
			m.announced = time.Now()
			m.Copy.Add(m.config.Kind, o)
			return
		}
		clock.Sleep(ctx, announcePause)
	}
}

// replace rewrites the object if it says something else, which happens when an instance
// comes back at another address.
func (m *Manager) replace(ctx context.Context, key string) (objectapi.Object, error) {
	current, err := m.Store.Get(ctx, key)
	if err != nil || bytes.Equal(current.Value, m.config.Value) {
		return current, err
	}
	return m.Store.Update(ctx, key, m.config.Value, current.Version)
}

// isMissing reports whether others took this daemon for gone: it was cut off or suspended.
func (m *Manager) isMissing() bool {
	if !m.Copy.Known(m.config.Kind) || time.Since(m.announced) < announceAgain {
		return false
	}
	_, listed := m.find(m.config.Self)
	return !listed
}

func (m *Manager) find(id string) (objectapi.Object, bool) {
	for _, o := range m.Copy.Objects(m.config.Kind) {
		if o.Key == m.key(id) {
			return o, true
		}
	}
	return objectapi.Object{}, false
}

// lookAfterSuspects asks each suspect once, and takes out those that are gone.
func (m *Manager) lookAfterSuspects(ctx context.Context) {
	m.mu.Lock()
	suspects := make([]string, 0, len(m.suspects))
	for id := range m.suspects {
		suspects = append(suspects, id)
	}
	m.mu.Unlock()
	var asked sync.WaitGroup
	for _, id := range suspects {
		asked.Go(func() { m.lookAfter(ctx, id) })
	}
	asked.Wait()
}

func (m *Manager) lookAfter(ctx context.Context, id string) {
	o, listed := m.find(id)
	if !listed || m.reaches(ctx, o) {
		m.clear(id)
		return
	}
	m.mu.Lock()
	m.suspects[id]++
	missed := m.suspects[id]
	m.mu.Unlock()
	if missed < goneRounds || !isGone(missed, m.witnesses(ctx, id)) {
		return
	}
	err := m.Store.Delete(ctx, o.Key, o.Version)
	switch {
	case err == nil:
		m.Log.Log(event.RosterTakenOut, event.F("member", id), event.F("address", m.config.AddressOf(o.Value)), event.F("rounds", missed))
		m.clear(id)
	case fault.Is(err, fault.NotFound), fault.Is(err, fault.Conflict):
		m.clear(id) // another daemon took it out, or it announced itself anew
	}
}

func (m *Manager) reaches(ctx context.Context, o objectapi.Object) bool {
	ctx, cancel := context.WithTimeout(ctx, reachLimit)
	defer cancel()
	return m.Reach(ctx, m.config.AddressOf(o.Value)) == nil
}

func (m *Manager) clear(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.suspects, id)
}

// witnesses asks a few other daemons, chosen at random, and returns how many answer.
func (m *Manager) witnesses(ctx context.Context, suspect string) int {
	var others []objectapi.Object
	for _, o := range m.Copy.Objects(m.config.Kind) {
		if o.Key != m.key(suspect) && o.Key != m.key(m.config.Self) {
			others = append(others, o)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	others = others[:min(len(others), witnesses)]
	reached := make(chan bool, len(others))
	for _, o := range others {
		go func() { reached <- m.reaches(ctx, o) }()
	}
	count := 0
	for range others {
		if <-reached {
			count++
		}
	}
	return count
}
