// Package peer carries drpc calls between daemons: one server a daemon and a pool
// of connections to other daemons, each with a progress deadline.
package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Config bounds the waits on peers.
type Config struct {
	Connect  time.Duration // to establish a connection
	Progress time.Duration // longest silence of a connection with a call in progress
}

// Conns gives out drpc connections by address. A connection that failed or went
// silent is closed and the next call uses a fresh one.
type Conns interface {
	// Conn returns a connection that is valid for calls until its Close. Callers do
	// not close it.
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

// Pool is the Conns of a daemon.
type Pool struct {
	config Config
	log    *event.Logger
}

// NewPool returns an empty pool.
func NewPool(config Config, log *event.Logger) *Pool {
	return &Pool{config: config, log: log}
}

// Server serves the drpc services of a daemon.
type Server struct {
	mux *drpcmux.Mux
	log *event.Logger
}

// NewServer returns a server without services.
func NewServer(log *event.Logger) *Server {
	return &Server{mux: drpcmux.New(), log: log}
}

// Mux returns where packages register their services before Serve.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve accepts connections until ctx ends, then closes the listener and every connection.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	panic("not implemented")
}

// Conn implements Conns.
func (p *Pool) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	panic("not implemented")
}

// Close closes all connections.
func (p *Pool) Close() {}
