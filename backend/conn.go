package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/httpclient"
)

// keepAliveInterval is the time between two TCP keep-alive probes.
const keepAliveInterval = 15 * time.Second

// countingConn counts the bytes written to a connection. The count shows whether any byte
// of a failed request may have reached the server.
type countingConn struct {
	net.Conn
	openConns *atomic.Int64 // open connections to the server
	closed    sync.Once

	mu           sync.Mutex
	written      int64
	writesClosed bool
}

// Write implements net.Conn. It fails after closeForWrites.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesClosed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// NetConn returns the underlying connection.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// closeForWrites closes the connection and returns the number of bytes written to it.
// Nothing is written after it returns.
func (c *countingConn) closeForWrites() int64 {
	_ = c.Close() // also ends a blocked Write
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesClosed = true
	return c.written
}

func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.closed.Do(func() { c.openConns.Add(-1) })
	return c.Conn.Close()
}

// dial opens a countingConn.
func (s *server) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: s.timeouts.Connect, KeepAlive: keepAliveInterval}
	conn, err := httpclient.Dial(dialer.DialContext)(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s.counters.connections.Add(1)
	s.openConns.Add(1)
	return &countingConn{Conn: conn, openConns: &s.openConns}, nil
}

// connTrace records the connection that one request uses and how many bytes were written
// to it before the request.
type connTrace struct {
	mu          sync.Mutex
	conn        *countingConn
	bytesBefore int64 // written to conn by earlier requests
}

// withClientTrace returns a context with which the transport reports the request's
// connection to t.
func (t *connTrace) withClientTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *connTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, _ = info.Conn.(*countingConn)
	if t.conn != nil {
		t.bytesBefore = t.conn.bytesWritten()
	}
}

// closeConn closes the connection of a failed request and returns the request's outcome:
// NotRun if it had no connection or wrote no byte to it, else Unknown.
func (t *connTrace) closeConn() fault.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return fault.NotRun
	}
	if t.conn.closeForWrites() == t.bytesBefore {
		return fault.NotRun
	}
	return fault.Unknown
}
