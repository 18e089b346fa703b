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

// testTimeouts are short, so that silent connections end soon.
var testTimeouts = backend.Timeouts{Connect: time.Second, FirstByte: 300 * time.Millisecond, Progress: 300 * time.Millisecond}

// arrival is one request that reached a rawServer.
type arrival struct {
	connection int // 1 for the first accepted one
	id         string
}

// rawServer reads requests and lets a test write any bytes as answers.
type rawServer struct {
	address string

	mu       sync.Mutex
	arrivals []arrival
}

// answerFunc answers the n-th request (from 1) of the c-th connection (from 1); false
// closes the connection.
type answerFunc func(w net.Conn, c, n int, id string) bool

func newRawServer(t *testing.T, answer answerFunc) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{address: listener.Addr().String()}
	var connections []net.Conn
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, conn := range connections {
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
			connections = append(connections, conn)
			s.mu.Unlock()
			go s.serve(conn, c, answer)
		}
	}()
	return s
}

func (s *rawServer) serve(conn net.Conn, c int, answer answerFunc) {
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
		if !answer(conn, c, n, id) {
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

// writeResponse writes a whole response that keeps the connection open.
func writeResponse(w io.Writer, status int, header, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// startStream writes the headers of a chunked event stream.
func startStream(w io.Writer, id string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\n"+
		"X-Load-Running: 3\r\nX-Load-Waiting: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id)
}

func writePart(w io.Writer, part string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part) }

func endStream(w io.Writer) { _, _ = io.WriteString(w, "0\r\n\r\n") }

func event(id string, first, tokens int, version int64, end bool) string {
	return fmt.Sprintf("data: {\"request_id\":%q,\"first\":%d,\"tokens\":%d,\"text\":\"x \",\"version\":%d,\"end\":%v}\n\n",
		id, first, tokens, version, end)
}
