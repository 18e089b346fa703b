package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// testTimeouts are short, so that stalled connections end soon.
var testTimeouts = backend.Timeouts{Connect: time.Second, FirstByte: 300 * time.Millisecond, Progress: 300 * time.Millisecond}

// arrival is one request received by a rawServer.
type arrival struct {
	conn int // number of the connection, from 1 in the order of acceptance
	id   string
}

// rawServer is a TCP server that reads HTTP requests and lets a test write arbitrary bytes
// as responses.
type rawServer struct {
	address string

	mu       sync.Mutex
	arrivals []arrival
}

// respondFunc responds to request n of connection c, both numbered from 1. The connection is
// closed if it returns false.
type respondFunc func(w net.Conn, c, n int, id string) bool

func newRawServer(t *testing.T, respond respondFunc) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{address: listener.Addr().String()}
	var conns []net.Conn
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	go func() {
		for c := 1; ; c++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			conns = append(conns, conn)
			s.mu.Unlock()
			go s.serve(conn, c, respond)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, c int, respond respondFunc) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(backend.HeaderRequestID)
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{c, id})
		s.mu.Unlock()
		if !respond(conn, c, n, id) {
			return
		}
	}
}

func (s *rawServer) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals {
		if a.id == id {
			n++
		}
	}
	return n
}

// writeResponse writes a complete response that keeps the connection open.
func writeResponse(w io.Writer, status int, header, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// startStream writes the response headers of a chunked event stream.
func startStream(w io.Writer, id string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\n"+
		"X-Load-Running: 3\r\nX-Load-Waiting: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id)
}

func writeHTTPChunk(w io.Writer, part string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part) }

func endStream(w io.Writer) { _, _ = io.WriteString(w, "0\r\n\r\n") }

// chunkEvent returns the server-sent event of one backend.Chunk.
func chunkEvent(id string, first, tokens int, version int64, end bool) string {
	return fmt.Sprintf("data: {\"request_id\":%q,\"first\":%d,\"tokens\":%d,\"text\":\"x \",\"version\":%d,\"end\":%v}\n\n",
		id, first, tokens, version, end)
}
