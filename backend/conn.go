package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// trackedConn counts the bytes written to a connection, which tells whether any byte
// of a failed request can have reached the server.
type trackedConn struct {
	net.Conn

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
	_ = c.Conn.Close() // also ends a blocked Write
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

func dialTracked(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn}, nil
	}
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
