package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// conn is a pooled connection. It carries one call or stream at a time.
type conn struct {
	*drpcconn.Conn
	transport *transport
	address   string
	pool      *Pool
	timedOut  atomic.Bool // closed because no data arrived

	mu      sync.Mutex
	calls   int           // in progress
	stalled chan struct{} // closed when the connection is closed after a stall
}

// Closed returns a channel that is closed once the connection has ended. After a stall it
// returns a closed channel at once: drpc closes its own channel only when its reader has noticed
// the closed transport, and until then the pool would hand the connection out again.
func (c *conn) Closed() <-chan struct{} {
	if isClosed(c.stalled) {
		return c.stalled
	}
	return c.Conn.Closed()
}

// closeStalled closes the connection after a stall of a connection to the same address. With
// onlyIdle set, a connection with a call in progress stays open.
func (c *conn) closeStalled(onlyIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if onlyIdle && c.calls > 0 {
		return
	}
	if !isClosed(c.stalled) {
		close(c.stalled)
	}
	_ = c.transport.Close()
}

// beginCall registers a call. It fails with outcome fault.NotRun if the connection was closed
// after a stall since the pool handed it out.
func (c *conn) beginCall(ctx context.Context) (*watchdog, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isClosed(c.stalled) {
		return nil, fault.New(fault.Unavailable, "the connection to "+c.address+" was closed after a stall", unavailableRemedy, fault.WithOutcome(fault.NotRun))
	}
	c.calls++
	c.pool.counts.calls.Add(1)
	return startWatchdog(c.transport, progressTimeoutFrom(ctx, c.pool.config.ProgressTimeout), c.handleStall), nil
}

func (c *conn) endCall(watch *watchdog) {
	watch.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
}

func (c *conn) callsInProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// Invoke implements drpc.Conn.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	started := time.Now()
	watch, err := c.beginCall(ctx)
	if err != nil {
		return err
	}
	defer c.endCall(watch)
	err = c.Conn.Invoke(ctx, rpc, enc, in, out)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !c.transport.lastReceived().After(started) {
		c.handleStall()
	}
	return c.decode(ctx, err)
}

// NewStream implements drpc.Conn.
func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	watch, err := c.beginCall(ctx)
	if err != nil {
		return nil, err
	}
	inner, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		c.endCall(watch)
		return nil, c.decode(ctx, err)
	}
	context.AfterFunc(inner.Context(), func() { c.endCall(watch) })
	return &stream{Stream: inner, conn: c}, nil
}

// handleStall closes the connection and the idle ones to the same address, since the
// peer or the network may have lost the state of all of them.
func (c *conn) handleStall() {
	c.timedOut.Store(true)
	c.pool.handleStall(c.address)
	c.closeStalled(false)
}

func (c *conn) decode(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	return decodeError(ctx, err, c.address, c.timedOut.Load())
}

// stream converts the errors of a stream to errors of package fault.
type stream struct {
	drpc.Stream
	conn *conn
}

// MsgSend implements drpc.Stream.
func (s *stream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.conn.decode(s.Context(), s.Stream.MsgSend(msg, enc))
}

// MsgRecv implements drpc.Stream. It returns io.EOF after the last message.
func (s *stream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	return s.conn.decode(s.Context(), s.Stream.MsgRecv(msg, enc))
}
