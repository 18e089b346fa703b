package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/dig"
	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/batch"
	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/gateway"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/relay"
	"github.com/hornbeamtide/hornbeamtide/roster"
	"github.com/hornbeamtide/hornbeamtide/waves"
)

const (
	headerTimeout  = 10 * time.Second // for a request's headers
	idleTimeout    = 2 * time.Minute  // longer than callers keep an idle connection
	maxHeaderBytes = 64 << 10
	peerConnect    = 500 * time.Millisecond
	peerProgress   = 3 * time.Second
	// drainNotice is how long connections are still taken after a stop was asked for: the
	// platform's balancer needs two seconds to notice.
	drainNotice = 2500 * time.Millisecond
	// memoryShare is the part of the process's memory that the heap keeps to; the rest is
	// for what the runtime does not count and for bytes in sockets.
	memoryShare = 0.6
	// logFlush bounds the writing of what is left of the log at the end.
	logFlush = 200 * time.Millisecond
	// stopMargin is kept of the time for a stop.
	stopMargin = 700 * time.Millisecond
)

// Daemon is one process that serves callers and trainers.
type Daemon struct {
	settings Settings
	started  time.Time
	log      *event.Logger
	modules

	listeners     listeners
	configuration atomic.Pointer[catalog.Configuration]
	draining      atomic.Bool
	output        *event.AsyncWriter
	aborted       chan struct{} // closed when the daemon is to end at once
}

// modules are the parts of a daemon.
type modules struct {
	dig.In

	Store    *platform.Client
	Conns    *peer.Pool
	Server   *peer.Server
	Relay    *relay.Store
	Mirror   *mirror.Mirror
	Roster   *roster.Manager
	Tracker  *placement.Tracker
	Backends *platform.Backends
	Gateway  *gateway.Gateway
	Batches  *batch.Manager
	Waves    *waves.Manager
	Measures *measure.Set
}

// New builds a daemon that is not running but holds its addresses, so that one with port 0
// is known from now on. Run lets go of them; it must be called.
func New(settings Settings, output io.Writer) (*Daemon, error) {
	held, err := listen(&settings)
	if err != nil {
		return nil, err
	}
	d, err := build(settings, output)
	if err != nil {
		held.close()
		return nil, err
	}
	d.listeners = held
	return d, nil
}

func build(settings Settings, output io.Writer) (*Daemon, error) {
	d := &Daemon{settings: settings, started: time.Now(), output: event.NewAsyncWriter(output), aborted: make(chan struct{})}
	d.log = newLogger(settings, d.output)
	container := dig.New()
	for _, constructor := range d.constructors() {
		if err := container.Provide(constructor); err != nil {
			return nil, fault.Wrap(err, fault.Internal, "the modules can't be wired", "report this defect")
		}
	}
	if err := container.Invoke(func(m modules) { d.modules = m }); err != nil {
		return nil, fault.Wrap(dig.RootCause(err), fault.Internal, "the modules can't be wired", "report this defect")
	}
	d.observe()
	for _, service := range []interface{ Register(mux drpc.Mux) error }{d.Mirror, d.Relay, d.Batches} {
		if err := service.Register(d.Server.Mux()); err != nil {
			return nil, fault.Wrap(err, fault.Internal, "the drpc services can't be registered", "report this defect")
		}
	}
	return d, nil
}

// observe turns objects of the store into what the modules work with.
func (d *Daemon) observe() {
	d.Mirror.Observe(platform.ConfigurationKind, d.configurationChanged)
	d.Mirror.Observe(platform.ReplicaKind, d.replicaChanged)
	d.Mirror.Observe(platform.VersionKind, func(c mirror.Change) {
		if v, err := platform.DecodeModelVersion(c.Key, c.Value); err == nil && !c.Deleted {
			d.Waves.Named(v)
		}
	})
}

func (d *Daemon) configurationChanged(c mirror.Change) {
	if c.Deleted || c.Key != platform.ConfigurationKey {
		return
	}
	next, err := platform.DecodeConfiguration(c.Value)
	if err != nil {
		d.log.Log(event.EdgeConfigurationRefused, event.F("revision", c.Version), event.Err(err))
		return
	}
	if current := d.configuration.Load(); current != nil && next.Version <= current.Version {
		return
	}
	d.configuration.Store(next)
	d.log.Log(event.EdgeConfiguration, event.F("version", next.Version), event.F("routes", len(next.Routes)),
		event.F("revision", c.Version), event.F("from", c.From))
}

func (d *Daemon) replicaChanged(c mirror.Change) {
	replica, err := platform.DecodeReplica(c.Key, c.Value)
	switch {
	case c.Deleted:
		id := c.Key[len(platform.ReplicaKind)+1:]
		d.Tracker.Remove(id)
		d.log.Log(event.EdgeReplicaGone, event.F("replica", id), event.F("from", c.From))
	case err != nil:
		d.log.Log(event.EdgeEntryUnreadable, event.F("key", c.Key), event.Err(err))
	default:
		d.Tracker.Set(replica)
		d.log.Log(event.EdgeReplica, event.F("replica", replica.ID), event.F("service", replica.Service),
			event.F("state", string(replica.State)), event.F("versions", replica.Versions), event.F("from", c.From))
	}
}

// ready reports whether the daemon should get new connections.
func (d *Daemon) ready() bool {
	return d.configuration.Load() != nil && d.Mirror.Known(platform.ReplicaKind) && !d.draining.Load()
}

// Run serves until ctx ends, then stops: new connections go elsewhere, batches are handed
// over, requests in progress end.
func (d *Daemon) Run(ctx context.Context) error {
	if d.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(d.settings.MemoryMB<<20)))
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{
		func(ctx context.Context) error { return d.Server.Serve(ctx, d.listeners.peer) },
		d.Mirror.Run, d.Batches.Run, d.Roster.Run, d.retire,
	} {
		running.Go(func() {
			if err := run(work); err != nil && work.Err() == nil {
				d.log.Log(event.DaemonModuleFailed, event.Err(err))
			}
		})
	}
	// Orders end as soon as a stop is asked for: the lease then goes to the next daemon.
	orders, stopOrders := context.WithCancel(ctx)
	defer stopOrders()
	running.Go(func() { _ = d.Waves.Run(orders) })
	front := d.serveFront(d.listeners.front)
	ready := serveHTTP(d.listeners.ready, platform.Ready(d.ready))
	metrics := d.serveMetrics(d.listeners.metric)
	d.log.Log(event.EdgeStarted, event.F("front", d.settings.FrontAddress), event.F("peer", d.settings.PeerAddress))
	select {
	case <-ctx.Done():
		d.stop(work, front)
	case <-d.aborted:
		stopOrders()
	}
	cancel()
	_ = front.Close()
	_ = ready.Close()
	if metrics != nil {
		_ = metrics.Close()
	}
	running.Wait()
	d.Conns.Close()
	d.log.Log(event.EdgeStopped, event.F("store_calls", d.Store.Calls()))
	d.output.Close(logFlush)
	return nil
}

// Abort ends a running daemon at once: nothing is handed over and requests are cut. It may
// be called once.
func (d *Daemon) Abort() { close(d.aborted) }

type listeners struct{ front, ready, peer, metric net.Listener }

// listen binds the addresses of the settings and writes the chosen ports into them.
func listen(s *Settings) (listeners, error) {
	var l listeners
	for _, entry := range []struct {
		key      string
		address  *string
		listener *net.Listener
		optional bool
	}{
		{"front_address", &s.FrontAddress, &l.front, false},
		{"ready_address", &s.ReadyAddress, &l.ready, false},
		{"peer_address", &s.PeerAddress, &l.peer, false},
		{"metric_address", &s.MetricAddress, &l.metric, true},
	} {
		if *entry.address == "" && entry.optional {
			continue
		}
		listener, err := net.Listen("tcp", *entry.address)
		if err != nil {
			l.close()
			return l, fault.Wrap(err, fault.Invalid, entry.key+" can't be bound", "stop the process that uses the port, or choose another address")
		}
		*entry.listener, *entry.address = listener, listener.Addr().String()
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.front, l.ready, l.peer, l.metric} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) serveFront(listener net.Listener) *http.Server {
	server := &http.Server{
		Handler:           platform.NewFront(d.Gateway, d.Batches, d.configuration.Load, d.draining.Load, d.log),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go func() { _ = server.Serve(listener) }() // ends with Shutdown
	return server
}

func serveHTTP(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go func() { _ = server.Serve(listener) }() // ends with Close
	return server
}

// stop ends the daemon's work within the time for a stop.
func (d *Daemon) stop(work context.Context, front *http.Server) {
	d.log.Log(event.DaemonDraining)
	begun := time.Now()
	d.draining.Store(true)
	d.Batches.Drain(work)
	time.Sleep(time.Until(begun.Add(drainNotice)))
	limit, cancel := context.WithDeadline(work, begun.Add(d.settings.StopTime-stopMargin))
	defer cancel()
	if err := front.Shutdown(limit); err != nil {
		d.log.Log(event.DaemonDrainCut, event.Err(err))
		_ = front.Close()
	}
}

func newLogger(s Settings, output io.Writer) *event.Logger {
	return event.NewLogger(event.NewLogrus(output, s.Log.Level, s.Log.Format), event.F("daemon", s.ID))
}
