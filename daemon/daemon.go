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

// Timeouts of the HTTP server and of the shutdown.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	closeTimeout      = 2 * time.Second // for responses and modules to finish after the drain
)

// Daemon is a hornbeamtide daemon. A process runs one; a test may run several.
type Daemon struct {
	settings  Settings
	log       *event.Logger
	listeners listeners
	modules   modules
	gate      *gate
	started   time.Time
}

// Interfaces that a module may implement.
type (
	registrar interface{ Register(mux drpc.Mux) error }
	runnable  interface {
		Run(ctx context.Context) error
	}
	drainer     interface{ Drain(ctx context.Context) }
	queueCloser interface{ Drain() } // refuses new requests; queued ones may still start
)

// namedModule is a module with its name in the state dump and in the metrics.
type namedModule struct {
	name   string
	module any
}

// New binds both listeners and constructs all modules. It starts no module; on an
// error it closes the listeners. The caller must call Run or Close.
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
		return fault.Wrap(err, fault.Internal, "cannot construct the modules", "report this defect", fault.WithOutcome(fault.NotRun))
	}
	d.modules = built
	built.Routing.SetLeavingReporter(built.Fleet)
	d.gate = newGate(d.isolated)
	for _, m := range d.namedModules() {
		r, ok := m.module.(registrar)
		if !ok {
			continue
		}
		if err := r.Register(built.Server.Mux()); err != nil {
			return fault.Wrap(err, fault.Internal, "cannot register the drpc services of module "+m.name, "report this defect", fault.WithOutcome(fault.NotRun))
		}
	}
	return nil
}

// namedModules returns the modules in start order.
func (d *Daemon) namedModules() []namedModule {
	m := d.modules
	return []namedModule{
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
	httpListener, err := bind("http_address", s.Daemon.HTTPAddress)
	if err != nil {
		return listeners{}, err
	}
	peerListener, err := bind("peer_address", s.Daemon.PeerAddress)
	if err != nil {
		_ = httpListener.Close()
		return listeners{}, err
	}
	return listeners{httpListener, peerListener}, nil
}

func bind(key, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		message := fmt.Sprintf("cannot listen on daemon.%s", key)
		return nil, fault.Wrap(err, fault.Invalid, message, "stop the process that uses the port, or choose another address", fault.WithOutcome(fault.NotRun))
	}
	return l, nil
}

// Address returns the bound HTTP address.
func (d *Daemon) Address() string { return d.listeners.http.Addr().String() }

// PeerAddress returns the bound drpc address.
func (d *Daemon) PeerAddress() string { return d.listeners.peer.Addr().String() }

// Close closes the listeners of a daemon that is not run.
func (d *Daemon) Close() { d.listeners.close() }

func (d *Daemon) isolated() bool {
	_, isolated := d.modules.View.Isolated()
	return isolated
}

// Run serves until ctx ends or a module fails, then drains: the health check fails, new
// work is refused with outcome fault.NotRun, roles are handed over, and requests in
// flight may finish within the longest of daemon.drain_time and the documents'
// drain_time. The error is nil if no request was aborted and no module failed.
func (d *Daemon) Run(ctx context.Context) error {
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	errCh := make(chan error, 1)
	var wg sync.WaitGroup
	d.startModules(workCtx, &wg, errCh)
	server := d.startHTTP(workCtx, &wg, errCh)
	d.log.Log(event.DaemonStarted, event.F("http_address", d.Address()), event.F("peer_address", d.PeerAddress()))

	var failure error
	select {
	case <-ctx.Done():
	case failure = <-errCh:
	}
	aborted := d.drain(workCtx)
	d.closeHTTP(server)
	stop()
	waitFor(&wg, closeTimeout)
	d.modules.Conns.Close()
	d.log.Log(event.DaemonStopped, event.F("cut", aborted))
	return stopError(failure, aborted)
}

func stopError(failure error, aborted int) error {
	if failure != nil {
		return failure
	}
	if aborted > 0 {
		return fault.New(fault.Deadline, fmt.Sprintf("%d requests were aborted at the end of the drain time", aborted), "raise servers.drain_time of the service or daemon.drain_time")
	}
	return nil
}

func (d *Daemon) startModules(ctx context.Context, wg *sync.WaitGroup, errCh chan<- error) {
	d.start(ctx, wg, errCh, "peer server", func(ctx context.Context) error {
		return d.modules.Server.Serve(ctx, d.listeners.peer)
	})
	for _, m := range d.namedModules() {
		if r, ok := m.module.(runnable); ok {
			d.start(ctx, wg, errCh, m.name, r.Run)
		}
	}
	d.start(ctx, wg, errCh, "isolation watch", d.watchIsolation)
}

// start runs a module in its own goroutine. errCh receives the first failure.
func (d *Daemon) start(ctx context.Context, wg *sync.WaitGroup, errCh chan<- error, name string, run func(context.Context) error) {
	wg.Add(1)
	go func() {
		defer wg.Done()
		err := run(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		d.log.Log(event.DaemonModuleFailed, event.F("module", name), event.Err(err))
		select {
		case errCh <- fault.Wrap(err, fault.KindOf(err), "module "+name+" failed", "restart the daemon and report the error"):
		default:
		}
	}()
}

func (d *Daemon) startHTTP(ctx context.Context, wg *sync.WaitGroup, errCh chan<- error) *http.Server {
	server := &http.Server{
		Handler:           d.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	d.start(ctx, wg, errCh, "http server", func(context.Context) error {
		err := server.Serve(writeTimeoutListener{d.listeners.http, d.settings.Daemon.CallerProgress})
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return server
}

// closeHTTP waits up to closeTimeout for responses to be sent, then closes all
// connections.
func (d *Daemon) closeHTTP(server *http.Server) {
	shutdownCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = server.Shutdown(shutdownCtx)
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
	wasIsolated := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		since, isolated := d.modules.View.Isolated()
		if isolated != wasIsolated {
			d.logIsolation(since, isolated)
		}
		wasIsolated = isolated
	}
}

func (d *Daemon) logIsolation(since time.Time, isolated bool) {
	if isolated {
		d.log.Log(event.DaemonIsolated, event.F("since", since))
		return
	}
	d.log.Log(event.DaemonReconnected)
}

func waitFor(wg *sync.WaitGroup, timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
