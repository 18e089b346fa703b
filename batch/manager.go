package batch

import (
	"cmp"
	"context"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	Self               string // ID of this daemon
	Store              objectapi.ObjectStore
	Mirror             *mirror.Mirror            // mirrors KindBatches and KindBatchEnds
	MemberAddresses    func() map[string]string  // drpc addresses of all daemons by ID, including this one
	MemberCores        func() map[string]float64 // processor time of the daemons by ID, 0 where unknown; may be nil
	Conns              peer.ConnProvider
	Tracker            *placement.Tracker
	Backend            upstream.Backend
	Configuration      func() *catalog.Configuration // nil until a configuration is known
	Items              *connlimit.Budget             // memory of the items of batches that this daemon runs; nil for no limit
	Texts              *connlimit.Budget             // memory of unfinished completions; nil for no limit
	ReportUnresponsive func(daemon string)           // called for a daemon that did not respond
	Measures           *measure.Set
	Log                *event.Logger
}

// Manager accepts and runs batches and serves their results.
type Manager struct {
	self               string
	store              objectapi.ObjectStore
	mirror             *mirror.Mirror
	members            func() map[string]string
	cores              func() map[string]float64
	conns              peer.ConnProvider
	tracker            *placement.Tracker
	backend            upstream.Backend
	configuration      func() *catalog.Configuration
	reportUnresponsive func(daemon string)
	measures           *measure.Set
	log                *event.Logger
	itemMemory         *connlimit.Budget
	texts              *connlimit.Budget
	scoreSlots         *serviceSlots // limits concurrent scoring requests
	largeWrites        chan struct{} // limits concurrent writes of large parts
	largeForwards      chan struct{} // limits concurrent calls that forward a large batch

	ctx           context.Context // ends when Run returns
	stop          context.CancelFunc
	mu            sync.Mutex
	batches       map[string]*batchState
	accepting     map[string]int // submissions by batch that this daemon is storing
	draining      bool
	ownerBackoffs map[string]ownerBackoff

	suspectUntil atomic.Int64  // Unix ns; until then other daemons may run this daemon's batches
	wakeup       chan struct{} // signals that a batch was added or removed
}

// batchState is the state of a batch known to this daemon.
type batchState struct {
	job            Job
	ended          bool
	endStored      bool       // the store holds the end marker
	endedAt        time.Time  // when this daemon learned of the end
	loadedAt       time.Time  // when the log was last read from the store
	fullyLoaded    bool       // the log was read after the last write could take effect
	run            *run       // nil unless this daemon runs the batch
	starting       bool       // this daemon is about to run the batch
	log            *resultLog // results read so far; shared with the run
	expectedTokens float64    // output tokens of all items
	unservedRounds int        // consecutive rounds in which no candidate before this daemon ran it
}

// NewManager returns a manager and registers its mirror observers.
func NewManager(deps Dependencies) *Manager {
	ctx, stop := context.WithCancel(context.Background())
	m := &Manager{
		self: deps.Self, store: deps.Store, mirror: deps.Mirror, members: deps.MemberAddresses, conns: deps.Conns, tracker: deps.Tracker,
		backend: deps.Backend, configuration: deps.Configuration, reportUnresponsive: deps.ReportUnresponsive, measures: deps.Measures, log: deps.Log,
		cores: deps.MemberCores, texts: cmp.Or(deps.Texts, connlimit.NewBudget(math.MaxInt64)), scoreSlots: newServiceSlots(),
		itemMemory: cmp.Or(deps.Items, connlimit.NewBudget(math.MaxInt64)), largeWrites: make(chan struct{}, maxLargeWrites), largeForwards: make(chan struct{}, maxLargeForwards),
		ctx: ctx, stop: stop, batches: map[string]*batchState{}, accepting: map[string]int{}, ownerBackoffs: map[string]ownerBackoff{}, wakeup: make(chan struct{}, 1),
	}
	if m.cores == nil {
		m.cores = func() map[string]float64 { return nil }
	}
	deps.Mirror.Observe(KindBatches, m.jobChanged)
	deps.Mirror.Observe(KindBatchEnds, m.endChanged)
	return m
}

// jobChanged handles a created or deleted batch.
func (m *Manager) jobChanged(c mirror.Change) {
	job, err := decodeStoredJob(c.Key, c.Value)
	if c.Deleted {
		job.ID = idFromKey(KindBatches, c.Key)
	} else if err != nil {
		m.log.Log(event.BatchUnreadable, event.F("key", c.Key), event.Err(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.batches[job.ID]
	switch {
	case c.Deleted && b != nil:
		b.cancel()
		delete(m.batches, job.ID)
	case !c.Deleted && (b == nil || b.job.ID == ""):
		m.addBatch(job)
	}
	m.wake()
}

// addBatch adds a batch. The caller holds m.mu.
func (m *Manager) addBatch(job Job) *batchState {
	b := m.batches[job.ID]
	if b == nil {
		b = &batchState{log: newResultLog(job.ID, m.store, m.log)}
		m.batches[job.ID] = b
	}
	b.job, b.expectedTokens = job, expectedTokens(job)
	return b
}

// endChanged handles the end of a batch.
func (m *Manager) endChanged(c mirror.Change) {
	if c.Deleted {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	id := idFromKey(KindBatchEnds, c.Key)
	m.markEnded(id)
	m.batches[id].endStored = true
}

// markEnded marks a batch as ended and cancels its run. The caller holds m.mu.
func (m *Manager) markEnded(id string) {
	b := m.batches[id]
	if b == nil {
		b = &batchState{log: newResultLog(id, m.store, m.log)}
		m.batches[id] = b
	}
	if !b.ended {
		b.ended, b.endedAt = true, time.Now()
		if b.run != nil {
			m.log.Log(event.BatchEnded, event.F("batch", id), event.F("listed", b.log.confirmedCount()), event.F("total", b.total()))
		}
	}
	b.cancel()
}

// dropItems drops the items that the store has in parts. Those in the head of a batch stay with it, as in all
// daemons. The caller holds the manager's mu.
func (b *batchState) dropItems() {
	if b.job.Parts > 0 {
		b.job = b.job.withoutItems()
	}
}

func (b *batchState) cancel() {
	if b.run != nil {
		b.run.cancel()
	}
}

func idFromKey(kind, key string) string { return strings.TrimPrefix(key, kind+"/") }

// wake triggers a supervision round. The caller holds m.mu.
func (m *Manager) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// Run supervises batches until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer m.stop()
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	lastRound := clock.BootTime()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wakeup:
		case <-ticker.C:
		}
		if now := clock.BootTime(); now-lastRound > stallThreshold {
			m.suspectUntil.Store(time.Now().Add(suspectPeriod).UnixNano())
			m.log.Log(event.BatchDaemonStalled, event.F("for", (now-lastRound).Round(time.Millisecond).String()))
		}
		lastRound = clock.BootTime()
		m.supervise(ctx)
	}
}

// End ends a batch. After a nil error no further item of it is started.
func (m *Manager) End(ctx context.Context, id string) error {
	if !m.isKnown(id) {
		if _, err := m.fetch(ctx, id); err != nil {
			return err
		}
	}
	m.mu.Lock()
	m.markEnded(id)
	stored := m.batches[id].endStored
	m.mu.Unlock()
	if stored {
		return nil
	}
	go m.log.Guard("notice of the end of batch "+id, func() { m.notifyEnded(id) })
	for attempt := 0; ; attempt++ {
		_, err := m.store.Create(ctx, endKey(id), endValue)
		if err == nil || fault.Is(err, fault.Conflict) {
			return nil
		}
		if ctx.Err() != nil {
			return fault.Wrap(err, fault.Ambiguous, "the batch may or may not have been ended", "end it again", fault.WithOutcome(fault.Unknown))
		}
		clock.Sleep(ctx, storeRetryDelay<<min(attempt, maxRetryDoublings))
	}
}

// fetch reads a batch from the store that the mirror has not delivered yet.
func (m *Manager) fetch(ctx context.Context, id string) (*batchState, error) {
	o, err := m.store.Get(ctx, jobKey(id))
	if err != nil {
		if fault.Is(err, fault.NotFound) {
			return nil, fault.New(fault.NotFound, "unknown batch "+id, "check its id")
		}
		return nil, storeUnavailable(err)
	}
	job, err := decodeStoredJob(o.Key, o.Value)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "batch "+id+" can't be decoded", "report this defect")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.batches[id]; b != nil && b.job.ID != "" {
		return b, nil
	}
	return m.addBatch(job), nil
}

// storeUnavailable returns the error of a read that needs the store.
func storeUnavailable(err error) error {
	return fault.Wrap(err, fault.Unavailable, "the platform's store did not respond", "read again",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(500*time.Millisecond))
}

func (m *Manager) find(ctx context.Context, id string) (*batchState, error) {
	m.mu.Lock()
	b := m.batches[id]
	found := b != nil && b.job.ID != ""
	m.mu.Unlock()
	if found {
		return b, nil
	}
	return m.fetch(ctx, id)
}

func (m *Manager) jobOf(b *batchState) Job {
	m.mu.Lock()
	defer m.mu.Unlock()
	return b.job
}
