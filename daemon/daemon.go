package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Bounds of the HTTP server and of the stop.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	closeTimeout      = 2 * time.Second // for modules to end after the drain
)

// Daemon is one hornbeamtide process, or one of several within a test process.
type Daemon struct {
	settings  Settings
	log       *event.Logger
	listeners listeners
	modules   modules
	gate      *gate
	started   time.Time
}

// Optional methods of a module.
type (
	registrar interface{ Register(mux drpc.Mux) error }
	runner    interface {
		Run(ctx context.Context) error
	}
	drainer interface{ Drain(ctx context.Context) }
	refuser interface{ Drain() } // refuses its queue from now on
)

// named is a module with the name under which it appears in the dump and metrics.
type named struct {
	name   string
	module any
}

// New binds both listeners, then builds all modules. Nothing works yet, and on an
// error nothing stays open. Run or Close must follow.
func New(settings Settings, logOutput io.Writer) (*Daemon, error) {
	bound, err := listen(settings)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: settings, listeners: bound, log: newLogger(settings, logOutput), started: time.Now()}
	if err := d.build(); err != nil {
		bound.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) build() error {
	built, err := wire(d.settings, d.listeners, d.log)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the modules can't be wired", "report this defect", fault.WithOutcome(fault.NotRun))
	}
	d.modules = built
	built.Routing.SetLeavingReporter(built.Fleet)
	d.gate = newGate(d.isolated)
	for _, part := range d.parts() {
		r, ok := part.module.(registrar)
		if !ok {
			continue
		}
		if err := r.Register(built.Server.Mux()); err != nil {
			return fault.Wrap(err, fault.Internal, "drpc services of "+part.name, "report this defect", fault.WithOutcome(fault.NotRun))
		}
	}
	return nil
}

// parts returns the modules in the order of their start.
func (d *Daemon) parts() []named {
	m := d.modules
	return []named{
		{"platform", m.Client},
		{"peer", m.Conns},
		{"peer_server", m.Server},
		{"fleet", m.Fleet},
		{"backend", m.Backends},
		{"routing", m.Routing},
		{"admission", m.Admission},
		{"claims", m.Claims},
		{"dispatch", m.Dispatch},
		{"weights", m.Weights},
		{"rollout", m.Rollout},
		{"alarm", m.Alarms},
		{"in_force", m.InForce},
	}
}

func listen(s Settings) (listeners, error) {
	web, err := bind("http_address", s.Daemon.HTTPAddress)
	if err != nil {
		return listeners{}, err
	}
	peers, err := bind("peer_address", s.Daemon.PeerAddress)
	if err != nil {
		_ = web.Close()
		return listeners{}, err
	}
	return listeners{web, peers}, nil
}

func bind(key, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		message := fmt.Sprintf("daemon.%s can't be bound", key)
		return nil, fault.Wrap(err, fault.Invalid, message, "stop the process that uses the port, or choose another address", fault.WithOutcome(fault.NotRun))
	}
	return l, nil
}

// Address returns the bound HTTP address.
func (d *Daemon) Address() string { return d.listeners.http.Addr().String() }

// PeerAddress returns the bound drpc address.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Addr().String() }

// Close frees what New bound, for a daemon that is not run.
func (d *Daemon) Close() { d.listeners.close() }

func (d *Daemon) isolated() bool {
	_, isolated := d.modules.View.Isolated()
	return isolated
}

// Run serves until ctx ends, then drains: the health check fails, new work is
// refused as not run, roles are handed over and requests in progress may end within
// daemon.drain_time or the longest drain_time of a document. The error is nil when no request was cut and no module failed.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 1)
	var running sync.WaitGroup
	d.startModules(work, &running, failed)
	server := d.startHTTP(work, &running, failed)
	d.log.Log(event.DaemonStarted, event.F("http_address", d.Address()), event.F("peer_address", d.PeerAddress()))

	var failure error
	select {
	case <-ctx.Done():
	case failure = <-failed:
	}
	cut := d.drain(work)
	d.closeHTTP(server)
	stop()
	waitFor(&running, closeTimeout)
	d.modules.Conns.Close()
	d.log.Log(event.DaemonStopped, event.F("cut", cut))
	return stopError(failure, cut)
}

func stopError(failure error, cut int) error {
	if failure != nil {
		return failure
	}
	if cut > 0 {
		return fault.New(fault.Deadline, fmt.Sprintf("%d requests were cut at the end of the drain time", cut), "raise servers.drain_time of the service or daemon.drain_time")
	}
	return nil
}

func (d *Daemon) startModules(ctx context.Context, running *sync.WaitGroup, failed chan<- error) {
	d.start(ctx, running, failed, "peer server", func(ctx context.Context) error {
		return d.modules.Server.Serve(ctx, d.listeners.peer)
	})
	for _, part := range d.parts() {
		if r, ok := part.module.(runner); ok {
			d.start(ctx, running, failed, part.name, r.Run)
		}
	}
	d.start(ctx, running, failed, "isolation watch", d.watchIsolation)
}

// start runs one module in its own goroutine and reports the first failure.
func (d *Daemon) start(ctx context.Context, running *sync.WaitGroup, failed chan<- error, name string, run func(context.Context) error) {
	running.Add(1)
	go func() {
		defer running.Done()
		err := run(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		d.log.Log(event.DaemonModuleFailed, event.F("module", name), event.Err(err))
		select {
		case failed <- fault.Wrap(err, fault.KindOf(err), "module "+name+" failed", "restart the daemon and report the error"):
		default:
		}
	}()
}

func (d *Daemon) startHTTP(ctx context.Context, running *sync.WaitGroup, failed chan<- error) *http.Server {
	server := &http.Server{
		Handler:           d.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	d.start(ctx, running, failed, "http server", func(context.Context) error {
		err := server.Serve(progressListener{d.listeners.http, d.settings.Daemon.CallerProgress})
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return server
}

// closeHTTP lets the ends of responses reach their callers, then closes all connections.
func (d *Daemon) closeHTTP(server *http.Server) {
	limited, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = server.Shutdown(limited)
	_ = server.Close()
}

// LogDump writes the state of every module to the log.
func (d *Daemon) LogDump() {
	text, err := json.Marshal(d.Dump())
	if err != nil {
		text = []byte(err.Error())
	}
	d.log.Log(event.DaemonDump, event.F("state", string(text)))
}

// watchIsolation logs when the daemon becomes isolated and when that ends.
func (d *Daemon) watchIsolation(ctx context.Context) error {
	const interval = 200 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	before := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		since, now := d.modules.View.Isolated()
		if now != before {
			d.logIsolation(since, now)
		}
		before = now
	}
}

func (d *Daemon) logIsolation(since time.Time, isolated bool) {
	if isolated {
		d.log.Log(event.DaemonIsolated, event.F("since", since))
		return
	}
	d.log.Log(event.DaemonReconnected)
}

func waitFor(running *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}
