package peer

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Server serves the drpc services of a daemon.
type Server struct {
	mux    *drpcmux.Mux
	log    *event.Logger
	counts counters
}

// NewServer returns a server without services.
func NewServer(log *event.Logger) *Server {
	return &Server{mux: drpcmux.New(), log: log}
}

// Mux returns the mux on which packages register their services before Serve.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve accepts connections until ctx ends, then closes the listener and every
// connection. It closes connections without a call after twice the idle timeout of a
// Pool.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	handler := countingHandler{handler: faultHandler{handler: recoveringHandler{handler: s.mux, log: s.log}}, counts: &s.counts}
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{
		Manager: drpcmanager.Options{InactivityTimeout: 2 * idleTimeout},
		Log:     func(err error) { s.log.Log(event.PeerConnectionEnded, event.Err(err)) },
	})
	return server.Serve(ctx, countingListener{Listener: listener, counts: &s.counts})
}

// Counters returns the current counters.
func (s *Server) Counters() Counters { return s.counts.read() }

type countingHandler struct {
	handler drpc.Handler
	counts  *counters
}

// HandleRPC implements drpc.Handler.
func (h countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	h.counts.calls.Add(1)
	if o := observerOf(stream); o != nil {
		o.CallStarted()
		defer o.CallEnded()
	}
	return h.handler.HandleRPC(stream, rpc)
}

// CallObserver is implemented by connections of the listener of Serve that need to know when a call
// has arrived and when it has ended.
type CallObserver interface {
	CallStarted()
	CallEnded()
}

// observerOf returns the observer of a stream's connection, nil for none.
func observerOf(stream drpc.Stream) CallObserver {
	if raw, ok := drpcctx.Transport(stream.Context()); ok {
		if t, ok := raw.(*transport); ok {
			o, _ := t.Conn.(CallObserver)
			return o
		}
	}
	return nil
}

type countingListener struct {
	net.Listener
	counts *counters
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counts.connections.Add(1)
	return newTransport(conn, defaultProgress, l.counts), nil
}
