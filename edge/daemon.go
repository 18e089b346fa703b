package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/dig"
	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/batch"
	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/gateway"
	"github.com/hornbeamtide/hornbeamtide/gossip"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/mirror"
	"github.com/hornbeamtide/hornbeamtide/organisation"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/quarantine"
	"github.com/hornbeamtide/hornbeamtide/ratelimit"
	"github.com/hornbeamtide/hornbeamtide/relay"
	"github.com/hornbeamtide/hornbeamtide/roster"
	"github.com/hornbeamtide/hornbeamtide/waves"
)

const (
	idleTimeout         = 2 * time.Minute // longer than callers keep an idle connection
	peerConnectTimeout  = 500 * time.Millisecond
	peerProgressTimeout = 3 * time.Second
	// drainNoticeTime is how long the daemon still accepts connections after a stop was
	// requested: the platform's load balancer needs two seconds to notice the stop.
	drainNoticeTime = 2500 * time.Millisecond
	// heapMemoryShare is the share of the process's memory that is set as Go's memory limit.
	// The rest is for memory that the runtime does not count and for socket buffers.
	heapMemoryShare = 0.6
	// maxQuarantineWait is how long after its start a daemon is not ready because it does not know the
	// quarantined requests. They matter less than a daemon that serves.
	maxQuarantineWait = 2 * time.Second
	// logFlushTimeout bounds the writing of queued log entries at exit.
	logFlushTimeout = 200 * time.Millisecond
	// stopMargin is the part of the stop time that is reserved for the steps after the
	// shutdown of the front server.
	stopMargin = 700 * time.Millisecond
	// responseTime is the part of the stop time before that in which the requests that are left get
	// their error responses.
	responseTime = 250 * time.Millisecond
)

// Daemon serves callers and trainers. A process runs one of them.
type Daemon struct {
	settings Settings
	started  time.Time
	log      *event.Logger
	modules

	listeners     listeners
	configuration atomic.Pointer[catalog.Configuration]
	// configurationRefused is set while the newest configuration of the store can't be decoded.
	configurationRefused atomic.Bool
	draining             atomic.Bool
	clients              *connlimit.Limiter
	bodies               *connlimit.Budget
	buffers              map[string]*connlimit.Budget // by kind; written only while the modules are built
	output               *event.AsyncWriter
	aborted              chan struct{} // closed by Abort
}

// modules holds the parts of a daemon that the dependency injection container builds.
type modules struct {
	dig.In

	Store            *platform.Client
	Conns            *peer.Pool
	Server           *peer.Server
	Relay            *relay.Store
	Mirror           *mirror.Mirror
	Roster           *roster.Manager
	Tracker          *placement.Tracker
	ReplicaTransport *platform.ReplicaTransport
	RateLimits       *ratelimit.Manager
	Quarantine       *quarantine.Manager
	Gossip           *gossip.Manager
	Gateway          *gateway.Gateway
	Batches          *batch.Manager
	Waves            *waves.Manager
	Gate             *organisation.Gate
	Duties           *duties
	Measures         *measure.Set
}

// New builds a daemon and binds its addresses, so that a port chosen by the system (port 0)
// is known before Run. Run must be called; it releases the addresses when it returns.
func New(settings Settings, output io.Writer) (*Daemon, error) {
	bound, err := listen(&settings)
	if err != nil {
		return nil, err
	}
	d, err := build(settings, output)
	if err != nil {
		bound.close()
		return nil, err
	}
	d.listeners = bound.limited(d.clients)
	return d, nil
}

func build(settings Settings, output io.Writer) (*Daemon, error) {
	d := &Daemon{settings: settings, started: time.Now(), output: event.NewAsyncWriter(output), aborted: make(chan struct{}), buffers: map[string]*connlimit.Budget{}}
	d.log = newLogger(settings, d.output)
	d.clients, d.bodies = d.newClientLimits()
	container := dig.New()
	for _, constructor := range d.constructors() {
		if err := container.Provide(constructor); err != nil {
			return nil, fault.Wrap(err, fault.Internal, "modules can't be built", "report this defect")
		}
	}
	if err := container.Invoke(func(m modules) { d.modules = m }); err != nil {
		return nil, fault.Wrap(dig.RootCause(err), fault.Internal, "modules can't be built", "report this defect")
	}
	d.registerObservers()
	for _, service := range []interface{ Register(mux drpc.Mux) error }{d.Mirror, d.Relay, d.Batches, d.RateLimits, d.Gossip, d.Duties} {
		if err := service.Register(d.Server.Mux()); err != nil {
			return nil, fault.Wrap(err, fault.Internal, "drpc services can't be registered", "report this defect")
		}
	}
	return d, nil
}

// registerObservers passes changes of store objects to the modules.
func (d *Daemon) registerObservers() {
	d.Mirror.Observe(platform.ConfigurationKind, d.configurationChanged)
	d.Mirror.Observe(platform.ReplicaKind, d.replicaChanged)
	d.Mirror.Observe(quarantine.Kind, func(c mirror.Change) {
		if !c.Deleted {
			d.Quarantine.ApplyStored(c.Object)
		}
	})
	d.Mirror.Observe(platform.VersionKind, func(c mirror.Change) {
		v, err := platform.DecodeModelVersion(c.Key, c.Value)
		switch {
		case c.Deleted:
		case err != nil:
			d.log.Log(event.EdgeEntryUnreadable, event.F("key", c.Key), event.Err(err))
		default:
			d.Waves.RecordVersion(v)
		}
	})
	d.Mirror.Observe(platform.MemberKind, func(c mirror.Change) {
		if _, err := platform.DecodeMember(c.Key, c.Value); err != nil && !c.Deleted {
			d.log.Log(event.EdgeEntryUnreadable, event.F("key", c.Key), event.Err(err))
		}
	})
}

func (d *Daemon) configurationChanged(c mirror.Change) {
	if c.Deleted || c.Key != platform.ConfigurationKey {
		return
	}
	next, err := platform.DecodeConfiguration(c.Value)
	d.configurationRefused.Store(err != nil)
	if err != nil {
		d.log.Log(event.EdgeConfigurationRefused, event.F("revision", c.Version), event.Err(err))
		return
	}
	if current := d.configuration.Load(); current != nil && next.Version <= current.Version {
		return
	}
	d.configuration.Store(next)
	d.log.Log(event.EdgeConfigurationInForce, event.F("version", next.Version), event.F("routes", len(next.Routes)), event.F("organisations", len(next.Organisations)),
		event.F("revision", c.Version), event.F("from", c.From))
}

func (d *Daemon) replicaChanged(c mirror.Change) {
	replica, err := platform.DecodeReplica(c.Key, c.Value)
	id := strings.TrimPrefix(c.Key, platform.ReplicaKind+"/")
	switch {
	case c.Deleted:
		d.Tracker.Remove(id)
		d.log.Log(event.EdgeReplicaRemoved, event.F("replica", id), event.F("from", c.From))
	case err != nil:
		d.Tracker.Remove(id) // what the entry said before does not hold any more
		d.log.Log(event.EdgeEntryUnreadable, event.F("key", c.Key), event.Err(err))
	default:
		d.Tracker.Set(replica)
		d.log.Log(event.EdgeReplicaChanged, event.F("replica", replica.ID), event.F("service", replica.Service),
			event.F("state", string(replica.State)), event.F("versions", replica.Versions), event.F("from", c.From))
	}
}

// ready reports whether the daemon should receive new connections.
func (d *Daemon) ready() bool {
	knowsQuarantine := d.Mirror.Known(quarantine.Kind) || time.Since(d.started) > maxQuarantineWait
	return d.configuration.Load() != nil && d.Mirror.Known(platform.ReplicaKind) && knowsQuarantine && !d.draining.Load()
}

// Run serves until ctx is done, then stops: it reports itself as not ready, hands over its
// batches and lets requests in flight finish.
func (d *Daemon) Run(ctx context.Context) error {
	if d.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(d.settings.MemoryMB<<20)))
	}
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{
		func(ctx context.Context) error { return d.Server.Serve(ctx, d.listeners.peer) },
		d.Mirror.Run, d.Batches.Run, d.Roster.Run, d.RateLimits.Run, d.Quarantine.Run, d.Gossip.Run, d.Duties.runUsage, d.reportRetirements, d.clients.Run,
	} {
		running.Go(func() {
			if err := run(workCtx); err != nil && workCtx.Err() == nil {
				d.log.Log(event.DaemonModuleFailed, event.Err(err))
			}
		})
	}
	leasesCtx, cancelLeases := context.WithCancel(ctx)
	defer cancelLeases()
	startLeases(leasesCtx, &running, func(ctx context.Context) { _ = d.Waves.Run(ctx) }, d.Duties.runReports)
	requestsCtx, endRequests := context.WithCancelCause(workCtx)
	defer endRequests(nil)
	frontServer := d.serveFront(requestsCtx, d.listeners.front)
	readyServer := serveHTTP(workCtx, d.listeners.ready, platform.ReadyHandler(d.ready))
	metricServer := d.serveMetrics(workCtx, d.listeners.metric)
	d.log.Log(event.EdgeStarted, event.F("front", d.settings.FrontAddress), event.F("peer", d.settings.PeerAddress))
	select {
	case <-ctx.Done():
		d.stop(workCtx, frontServer, func() { endRequests(gateway.ErrStopTimeOver) })
	case <-d.aborted:
		cancelLeases()
	}
	cancelWork()
	_ = frontServer.Close()
	_ = readyServer.Close()
	if metricServer != nil {
		_ = metricServer.Close()
	}
	running.Wait()
	d.Conns.Close()
	d.log.Log(event.EdgeStopped, event.F("store_calls", d.Store.Calls()))
	d.output.Close(logFlushTimeout)
	return nil
}

// Abort stops a running daemon at once: it interrupts requests in flight and does not hand over
// its batches. It must not be called more than once.
func (d *Daemon) Abort() { close(d.aborted) }

type listeners struct{ front, ready, peer, metric net.Listener }

// listen binds the addresses of the settings and stores the bound addresses, with the ports
// chosen by the system, in the settings.
func listen(s *Settings) (listeners, error) {
	var l listeners
	for _, binding := range []struct {
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
		if *binding.address == "" && binding.optional {
			continue
		}
		listener, err := net.Listen("tcp", *binding.address)
		if err != nil {
			l.close()
			return l, fault.Wrap(err, fault.Invalid, binding.key+" can't be bound", "stop the process that uses the port, or choose another address")
		}
		*binding.listener, *binding.address = listener, listener.Addr().String()
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

// serveFront serves callers and trainers. The contexts of their requests end with requests.
func (d *Daemon) serveFront(requests context.Context, listener net.Listener) *http.Server {
	handler := platform.NewFrontHandler(d.Gateway, d.Batches, d.Gate, d.draining.Load, d.bodies, d.log)
	return serveHTTP(requests, listener, handler)
}

// serveHTTP serves the connections of a limited listener.
func serveHTTP(requests context.Context, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, IdleTimeout: idleTimeout, MaxHeaderBytes: libraryHeadBytes,
		BaseContext: func(net.Listener) context.Context { return requests },
	}
	connlimit.Watch(server)
	go func() { _ = server.Serve(listener) }() // ends with Shutdown or Close
	return server
}

// stop drains the daemon within StopTime. Batches are handed over while callers are still served:
// a peer that does not respond must not take the time of the requests in flight. endRequests ends those
// that are left at the end, each with an error response.
func (d *Daemon) stop(workCtx context.Context, front *http.Server, endRequests func()) {
	d.log.Log(event.DaemonDraining)
	start := time.Now()
	end := start.Add(d.settings.StopTime - stopMargin)
	stopCtx, cancel := context.WithDeadline(workCtx, end)
	defer cancel()
	d.Gateway.StopBy(end.Add(-responseTime))
	d.draining.Store(true)
	var handOver sync.WaitGroup
	handOver.Go(func() { d.Batches.Drain(stopCtx) })
	time.Sleep(time.Until(start.Add(drainNoticeTime)))
	requestsEnd := time.AfterFunc(time.Until(end.Add(-responseTime)), func() {
		d.log.Log(event.DaemonDrainTimeExceeded, event.Err(gateway.ErrStopTimeOver))
		endRequests()
	})
	if err := front.Shutdown(stopCtx); err != nil {
		_ = front.Close()
	}
	requestsEnd.Stop()
	handOver.Wait()
}

func newLogger(s Settings, output io.Writer) *event.Logger {
	return event.NewLogger(event.NewLogrus(output, s.Log.Level, s.Log.Format), event.F("daemon", s.ID))
}
