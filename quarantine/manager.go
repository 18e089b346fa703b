// Package quarantine keeps requests that crash replicas away from them. Each daemon records under
// which requests connections to replicas broke; all daemons learn of it by gossip. A request under
// which three replicas crashed is not sent any more, by any daemon. It is kept in the store too, so
// that a restart of all daemons does not forget it.
package quarantine

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/gossip"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/quarantine/quarantinepb"
)

// Kind is the kind of the store's objects about quarantined requests, named by their fingerprints.
const Kind = "quarantine"

const (
	// minRetryDelay is the shortest retry delay that is sent to callers of a refused request.
	minRetryDelay = 500 * time.Millisecond
	// storeRetryDelay is the time between two attempts to write a record, maxStoreAttempts their
	// number.
	storeRetryDelay  = time.Second
	maxStoreAttempts = 60
	// maxPendingWrites bounds the records that wait to be written.
	maxPendingWrites = 64
	// probeTimeout bounds the attempt to connect to a replica whose connection broke, maxWait the
	// time for which the request waits for it, and maxProbes the number of attempts in progress.
	probeTimeout = 300 * time.Millisecond
	maxWait      = 50 * time.Millisecond
	maxProbes    = 64
	// cleanupInterval is the time between two deletions of expired records.
	cleanupInterval = 10 * time.Second
)

// Mirror is this daemon's copy of the store's objects.
type Mirror interface {
	Objects(kind string) []objectapi.Object
}

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	Store   objectapi.ObjectStore
	Mirror  Mirror
	Members func() map[string]string // all daemons by ID, including this one
	// Accepts reports whether a replica accepts connections. ctx bounds the time that it may take.
	Accepts func(ctx context.Context, replica catalog.Replica) bool
	Log     *event.Logger
}

// Manager decides which requests may be sent to replicas.
type Manager struct {
	Dependencies

	records  *registry
	wallTime func() time.Time
	writes   chan string         // fingerprints of requests to store
	probes   *semaphore.Weighted // probes of replicas in progress
	notify   func()              // causes the records to be pushed to other daemons
}

// NewManager returns a Manager without records.
func NewManager(deps Dependencies) *Manager {
	return &Manager{
		Dependencies: deps, records: newRegistry(clock.BootNow), wallTime: time.Now,
		writes: make(chan string, maxPendingWrites), probes: semaphore.NewWeighted(maxProbes), notify: func() {},
	}
}

// Topic returns the topic through which daemons tell each other of crashes.
func (m *Manager) Topic() gossip.Topic { return m.records }

// OnChange calls notify when there is something new to tell. It must be called before requests are
// served.
func (m *Manager) OnChange(notify func()) { m.notify = notify }

// IsIdle reports whether no request is suspected, so that Check allows all.
func (m *Manager) IsIdle() bool { return m.records.isEmpty() }

// IsSuspected reports whether a replica crashed under the request and none has responded to it since.
func (m *Manager) IsSuspected(fingerprint string) bool {
	crashes, _, _ := m.records.crashes(fingerprint, nil)
	return crashes > 0
}

// Quarantined returns the number of quarantined requests.
func (m *Manager) Quarantined() int { return m.records.quarantinedCount() }

// Check returns an error if the request with the given fingerprint may not be sent to a replica now.
// healthy are the healthy replicas of its service that it has not been sent to, listed is the number of all.
func (m *Manager) Check(fingerprint string, healthy []catalog.Replica, listed int) error {
	crashes, since, spared := m.records.crashes(fingerprint, healthy)
	verdict := Judge(crashes, since, spared, listed)
	if verdict == Allowed {
		return nil
	}
	m.Log.Log(event.RequestRefused, event.F("fingerprint", fingerprint), event.F("crashes", crashes), event.F("healthy", spared), event.F("listed", listed))
	if verdict == Postponed {
		return fault.New(fault.Unavailable, "replicas crashed under this request and are not back yet", "send it again later",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(max(suspectDelay-since, minRetryDelay)))
	}
	return fault.New(fault.Unavailable, "replicas crashed under this request and it is not sent to others", "correct the request, or send it again later",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(max(recordLifetime-since, minRetryDelay)))
}

// RecordBreak records that the connection to a replica broke while the request was in flight there. It
// counts as a crash if the replica accepts no connections right after: connections also break for
// other reasons, and then it does. RecordBreak returns once that is known, at the latest after maxWait, so
// that the request is not sent to another replica before.
func (m *Manager) RecordBreak(fingerprint string, replica catalog.Replica) {
	if !m.probes.TryAcquire(1) {
		m.Log.Log(event.RequestNotExamined, event.F("fingerprint", fingerprint), event.F("replica", replica.ID))
		return
	}
	examined := make(chan struct{})
	go func() {
		defer close(examined)
		defer m.probes.Release(1)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		m.Log.Guard("probe of replica "+replica.ID, func() {
			if !m.Accepts(ctx, replica) {
				m.recordCrash(fingerprint, replica)
			}
		})
	}()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-examined:
	case <-timer.C:
	}
}

func (m *Manager) recordCrash(fingerprint string, replica catalog.Replica) {
	crashes, added := m.records.addCrash(fingerprint, incarnation{replica.ID, replica.StartedMs})
	if !added {
		return
	}
	m.Log.Log(event.RequestSuspected, event.F("fingerprint", fingerprint), event.F("replica", replica.ID), event.F("crashes", crashes))
	m.notify()
	if crashes < maxCrashes {
		return
	}
	m.Log.Log(event.RequestQuarantined, event.F("fingerprint", fingerprint), event.F("crashes", crashes))
	select {
	case m.writes <- fingerprint:
	default:
		m.Log.Log(event.RecordNotKept, event.F("fingerprint", fingerprint), event.F("error", "too many records wait to be written"))
	}
}

// RecordResponse records that a replica responded to the request, with whatever status.
func (m *Manager) RecordResponse(fingerprint string) {
	if m.records.clear(fingerprint) {
		m.Log.Log(event.RequestCleared, event.F("fingerprint", fingerprint))
		m.notify()
	}
}

// ApplyStored applies a record that another daemon wrote to the store.
func (m *Manager) ApplyStored(o objectapi.Object) {
	message := &quarantinepb.Record{}
	if proto.Unmarshal(o.Value, message) != nil {
		return // of another version
	}
	age := max(m.wallTime().Sub(time.UnixMilli(message.WrittenMs)), 0)
	m.records.merge(strings.TrimPrefix(o.Key, Kind+"/"), message, age)
}

// Run writes records to the store and deletes expired ones until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	cleanup := time.NewTicker(cleanupInterval)
	defer cleanup.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fingerprint := <-m.writes:
			m.store(ctx, fingerprint)
		case <-cleanup.C:
			m.records.removeExpired()
			m.deleteExpired(ctx)
		}
	}
}

// store writes the record of a request, with retries. Another daemon may have written it.
func (m *Manager) store(ctx context.Context, fingerprint string) {
	for attempt := 1; ctx.Err() == nil; attempt++ {
		message := m.records.message(fingerprint)
		if message == nil {
			return
		}
		message.WrittenMs = m.wallTime().UnixMilli()
		value, err := proto.Marshal(message)
		if err == nil {
			_, err = m.Store.Create(ctx, Kind+"/"+fingerprint, value)
		}
		if err == nil || fault.Is(err, fault.Conflict) {
			return
		}
		if attempt >= maxStoreAttempts {
			m.Log.Log(event.RecordNotKept, event.F("fingerprint", fingerprint), event.Err(err))
			return
		}
		clock.Sleep(ctx, storeRetryDelay)
	}
}

// deleteExpired deletes expired records from the store. One daemon on average does so in a round, so
// that the calls do not grow with the fleet.
func (m *Manager) deleteExpired(ctx context.Context) {
	if rand.IntN(max(len(m.Members()), 1)) > 0 {
		return
	}
	for _, o := range m.Mirror.Objects(Kind) {
		message := &quarantinepb.Record{}
		if proto.Unmarshal(o.Value, message) != nil || m.wallTime().Sub(time.UnixMilli(message.WrittenMs)) <= recordLifetime {
			continue // not expired, or written by another version
		}
		_ = m.Store.Delete(ctx, o.Key, o.Version) // another daemon or the next round deletes it
	}
}
