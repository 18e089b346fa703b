package rollout

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// fakeGenerator generates samples at once unless hook holds them up.
type fakeGenerator struct {
	version func() int64

	mu    sync.Mutex
	calls int
	hook  func(ctx context.Context, call int, r dispatch.SampleRequest) (dispatch.Completion, error)
}

func newFakeGenerator() *fakeGenerator { return &fakeGenerator{} }

func (g *fakeGenerator) setHook(hook func(context.Context, int, dispatch.SampleRequest) (dispatch.Completion, error)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hook = hook
}

func (g *fakeGenerator) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

func (g *fakeGenerator) Generate(ctx context.Context, r dispatch.SampleRequest) (dispatch.Completion, error) {
	g.mu.Lock()
	g.calls++
	call, hook := g.calls, g.hook
	g.mu.Unlock()
	if hook != nil {
		return hook(ctx, call, r)
	}
	return g.whole(r, "e0", segmentOf(g.version())), nil
}

// whole returns a whole completion.
func (g *fakeGenerator) whole(r dispatch.SampleRequest, replica string, segments ...backend.Segment) dispatch.Completion {
	tokens := 0
	for _, s := range segments {
		tokens += s.Tokens
	}
	now := time.Now()
	return dispatch.Completion{Text: "text of " + r.Prompt, Tokens: tokens, Segments: segments, Replica: replica, Started: now.Add(-time.Millisecond), Ended: now}
}

type fakeVersions struct {
	mu     sync.Mutex
	newest int64
}

func (v *fakeVersions) set(version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.newest = version
}

func (v *fakeVersions) Newest(string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest
}

type countingRecorder struct {
	mu     sync.Mutex
	kept   map[alarm.Promise]int
	broken []alarm.Evidence
}

func (r *countingRecorder) Kept(p alarm.Promise, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kept == nil {
		r.kept = map[alarm.Promise]int{}
	}
	r.kept[p]++
}

func (r *countingRecorder) Broken(_ alarm.Promise, e alarm.Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, e)
}

func (r *countingRecorder) keptOf(p alarm.Promise) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept[p]
}

func (r *countingRecorder) brokenOnes() []alarm.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]alarm.Evidence(nil), r.broken...)
}

// segmentOf returns the one segment of a sample of a version.
func segmentOf(version int64) backend.Segment { return backend.Segment{Version: version, Tokens: 8} }

// memoryStore is an object store with faults.
type memoryStore struct {
	mu         sync.Mutex
	revision   int64
	objects    map[string]objectapi.Object
	down       bool
	loseAnswer int // answers of writes that are lost after the write took effect
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]objectapi.Object{}} }

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objectapi.Object{}, fault.New(fault.Unavailable, "down", "")
	}
	o, ok := s.objects[key]
	if !ok {
		return o, fault.New(fault.NotFound, "no object", "")
	}
	return o, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) (objectapi.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := objectapi.Snapshot{Revision: s.revision}
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			snapshot.Objects = append(snapshot.Objects, o)
		}
	}
	return snapshot, nil
}

func (s *memoryStore) Create(_ context.Context, key string, value []byte) (objectapi.Object, error) {
	return s.put(key, value, 0)
}

func (s *memoryStore) Update(_ context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	return s.put(key, value, version)
}

func (s *memoryStore) put(key string, value []byte, version int64) (objectapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objectapi.Object{}, fault.New(fault.Unavailable, "down", "")
	}
	if s.objects[key].Version != version {
		return objectapi.Object{}, fault.New(fault.Conflict, "another version", "")
	}
	s.revision++
	o := objectapi.Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = o
	if s.loseAnswer > 0 {
		s.loseAnswer--
		return objectapi.Object{}, fault.New(fault.Ambiguous, "answer lost", "")
	}
	return o, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return fault.New(fault.Conflict, "another version", "")
	}
	delete(s.objects, key)
	return nil
}

func (s *memoryStore) Watch(context.Context, string, int64) (objectapi.Watch, error) {
	return nil, fault.New(fault.Unavailable, "no watches", "")
}

// gate holds up all traffic of a frozen daemon.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil while open
}

func newGate() *gate { return &gate{} }

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{conn, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gate.pass()
	return n, err
}

func (c gatedConn) Write(b []byte) (int, error) {
	c.gate.pass()
	return c.Conn.Write(b)
}
