package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// conn is one pooled connection. It carries one call at a time.
type conn struct {
	*drpcconn.Conn
	transport *transport
	address   string
	pool      *Pool
	inUse     atomic.Int32
	silent    atomic.Bool // closed by its watchdog
}

// Invoke implements drpc.Conn.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	started := time.Now()
	watch := c.begin(ctx)
	defer c.inUse.Add(-1)
	defer watch.stop()
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !c.transport.heard().After(started) {
		c.stalled()
	}
	return c.decode(ctx, err)
}

// NewStream implements drpc.Conn.
func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	watch := c.begin(ctx)
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

func (c *conn) begin(ctx context.Context) *watchdog {
	c.inUse.Add(1)
	c.pool.counts.calls.Add(1)
	return startWatchdog(c.transport, progressOf(ctx, c.pool.config.Progress), c.stalled)
}

// stalled closes the connection, and the idle ones to the same address, since what
// lost track of one may have lost track of all.
func (c *conn) stalled() {
	c.silent.Store(true)
	c.pool.stalled(c.address)
	_ = c.transport.Close()
}

func (c *conn) decode(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	return decodeError(ctx, err, c.address, c.silent.Load())
}

// stream turns the errors of a stream into those of package fault.
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
