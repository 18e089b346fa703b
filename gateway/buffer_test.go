package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// largeBackend responds to each call with the same body.
type largeBackend struct{ body []byte }

// Send implements upstream.Backend.
func (b largeBackend) Send(context.Context, upstream.Call) (*upstream.Response, error) {
	return &upstream.Response{
		Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(b.body)), Length: -1, Signed: true,
	}, nil
}

// Events implements upstream.Backend.
func (largeBackend) Events(*upstream.Response) upstream.EventReader { return nil }

// slowCaller reads nothing until it is released, and then compares what it reads.
type slowCaller struct {
	header  http.Header
	waiting *sync.WaitGroup
	release chan struct{}
	once    sync.Once
	want    []byte
	read    int
	differs bool
}

// Header implements http.ResponseWriter.
func (c *slowCaller) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *slowCaller) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (c *slowCaller) Write(p []byte) (int, error) {
	c.once.Do(func() {
		c.waiting.Done()
		<-c.release
	})
	c.differs = c.differs || c.read+len(p) > len(c.want) || !bytes.Equal(p, c.want[c.read:c.read+len(p)])
	c.read += len(p)
	return len(p), nil
}

// Guards against a process that runs out of memory since each response is buffered up to 1 MiB before its
// first byte is sent: with many slow callers these buffers had no common bound. Responses over the bound
// are forwarded with less buffered, complete and unchanged.
func TestBufferedResponsesStayWithinTheirMemory(t *testing.T) {
	const callers, limit, heapBound = 96, 8 << 20, 32 << 20
	body := bytes.Repeat([]byte("0123456789abcdef"), maxBufferedBody/8) // twice what is buffered at most
	budget := connlimit.NewBudget(limit)
	g := New(largeBackend{body}, testTracker(3), noGuard{}, nil, nil)
	g.LimitBuffers(budget)
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var waiting, all sync.WaitGroup
	release := make(chan struct{})
	waiting.Add(callers)
	crowd := make([]*slowCaller, callers)
	for n := range crowd {
		crowd[n] = &slowCaller{header: http.Header{}, waiting: &waiting, release: release, want: body}
		route := testRoute("records")
		route.Timeout = 0 // the default
		all.Go(func() {
			if err := g.Forward(t.Context(), crowd[n], route, Request{ID: "x", Target: "/x"}); err != nil {
				t.Error(err)
			}
		})
	}
	waiting.Wait()
	runtime.GC()
	runtime.ReadMemStats(&during)
	if used := budget.Used(); used > limit {
		t.Errorf("%d bytes are charged, want at most %d", used, limit)
	}
	if grown := int64(during.HeapAlloc) - int64(before.HeapAlloc); grown > heapBound {
		t.Errorf("the heap has grown by %d MiB, want at most %d", grown>>20, heapBound>>20)
	}
	close(release)
	all.Wait()
	for n, c := range crowd {
		if c.differs || c.read != len(body) {
			t.Errorf("caller %d: %d of %d bytes, differs: %v", n, c.read, len(body), c.differs)
		}
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are charged at the end", used)
	}
}

// endlessStream is the body of a stream that never ends. It counts what was read.
type endlessStream struct{ read *atomic.Int64 }

// Read implements io.Reader.
func (s endlessStream) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '\n'
	}
	s.read.Add(int64(len(p)))
	return len(p), nil
}

// streamingBackend responds to each call with an endless stream.
type streamingBackend struct{ read *atomic.Int64 }

// Send implements upstream.Backend.
func (b streamingBackend) Send(context.Context, upstream.Call) (*upstream.Response, error) {
	return &upstream.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(endlessStream(b)), Length: -1, Signed: true}, nil
}

// Events implements upstream.Backend.
func (streamingBackend) Events(*upstream.Response) upstream.EventReader { return nil }

// blockedCaller reads nothing; its connection breaks when it is released.
type blockedCaller struct {
	*slowCaller
}

// Write implements http.ResponseWriter.
func (c blockedCaller) Write([]byte) (int, error) {
	c.waiting.Done()
	<-c.release
	return 0, io.ErrClosedPipe
}

// Guards against streams without end to callers that read nothing: no more than a buffer of each is read.
func TestEndlessStreamsAreReadOnlyAsFastAsCallersRead(t *testing.T) {
	const callers = 64
	var read atomic.Int64
	g := New(streamingBackend{&read}, testTracker(3), noGuard{}, nil, nil)
	route := testRoute("chat")
	route.Kind, route.Timeout = catalog.Streaming, 0
	var waiting, all sync.WaitGroup
	release := make(chan struct{})
	waiting.Add(callers)
	for range callers {
		all.Go(func() {
			defer func() { _ = recover() }() // the handler ends the connection with http.ErrAbortHandler
			caller := blockedCaller{&slowCaller{header: http.Header{}, waiting: &waiting, release: release}}
			_ = g.Forward(t.Context(), caller, route, Request{ID: "x", Target: "/x"})
			t.Error("the stream ended")
		})
	}
	waiting.Wait()
	if got := read.Load(); got > callers*streamBuffer {
		t.Errorf("%d bytes were read for %d callers", got, callers)
	}
	close(release)
	all.Wait()
}
