// Package peer implements drpc calls between daemons. Each daemon has a server and a
// pool of connections to other daemons. A call fails if the peer sends no data within
// the progress timeout.
//
// A connection carries one call or stream at a time; the pool opens one connection per
// concurrent call and keeps some for reuse. Errors of package fault that a handler
// returns reach the caller with kind, outcome and remedy.
package peer

import (
	"context"
	"sync/atomic"
	"time"

	"storj.io/drpc"
)

// Config holds the timeouts of calls to peers.
type Config struct {
	ConnectTimeout  time.Duration // timeout for establishing a connection
	ProgressTimeout time.Duration // maximum time without data on a connection with a call in progress
}

const (
	defaultConnect  = time.Second
	defaultProgress = 3 * time.Second
)

func (c Config) withDefaults() Config {
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = defaultConnect
	}
	if c.ProgressTimeout <= 0 {
		c.ProgressTimeout = defaultProgress
	}
	return c
}

// ConnProvider provides drpc connections by address. A connection that failed or on which no
// data arrived in time is closed, and the next call opens a new one.
type ConnProvider interface {
	// Conn returns a connection for calls to address. The caller must not close it.
	// Calls fail with fault.Unavailable if the peer does not respond, with outcome
	// fault.NotRun if no connection was established.
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

type progressKey struct{}

// WithProgressTimeout returns a context that sets the progress timeout of calls to d instead
// of Config.ProgressTimeout. Use it for calls whose response takes longer to compute;
// streams should send a message each second instead.
func WithProgressTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, progressKey{}, d)
}

func progressTimeoutFrom(ctx context.Context, defaultTimeout time.Duration) time.Duration {
	if d, ok := ctx.Value(progressKey{}).(time.Duration); ok {
		return d
	}
	return defaultTimeout
}

// Counters counts the traffic of a Pool or a Server.
type Counters struct {
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_received"`
	Calls         int64 `json:"calls"`       // calls and streams started
	Connections   int64 `json:"connections"` // connections established
	Failures      int64 `json:"failures"`    // connections that could not be established
	Stalls        int64 `json:"stalls"`      // connections closed because no data arrived
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
