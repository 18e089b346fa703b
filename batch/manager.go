package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// Parts are what a Manager works with.
type Parts struct {
	Self          string // ID of this daemon
	Store         objectapi.ObjectStore
	Mirror        *mirror.Mirror           // keeps KindJobs and KindEnds
	Members       func() map[string]string // drpc addresses of all daemons, this one included
	Conns         peer.Conns
	Tracker       *placement.Tracker
	Backend       upstream.Backend
	Configuration func() *catalog.Configuration // nil while none is known
	Suspect       func(daemon string)           // told of daemons that did not answer
	Measures      *measure.Set
	Log           *event.Logger
}

// Manager accepts, runs and reads batches.
type Manager struct {
	self          string
	store         objectapi.ObjectStore
	mirror        *mirror.Mirror
	members       func() map[string]string
	conns         peer.Conns
	tracker       *placement.Tracker
	backend       upstream.Backend
	configuration func() *catalog.Configuration
	suspect       func(daemon string)
	measures      *measure.Set
	log           *event.Logger
	scoring       chan struct{} // places of scoring requests

	ctx      context.Context // ends with the manager
	stop     context.CancelFunc
	mu       sync.Mutex
	jobs     map[string]*known
	draining bool
	shunned  map[string]shunning

	suspectUntil atomic.Int64  // ns since the Unix epoch: until then others may run this daemon's batches
	look         chan struct{} // jobs or ends changed
}

// known is a batch that this daemon has heard of.
type known struct {
	job       Job
	ended     bool
	endStored bool       // the store holds the end
	endedAt   time.Time  // when this daemon heard of the end
	loadedAt  time.Time  // when the log was read from the store last
	final     bool       // the whole log was read after the last write could take effect
	run       *run       // nil unless this daemon runs it
	starting  bool       // this daemon is about to run it
	log       *resultLog // as far as this daemon has read it; the run's while it runs
	work      float64    // expected output tokens
	unserved  int        // rounds in a row in which nobody ahead of this daemon ran it
}

// NewManager returns a manager that observes the mirror.
func NewManager(p Parts) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	m := &Manager{
		self: p.Self, store: p.Store, mirror: p.Mirror, members: p.Members, conns: p.Conns, tracker: p.Tracker,
		backend: p.Backend, configuration: p.Configuration, suspect: p.Suspect, measures: p.Measures, log: p.Log,
		scoring: make(chan struct{}, scoresAtOnce),
		ctx:     ctx, stop: stop, jobs: map[string]*known{}, shunned: map[string]shunning{}, look: make(chan struct{}, 1),
	}
	p.Mirror.Observe(KindJobs, m.jobChanged)
	p.Mirror.Observe(KindEnds, m.endChanged)
	return m
}

// jobChanged notes a batch that appeared in the store.
func (m *Manager) jobChanged(c mirror.Change) {
	job, err := decodeJob(c.Value)
	if c.Deleted {
		job.ID = nameOf(KindJobs, c.Key)
	} else if err != nil {
		m.log.Log(event.BatchUnreadable, event.F("key", c.Key), event.Err(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.jobs[job.ID]
	switch {
	case c.Deleted && k != nil:
		k.cancel()
		delete(m.jobs, job.ID)
	case !c.Deleted && (k == nil || k.job.ID == ""):
		m.learn(job)
	}
	m.wake()
}

// learn adds a batch. The caller holds the lock.
func (m *Manager) learn(job Job) *known {
	k := m.jobs[job.ID]
	if k == nil {
		k = &known{log: newResultLog(job.ID, m.store, m.log)}
		m.jobs[job.ID] = k
	}
	k.job, k.work = job, workOf(job)
	return k
}

// endChanged notes the end of a batch.
func (m *Manager) endChanged(c mirror.Change) {
	if c.Deleted {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	id := nameOf(KindEnds, c.Key)
	m.noteEnd(id)
	m.jobs[id].endStored = true
}

// noteEnd cancels what runs of an ended batch. The caller holds the lock.
func (m *Manager) noteEnd(id string) {
	k := m.jobs[id]
	if k == nil {
		k = &known{log: newResultLog(id, m.store, m.log)}
		m.jobs[id] = k
	}
	if !k.ended {
		k.ended, k.endedAt = true, time.Now()
		if k.run != nil {
			m.log.Log(event.BatchEnded, event.F("batch", id), event.F("listed", k.log.size()), event.F("total", k.total()))
		}
	}
	k.cancel()
}

func (k *known) cancel() {
	if k.run != nil {
		k.run.cancel()
	}
}

func nameOf(kind, key string) string { return key[len(kind)+1:] }

// wake has the jobs looked at. The caller holds the lock.
func (m *Manager) wake() {
	select {
	case m.look <- struct{}{}:
	default:
	}
}

// Run keeps batches running until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.stop()
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	last := clock.BootTime()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.look:
		case <-ticker.C:
		}
		if now := clock.BootTime(); now-last > stallLimit {
			m.suspectUntil.Store(time.Now().Add(suspectTime).UnixNano())
			m.log.Log(event.BatchStalled, event.F("for", (now-last).Round(time.Millisecond).String()))
		}
		last = clock.BootTime()
		m.supervise(ctx)
	}
}

// End ends a batch. After a nil error nothing of it is begun any more.
func (m *Manager) End(ctx context.Context, id string) error {
	if !m.knows(id) {
		if _, err := m.fetch(ctx, id); err != nil {
			return err
		}
	}
	m.mu.Lock()
	m.noteEnd(id)
	stored := m.jobs[id].endStored
	m.mu.Unlock()
	if stored {
		return nil
	}
	go m.tellRunners(id)
	for try := 0; ; try++ {
		_, err := m.store.Create(ctx, endKey(id), endValue)
		if err == nil || fault.Is(err, fault.Conflict) {
			return nil
		}
		if ctx.Err() != nil {
			return fault.Wrap(err, fault.Ambiguous, "the end of the batch is not settled", "end it again", fault.WithOutcome(fault.Unknown))
		}
		clock.Sleep(ctx, storePause<<min(try, maxBackoff))
	}
}

// fetch reads a batch from the store that this daemon has not heard of.
func (m *Manager) fetch(ctx context.Context, id string) (*known, error) {
	o, err := m.store.Get(ctx, jobKey(id))
	if err != nil {
		if fault.Is(err, fault.NotFound) {
			return nil, fault.New(fault.NotFound, "there is no batch "+id, "check its id")
		}
		return nil, unsure(err)
	}
	job, err := decodeJob(o.Value)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "batch "+id+" can't be read", "report this defect")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.jobs[id]; k != nil && k.job.ID != "" {
		return k, nil
	}
	return m.learn(job), nil
}

// unsure is the error of a read that only the store could have answered.
func unsure(err error) error {
	return fault.Wrap(err, fault.Unavailable, "the platform's store does not answer", "read again",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(500*time.Millisecond))
}

func (m *Manager) find(ctx context.Context, id string) (*known, error) {
	m.mu.Lock()
	k := m.jobs[id]
	found := k != nil && k.job.ID != ""
	m.mu.Unlock()
	if found {
		return k, nil
	}
	return m.fetch(ctx, id)
}

func (m *Manager) jobOf(k *known) Job {
	m.mu.Lock()
	defer m.mu.Unlock()
	return k.job
}
