package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// keepAliveInterval is the time between two TCP keep-alive probes.
const keepAliveInterval = 15 * time.Second

// trackedConn counts the bytes written to a connection, which tells whether any byte
// of a failed request can have reached the server.
type trackedConn struct {
	net.Conn
	open   *atomic.Int64 // connections of the server
	closed sync.Once

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. A sealed connection takes no more bytes.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// seal closes the connection, so that nothing is written later, and returns the
// bytes written so far.
func (c *trackedConn) seal() int64 {
	_ = c.Close() // also ends a blocked Write
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

func (c *trackedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// dial opens a connection that counts its bytes.
func (s *server) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: s.timeouts.Connect, KeepAlive: keepAliveInterval}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.counters.connections.Add(1)
	s.open.Add(1)
	return &trackedConn{Conn: conn, open: &s.open}, nil
}

// exchange records what happened to one request on its connection.
type exchange struct {
	mu     sync.Mutex
	conn   *trackedConn
	before int64 // bytes written to conn by earlier requests
}

// trace returns a context that makes the transport report into x.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, _ = info.Conn.(*trackedConn)
	if x.conn != nil {
		x.before = x.conn.bytesWritten()
	}
}

// abandon gives up the request and returns its outcome: not run if it got no
// connection or no byte was written to it, else unknown.
func (x *exchange) abandon() fault.Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		return fault.NotRun
	}
	if x.conn.seal() == x.before {
		return fault.NotRun
	}
	return fault.Unknown
}
