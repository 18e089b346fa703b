package connlimit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// startServer starts a limited server that responds with the request's body.
func startServer(t *testing.T, config Config) (*Limiter, string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := New(config)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil { // before the first byte of the response, after which net/http may discard the rest
			_, _ = w.Write(body)
		}
	})}
	Watch(server)
	go func() { _ = server.Serve(limiter.Listener(inner, Front)) }()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = limiter.Run(ctx) }()
	t.Cleanup(func() { cancel(); _ = server.Close() })
	return limiter, inner.Addr().String()
}

func constantBounds(b Bounds) func(Address) Bounds { return func(Address) Bounds { return b } }

var wideBounds = constantBounds(Bounds{HeadBytes: 8 << 10, HeadTime: time.Minute})

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

// closed reports whether the server ends the connection before the deadline.
func closed(conn net.Conn) bool {
	_, err := io.Copy(io.Discard, conn)
	netErr, isNet := err.(net.Error)
	return err == nil || !isNet || !netErr.Timeout()
}

func (l *Limiter) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns[Front])
}

func (l *Limiter) heldBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.charged
}

const smallRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"

func expectResponse(t *testing.T, reader *bufio.Reader, status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status || string(got) != body {
		t.Fatalf("%s %.100q, %v", response.Status, got, err)
	}
}

// Bytes of bodies and of earlier requests must not count as bytes of a head: a client that reuses its
// connection would be refused after some requests.
func TestRequestsOnOneConnectionAreServed(t *testing.T) {
	limiter, address := startServer(t, Config{HeadMemory: 1 << 20, MaxConnections: 100, Bounds: wideBounds})
	body := strings.Repeat("b", 100_000)
	large := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + body
	conn := dial(t, address, "")
	reader := bufio.NewReader(conn)
	for range 20 {
		go func() { _, _ = io.WriteString(conn, large+smallRequest+smallRequest) }() // pipelined
		expectResponse(t, reader, http.StatusOK, body)
		expectResponse(t, reader, http.StatusOK, "hello")
		expectResponse(t, reader, http.StatusOK, "hello")
	}
	for reason, n := range limiter.Counts() {
		if n != 0 {
			t.Errorf("%d refusals for %s", n, reason)
		}
	}
	_ = conn.Close()
	eventually(t, "the connection is forgotten", func() bool { return limiter.open() == 0 && limiter.heldBytes() == 0 })
}

// A head over the bound must get 431 or the end of its connection, and no request may run.
func TestHeadOverTheBoundIsRefused(t *testing.T) {
	limiter, address := startServer(t, Config{HeadMemory: 1 << 20, MaxConnections: 100, Bounds: wideBounds})
	conn := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 8<<10))
	expectResponse(t, bufio.NewReader(conn), http.StatusRequestHeaderFieldsTooLarge, "")
	eventually(t, "the refusal is counted", func() bool { return limiter.Counts()[HeadBytes] == 1 && limiter.open() == 0 })
}

// A head that is slow, on the first or a later request, must end its connection.
func TestSlowHeadIsRefused(t *testing.T) {
	limiter, address := startServer(t, Config{HeadMemory: 1 << 20, MaxConnections: 100, Bounds: constantBounds(Bounds{HeadBytes: 8 << 10, HeadTime: 300 * time.Millisecond})})
	first := dial(t, address, "GET / HTTP/1.1\r\n")
	second := dial(t, address, smallRequest)
	reader := bufio.NewReader(second)
	expectResponse(t, reader, http.StatusOK, "hello")
	if _, err := io.WriteString(second, "GET /"); err != nil {
		t.Fatal(err)
	}
	silent := dial(t, address, "")
	if !closed(first) || !closed(second) || !closed(silent) {
		t.Error("a connection is still open")
	}
	eventually(t, "refusals are counted", func() bool { return limiter.Counts()[HeadTime] == 3 })
}

// A small head must survive while larger ones are over the memory of unfinished heads.
func TestLargeHeadsAreClosedBeforeSmallOnes(t *testing.T) {
	limiter, address := startServer(t, Config{HeadMemory: 10_000, MaxConnections: 100, Bounds: wideBounds})
	small := dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\n")
	var large []net.Conn
	for range 5 {
		large = append(large, dial(t, address, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 4000)))
	}
	eventually(t, "large heads are closed", func() bool { return limiter.Counts()[UnfinishedHeads] >= 3 && limiter.heldBytes() <= 10_000 })
	if _, err := io.WriteString(small, "Content-Length: 5\r\n\r\nhello"); err != nil {
		t.Fatal(err)
	}
	expectResponse(t, bufio.NewReader(small), http.StatusOK, "hello")
	for _, conn := range large {
		_ = conn.Close()
	}
	eventually(t, "nothing is held", func() bool { return limiter.heldBytes() == 0 })
}

// With all connections in use by clients that send nothing, a new client must be served, and a
// request that runs must not be closed for it.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	limiter, address := startServer(t, Config{HeadMemory: 1 << 20, MaxConnections: 1, Bounds: wideBounds})
	var silent []net.Conn
	for range 3 * minConnections {
		silent = append(silent, dial(t, address, ""))
	}
	expectResponse(t, bufio.NewReader(dial(t, address, smallRequest)), http.StatusOK, "hello")
	if limiter.open() > minConnections || limiter.Counts()[Connections] < int64(2*minConnections) {
		t.Errorf("%d connections open, refused %v", limiter.open(), limiter.Counts())
	}
	if !closed(silent[0]) {
		t.Error("the longest idle connection is open")
	}
}
