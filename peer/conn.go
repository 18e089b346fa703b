package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// conn is a pooled connection. It carries one call or stream at a time.
type conn struct {
	*drpcconn.Conn
	transport *transport
	address   string
	pool      *Pool
	inUse     atomic.Int32
	timedOut  atomic.Bool // closed because no data arrived
}

// Invoke implements drpc.Conn.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	started := time.Now()
	watch := c.beginCall(ctx)
	defer c.inUse.Add(-1)
	defer watch.stop()
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !c.transport.lastReceived().After(started) {
		c.handleStall()
	}
	return c.decode(ctx, err)
}

// NewStream implements drpc.Conn.
func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	watch := c.beginCall(ctx)
	inner, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		watch.stop()
		c.inUse.Add(-1)
		return nil, c.decode(ctx, err)
	}
	context.AfterFunc(inner.Context(), func() {
		watch.stop()
		c.inUse.Add(-1)
	})
	return &stream{Stream: inner, conn: c}, nil
}

func (c *conn) beginCall(ctx context.Context) *watchdog {
	c.inUse.Add(1)
	c.pool.counts.calls.Add(1)
	return startWatchdog(c.transport, progressTimeoutFrom(ctx, c.pool.config.ProgressTimeout), c.handleStall)
}

// handleStall closes the connection and the idle ones to the same address, since the
// peer or the network may have lost the state of all of them.
func (c *conn) handleStall() {
	c.timedOut.Store(true)
	c.pool.handleStall(c.address)
	_ = c.transport.Close()
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
