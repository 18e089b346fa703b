package connlimit

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// scriptedConn is a connection whose bytes arrive in parts of a given size.
type scriptedConn struct {
	net.Conn // nil: the methods below are the only ones used

	mu     sync.Mutex
	input  *bytes.Reader
	part   int
	closed bool
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	return c.input.Read(p[:min(len(p), c.part)])
}

func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

func (c *scriptedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// singleListener accepts one connection and then ends.
type singleListener struct {
	conn net.Conn
	used bool
}

func (l *singleListener) Accept() (net.Conn, error) {
	if l.used {
		return nil, io.EOF
	}
	l.used = true
	return l.conn, nil
}
func (l *singleListener) Close() error   { return nil }
func (l *singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzConnection lets a client send any bytes in parts of any size. The process must not panic, the
// connection must end, no request with a head over the bound may run, and nothing may stay charged.
func FuzzConnection(f *testing.F) {
	f.Add([]byte(smallRequest+smallRequest), uint16(7))
	f.Add([]byte("\r\n\r\n\r\n\r\n"+smallRequest), uint16(1))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n"+smallRequest), uint16(64))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc"), uint16(3))
	f.Add(append([]byte("GET / HTTP/1.1\r\nHost: h\r\nX: "), bytes.Repeat([]byte("x"), 3000)...), uint16(100))
	f.Add(bytes.Repeat([]byte("a:\r\n"), 300), uint16(4096))
	f.Fuzz(func(t *testing.T, input []byte, part uint16) {
		const bound = 1024
		limiter := New(Config{HeadMemory: 4096, MaxConnections: 10, Bounds: constantBounds(Bounds{HeadBytes: bound, HeadTime: time.Minute})})
		ended := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			size := 0
			for name, values := range r.Header {
				for _, value := range values {
					size += len(name) + len(value)
				}
			}
			if size > bound+4096 { // the library may hold 4 KiB of an earlier read
				t.Errorf("a request with %d bytes of headers ran", size)
			}
			_, _ = io.Copy(w, r.Body)
		})}
		Watch(server)
		watch := server.ConnState
		server.ConnState = func(conn net.Conn, state http.ConnState) {
			watch(conn, state)
			if state == http.StateClosed {
				close(ended)
			}
		}
		conn := &scriptedConn{input: bytes.NewReader(input), part: max(int(part), 1)}
		_ = server.Serve(limiter.Listener(&singleListener{conn: conn}, Front))
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Fatal("the connection did not end")
		}
		if limiter.open() != 0 || limiter.heldBytes() != 0 {
			t.Errorf("%d connections, %d bytes charged", limiter.open(), limiter.heldBytes())
		}
	})
}
