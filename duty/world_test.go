package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

const (
	testWindow = 5 * time.Second
	testDue    = 10 * time.Second
	testLease  = 3 * time.Second
)

// process is one run of a daemon. It implements objectapi.ObjectStore and Client for its manager.
type process struct {
	objectapi.ObjectStore

	world   *world
	id      string
	name    string // differs between two processes of one daemon
	manager *Manager
	cancel  context.CancelFunc

	mu          sync.Mutex
	dead        bool // calls of a dead process fail without effect
	cut         bool // does not reach other daemons and is not reached
	storeCut    bool // does not reach the store
	frozenUntil time.Time
	storeCalls  int
	atSend      func() // called before each report
}

// pause blocks while the process is frozen and reports whether it is still alive.
func (p *process) pause() bool {
	p.mu.Lock()
	until := p.frozenUntil
	p.mu.Unlock()
	time.Sleep(time.Until(until))
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.dead
}

func (p *process) set(change func(p *process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

var errDead = fault.New(fault.Unavailable, "the process is dead", "")

func (p *process) countStoreCall() error {
	if !p.pause() {
		return errDead
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeCalls++
	if p.storeCut {
		return fault.New(fault.Unavailable, "the store is not reached", "")
	}
	return nil
}

func (p *process) storeCallCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeCalls
}

func (p *process) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := p.countStoreCall(); err != nil {
		return objectapi.Object{}, err
	}
	return p.ObjectStore.Get(ctx, key)
}

func (p *process) Create(ctx context.Context, key string, value []byte) (objectapi.Object, error) {
	if err := p.countStoreCall(); err != nil {
		return objectapi.Object{}, err
	}
	return p.ObjectStore.Create(ctx, key, value)
}

func (p *process) Update(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	if err := p.countStoreCall(); err != nil {
		return objectapi.Object{}, err
	}
	return p.ObjectStore.Update(ctx, key, value, version)
}

// EncodeUsage implements Client. The real encoding is that of the platform's adapter.
func (*process) EncodeUsage(window int64, counts map[string]int64) ([]byte, error) {
	return json.Marshal(testBody{Window: window, Counts: counts})
}

// ReportUsage implements Client. It does not pause: a process that is frozen here has made its call.
func (p *process) ReportUsage(ctx context.Context, report UsageReport) (Reply, error) {
	p.mu.Lock()
	atSend := p.atSend
	p.mu.Unlock()
	if atSend != nil {
		atSend()
	}
	p.mu.Lock()
	dead := p.dead
	p.mu.Unlock()
	if dead {
		return "", errDead
	}
	return p.world.platform.call(ctx, p.name, report)
}

// world is a fleet of processes in a synctest bubble.
type world struct {
	t        *testing.T
	store    *memstore.Store
	platform *fakePlatform
	order    []string
	start    time.Time
	runs     sync.WaitGroup
	// total returns the counts that a process sees. They differ between processes, so that a report
	// that is composed twice is detected.
	total func(p *process, window int64) (map[string]int64, error)

	mu        sync.Mutex
	processes map[string]*process // running, by daemon ID
	starts    int
}

func inWorld(t *testing.T, fence bool, run func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, store: memstore.New(), order: []string{"a", "b", "c", "d"}, start: time.Now(),
			platform:  &fakePlatform{fence: fence, accepted: map[int64]time.Time{}},
			processes: map[string]*process{},
			total: func(p *process, window int64) (map[string]int64, error) {
				return map[string]int64{"hule930": window % 100, p.name: 1}, nil
			},
		}
		w.store.SetFaults(memstore.Faults{Delay: 20 * time.Millisecond})
		for _, id := range w.order {
			w.run(id)
		}
		run(w)
		for _, p := range w.all() {
			p.cancel()
		}
		w.runs.Wait()
		w.platform.late.Wait()
		w.check()
	})
}

func inBothWorlds(t *testing.T, run func(w *world)) {
	for _, fence := range []bool{false, true} {
		t.Run(fmt.Sprint("fence=", fence), func(t *testing.T) { inWorld(t, fence, run) })
	}
}

func (w *world) all() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*process
	for _, id := range w.order {
		if p := w.processes[id]; p != nil {
			all = append(all, p)
		}
	}
	return all
}

// countsFunc returns w.total, which a test may replace.
func (w *world) countsFunc() func(p *process, window int64) (map[string]int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

func (w *world) process(id string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[id]
}

// run starts a process of a daemon.
func (w *world) run(id string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	p := &process{ObjectStore: w.store, world: w, id: id, name: id + "#" + strconv.Itoa(w.starts)}
	p.manager = newManager(Config{
		Self: id, Incarnation: time.Now().UnixMilli() + int64(w.starts), LeaseDuration: testLease, Fenced: w.platform.fence,
		Window: testWindow, Due: testDue, CallsPerSecond: 5,
	}, Dependencies{
		Store: p, Client: p,
		Total: func(_ context.Context, window int64) (map[string]int64, error) {
			if !p.pause() {
				return nil, errDead
			}
			return w.countsFunc()(p, window)
		},
		Now: func() time.Time {
			p.pause()
			return time.Now()
		},
		Order: func() []string { return w.order },
		Members: func() map[string]string {
			return map[string]string{"a": "a", "b": "b", "c": "c", "d": "d"}
		},
	}, func() time.Duration { return time.Hour + time.Since(w.start) })
	p.manager.query = func(ctx context.Context, address string) (bool, error) { return w.query(ctx, p, address) }
	ctx, cancel := context.WithCancel(w.t.Context())
	p.cancel = cancel
	w.processes[id] = p
	w.runs.Go(func() { _ = p.manager.Run(ctx) })
	return p
}

func (w *world) query(ctx context.Context, from *process, id string) (bool, error) {
	to := w.process(id)
	if to == nil {
		return false, errors.New("connection refused")
	}
	for _, p := range []*process{from, to} {
		p.mu.Lock()
		silent := p.dead || p.cut || time.Now().Before(p.frozenUntil)
		p.mu.Unlock()
		if silent {
			<-ctx.Done()
			return false, ctx.Err()
		}
	}
	status, err := service{to.manager}.Status(ctx, nil)
	return err == nil && status.Holds, err
}

// kill ends a process without a release of its lease.
func (w *world) kill(p *process) {
	p.set(func(p *process) { p.dead = true })
	p.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.processes[p.id] == p {
		delete(w.processes, p.id)
	}
}

// holder returns the running process that holds the lease.
func (w *world) holder() *process {
	w.t.Helper()
	var found *process
	for _, p := range w.all() {
		if p.manager.Dump().Holds {
			if found != nil {
				w.t.Fatalf("%s and %s hold the lease", found.name, p.name)
			}
			found = p
		}
	}
	if found == nil {
		w.t.Fatal("nobody holds the lease")
	}
	return found
}

// check checks the rules that hold under all faults: bodies and tokens over all calls that the platform
// received, and the order of tokens and holders over those that it executed.
func (w *world) check() {
	w.t.Helper()
	bodies, holders := map[int64]string{}, map[int64]string{}
	for _, e := range w.platform.received {
		r := e.report
		if body, seen := bodies[r.Window]; seen && body != string(r.Body) {
			w.t.Errorf("window %d: two bodies, %s and %s", r.Window, body, r.Body)
		}
		bodies[r.Window] = string(r.Body)
		if by, seen := holders[r.Token]; seen && by != e.by {
			w.t.Errorf("token %d used by %s and %s", r.Token, by, e.by)
		}
		holders[r.Token] = e.by
		if !strings.HasPrefix(e.by, r.Holder+"#") {
			w.t.Errorf("report of %s names holder %s", e.by, r.Holder)
		}
	}
	if w.platform.fence {
		return // the platform refuses lower tokens itself
	}
	acted := map[string]time.Time{} // last call by process
	var last execution
	for i, e := range w.platform.executions {
		if i > 0 && e.report.Token < last.report.Token {
			w.t.Errorf("token %d of %s after token %d of %s", e.report.Token, e.by, last.report.Token, last.by)
		}
		if at, before := acted[e.by]; before && last.by != e.by && e.at.Sub(at) < testLease {
			w.t.Errorf("%s acted again %s after its last call, and %s in between", e.by, e.at.Sub(at), last.by)
		}
		acted[e.by], last = e.at, e
	}
}

// mustBeAccepted checks that the reports of all windows that ended in a span of the test were accepted
// within a delay from the window's end.
func (w *world) mustBeAccepted(from, to, within time.Duration) {
	w.t.Helper()
	accepted := w.platform.acceptedAt()
	for window := windowAt(w.start.Add(from), testWindow); windowEnd(window, testWindow).Before(w.start.Add(to)); window++ {
		end := windowEnd(window, testWindow)
		at, found := accepted[window]
		if !found || at.Sub(end) > within {
			w.t.Errorf("the window that ended after %s: accepted %t, after %s, want at most %s", end.Sub(w.start), found, at.Sub(end), within)
		}
	}
}
