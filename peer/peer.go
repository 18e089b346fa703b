// Package peer carries drpc calls between daemons: one server a daemon and a pool
// of connections to other daemons, each with a progress deadline.
//
// A connection carries one call or stream at a time; the pool opens as many as there
// are calls at once and keeps some for reuse. Errors of package fault that a handler
// returns reach the caller with kind, outcome and remedy.
package peer

import (
	"context"
	"sync/atomic"
	"time"

	"storj.io/drpc"
)

// Config bounds the waits on peers.
type Config struct {
	Connect  time.Duration // to establish a connection
	Progress time.Duration // longest silence of a connection with a call in progress
}

const (
	defaultConnect  = time.Second
	defaultProgress = 3 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Connect <= 0 {
		c.Connect = defaultConnect
	}
	if c.Progress <= 0 {
		c.Progress = defaultProgress
	}
	return c
}

// Conns gives out drpc connections by address. A connection that failed or went
// silent is closed and the next call uses a fresh one.
type Conns interface {
	// Conn returns a connection that is valid for calls until its Close. Callers do
	// not close it. Calls fail with fault.Unavailable when the peer does not answer,
	// with outcome fault.NotRun if no connection was established.
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

type progressKey struct{}

// WithProgress returns a context whose calls may be silent for d instead of
// Config.Progress. Calls whose answer takes longer to make need it; streams should
// carry a message each second instead.
func WithProgress(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, progressKey{}, d)
}

func progressOf(ctx context.Context, otherwise time.Duration) time.Duration {
	if d, ok := ctx.Value(progressKey{}).(time.Duration); ok {
		return d
	}
	return otherwise
}

// Counters counts the traffic of a Pool or a Server.
type Counters struct {
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_received"`
	Calls         int64 `json:"calls"`       // calls and streams started
	Connections   int64 `json:"connections"` // connections established
	Failures      int64 `json:"failures"`    // connections that could not be established
	Stalls        int64 `json:"stalls"`      // connections closed for silence
}

type counters struct {
	sent, received, calls, connections, failures, stalls atomic.Int64
}

func (c *counters) read() Counters {
	return Counters{
		BytesSent:     c.sent.Load(),
		BytesReceived: c.received.Load(),
		Calls:         c.calls.Load(),
		Connections:   c.connections.Load(),
		Failures:      c.failures.Load(),
		Stalls:        c.stalls.Load(),
	}
}
