// Package local runs the stand-ins and any number of real daemons in one process on
// loopback, for measurements that need many of them.
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

// Place is where an instance runs.
type Place struct {
	Region        string
	FailureDomain string
}

// Engine is a model engine with its server.
type Engine struct {
	*fakeengine.Engine
	ID      string
	Address string
	server  *http.Server
}

// Crash ends the server with all its connections; the engine loses its requests.
func (e *Engine) Crash() {
	_ = e.server.Close()
	e.Restart()
}

// Plain is a plain service with its address.
type Plain struct {
	*fakeplain.Server
	ID      string
	Address string
}

// Daemon is one running daemon.
type Daemon struct {
	*daemon.Daemon
	ID     string
	region string
	stop   context.CancelFunc
	ended  chan struct{}
	result error // of Run, valid once ended is closed
}

// Stop ends the daemon gracefully.
func (d *Daemon) Stop() error {
	d.stop()
	<-d.ended
	return d.result
}

// System is a platform, a weight store, servers and daemons in this process.
type System struct {
	Platform *fakeplatform.Server
	Weights  *fakeweights.Server
	Engines  []*Engine
	Plains   []*Plain
	Daemons  []*Daemon

	platformAddress string
	weightAddress   string
	platformTraffic atomic.Int64
	engineTraffic   atomic.Int64
	servers         []*http.Server
	client          *http.Client
	log             io.Writer
}

// New starts a platform and a weight store. Daemons log to log.
func New(weights fakeweights.Config, log io.Writer) (*System, error) {
	s := &System{
		Platform: fakeplatform.New(fakeplatform.Config{}),
		Weights:  fakeweights.New(weights),
		client:   &http.Client{Timeout: callTimeout},
		log:      log,
	}
	var err error
	if _, s.platformAddress, err = s.serve(s.Platform.Handler(), &s.platformTraffic); err != nil {
		return nil, err
	}
	if _, s.weightAddress, err = s.serve(s.Weights.Handler(), nil); err != nil {
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

// serve serves on a free port and adds the bytes of its connections to traffic, if any.
func (s *System) serve(handler http.Handler, traffic *atomic.Int64) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(meteredListener{listener, traffic}) }()
	return server, listener.Addr().String(), nil
}

// Close ends all daemons at once, then the stand-ins.
func (s *System) Close() {
	var ending sync.WaitGroup
	for _, d := range s.Daemons {
		ending.Go(func() { _ = d.Stop() })
	}
	ending.Wait()
	for _, e := range s.Engines {
		e.Engine.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// StartEngine starts a model engine and lists it.
func (s *System) StartEngine(config fakeengine.Config, place Place) (*Engine, error) {
	config.WeightAddress = s.weightAddress
	engine := &Engine{Engine: fakeengine.New(config), ID: config.ID}
	var err error
	if engine.server, engine.Address, err = s.serve(engine.Handler(), &s.engineTraffic); err != nil {
		return nil, err
	}
	s.Engines = append(s.Engines, engine)
	s.list(config.ID, config.Pool, engine.Address, "", place)
	return engine, nil
}

// StartPlain starts a plain service and lists it.
func (s *System) StartPlain(config fakeplain.Config, pool string, place Place) (*Plain, error) {
	plain := &Plain{Server: fakeplain.New(config), ID: config.ID}
	var err error
	if _, plain.Address, err = s.serve(plain.Handler(), nil); err != nil {
		return nil, err
	}
	s.Plains = append(s.Plains, plain)
	s.list(config.ID, pool, plain.Address, "", place)
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

// StartDaemon starts a daemon and lists it. further holds more sections of its settings.
func (s *System) StartDaemon(id string, place Place, further string) (*Daemon, error) {
	text := fmt.Sprintf(settingsFormat, id, place.Region, place.FailureDomain, s.platformAddress, s.weightAddress, further)
	settings, err := daemon.ParseSettings(id, []byte(text))
	if err != nil {
		return nil, err
	}
	built, err := daemon.New(settings, s.log)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &Daemon{Daemon: built, ID: id, region: place.Region, stop: stop, ended: make(chan struct{})}
	s.list(id, objectapi.DaemonPool, built.Address(), built.PeerAddress(), place)
	go func() {
		defer close(d.ended)
		d.result = built.Run(ctx)
	}()
	s.Daemons = append(s.Daemons, d)
	return d, nil
}

func (s *System) list(id, pool, address, peerAddress string, place Place) {
	s.Platform.SetInstance(objectapi.Instance{
		ID: id, Pool: pool, Address: address, PeerAddress: peerAddress, State: objectapi.Live,
		Region: place.Region, FailureDomain: place.FailureDomain,
	})
}

// Apply writes a service's document into the object API.
func (s *System) Apply(service string, source []byte) int64 {
	return s.Platform.Put("documents/"+service, source).Version
}

// WaitReady waits until every daemon answers that it is ready and knows all daemons of
// its region as members.
func (s *System) WaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range s.Daemons {
		for !s.ready(ctx, d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready or does not know all members after %s", d.ID, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return ctx.Err()
}

func (s *System) ready(ctx context.Context, d *Daemon) bool {
	if s.get(ctx, d, "/ready", nil) != nil {
		return false
	}
	var status daemon.Status
	if s.get(ctx, d, "/v1/status?alarms=own", &status) != nil {
		return false
	}
	return len(status.Members) >= s.inRegion(d.region)
}

func (s *System) inRegion(region string) int {
	count := 0
	for _, d := range s.Daemons {
		if d.region == region {
			count++
		}
	}
	return count
}

// get reads JSON from a daemon into answer, which may be nil.
func (s *System) get(ctx context.Context, d *Daemon, path string, answer any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Address()+path, nil)
	if err != nil {
		return err
	}
	response, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s to %s", d.ID, response.Status, path)
	}
	if answer == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// Addresses returns the HTTP addresses of all daemons.
func (s *System) Addresses() []string {
	var addresses []string
	for _, d := range s.Daemons {
		addresses = append(addresses, d.Address())
	}
	return addresses
}
