// Package local runs a fake platform, fake servers and any number of real daemons in one process
// on loopback, for measurements that need many daemons.
package local

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/daemon"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeweights"
)

// Location is the location of an instance.
type Location struct {
	Region        string
	FailureDomain string
}

// Engine is a fake model engine with its HTTP server.
type Engine struct {
	*fakeengine.Engine
	ID      string
	Address string
	server  *http.Server
}

// Crash closes the server and all its connections and restarts the engine, which loses its
// requests.
func (e *Engine) Crash() {
	_ = e.server.Close()
	e.Restart()
}

// PlainService is a fake plain service with its address.
type PlainService struct {
	*fakeplain.Server
	ID      string
	Address string
}

// Daemon is a running daemon.
type Daemon struct {
	*daemon.Daemon
	ID     string
	region string
	stop   context.CancelFunc
	done   chan struct{}
	runErr error // result of Run, valid once done is closed
}

// Stop stops the daemon gracefully and returns the result of its Run.
func (d *Daemon) Stop() error {
	d.stop()
	<-d.done
	return d.runErr
}

// System is a fake platform, a fake weight store, fake servers and real daemons in this process.
type System struct {
	Platform      *fakeplatform.Server
	Weights       *fakeweights.Server
	Engines       []*Engine
	PlainServices []*PlainService
	Daemons       []*Daemon

	platformAddress string
	weightAddress   string
	platformTraffic atomic.Int64
	engineTraffic   atomic.Int64
	servers         []*http.Server
	client          *http.Client
	logOutput       io.Writer
}

// New starts the fake platform and weight store. Daemons log to logOutput.
func New(weights fakeweights.Config, logOutput io.Writer) (*System, error) {
	s := &System{
		Platform:  fakeplatform.New(fakeplatform.Config{}),
		Weights:   fakeweights.New(weights),
		client:    &http.Client{Timeout: callTimeout},
		logOutput: logOutput,
	}
	var err error
	if _, s.platformAddress, err = s.startServer(s.Platform.Handler(), &s.platformTraffic); err != nil {
		return nil, err
	}
	if _, s.weightAddress, err = s.startServer(s.Weights.Handler(), nil); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

const (
	callTimeout  = 5 * time.Second
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// startServer serves handler on a free port and returns the server and its host:port. It adds
// the bytes of its connections to traffic, unless that is nil.
func (s *System) startServer(handler http.Handler, traffic *atomic.Int64) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(countingListener{listener, traffic}) }()
	return server, listener.Addr().String(), nil
}

// Close stops all daemons in parallel, then closes the fakes.
func (s *System) Close() {
	var wg sync.WaitGroup
	for _, d := range s.Daemons {
		wg.Go(func() { _ = d.Stop() })
	}
	wg.Wait()
	for _, e := range s.Engines {
		e.Engine.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// StartEngine starts a fake model engine and adds it to the platform's instance list.
func (s *System) StartEngine(config fakeengine.Config, location Location) (*Engine, error) {
	config.WeightAddress = s.weightAddress
	engine := &Engine{Engine: fakeengine.New(config), ID: config.ID}
	var err error
	if engine.server, engine.Address, err = s.startServer(engine.Handler(), &s.engineTraffic); err != nil {
		return nil, err
	}
	s.Engines = append(s.Engines, engine)
	s.addInstance(config.ID, config.Pool, engine.Address, "", location)
	return engine, nil
}

// StartPlainService starts a fake plain service and adds it to the platform's instance list.
func (s *System) StartPlainService(config fakeplain.Config, pool string, location Location) (*PlainService, error) {
	plain := &PlainService{Server: fakeplain.New(config), ID: config.ID}
	var err error
	if _, plain.Address, err = s.startServer(plain.Handler(), nil); err != nil {
		return nil, err
	}
	s.PlainServices = append(s.PlainServices, plain)
	s.addInstance(config.ID, pool, plain.Address, "", location)
	return plain, nil
}

const settingsFormat = `[daemon]
id = %s
http_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
region = %s
failure_domain = %s
drain_time = 1s

[platform]
address = %s
weight_address = %s

[log]
level = error

%s
`

// StartDaemon starts a daemon and adds it to the platform's instance list. extraSections holds
// further INI sections of its settings.
func (s *System) StartDaemon(id string, location Location, extraSections string) (*Daemon, error) {
	text := fmt.Sprintf(settingsFormat, id, location.Region, location.FailureDomain, s.platformAddress, s.weightAddress, extraSections)
	settings, err := daemon.ParseSettings(id, []byte(text))
	if err != nil {
		return nil, err
	}
	inner, err := daemon.New(settings, s.logOutput)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{Daemon: inner, ID: id, region: location.Region, stop: stop, done: make(chan struct{})}
	s.addInstance(id, objectapi.DaemonPool, inner.Address(), inner.PeerAddress(), location)
	go func() {
		defer close(d.done)
		d.runErr = inner.Run(ctx)
	}()
	s.Daemons = append(s.Daemons, d)
	return d, nil
}

func (s *System) addInstance(id, pool, address, peerAddress string, location Location) {
	s.Platform.SetInstance(objectapi.Instance{
		ID: id, Pool: pool, Address: address, PeerAddress: peerAddress, State: objectapi.Live,
		Region: location.Region, FailureDomain: location.FailureDomain,
	})
}

// Apply writes a service's document into the object store and returns the object's version.
func (s *System) Apply(service string, source []byte) int64 {
	return s.Platform.Put("documents/"+service, source).Version
}

// WaitReady waits until every daemon reports that it is ready and lists all daemons of its
// region as members.
func (s *System) WaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range s.Daemons {
		for !s.isReady(ctx, d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready or does not list all members after %s", d.ID, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return ctx.Err()
}

func (s *System) isReady(ctx context.Context, d *Daemon) bool {
	if s.get(ctx, d, "/ready", nil) != nil {
		return false
	}
	var status daemon.Status
	if s.get(ctx, d, "/v1/status?alarms=own", &status) != nil {
		return false
	}
	return len(status.Members) >= s.daemonsInRegion(d.region)
}

func (s *System) daemonsInRegion(region string) int {
	count := 0
	for _, d := range s.Daemons {
		if d.region == region {
			count++
		}
	}
	return count
}

// get decodes the JSON response of a daemon into out. If out is nil, it only checks the status.
func (s *System) get(ctx context.Context, d *Daemon, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Address()+path, nil)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: got status %s for %s", d.ID, resp.Status, path)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// Addresses returns the HTTP addresses of all daemons.
func (s *System) Addresses() []string {
	var addresses []string
	for _, d := range s.Daemons {
		addresses = append(addresses, d.Address())
	}
	return addresses
}
