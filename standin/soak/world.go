package soak

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
	"github.com/hornbeamtide/hornbeamtide/standin/silentproxy"
)

const (
	host        = "desk.example"
	enginePool  = "draftpool"
	plainPool   = "ledgerdesk"
	engineModel = "captions"
	eventPause  = 10 * time.Millisecond
)

// daemon is one daemon with the links to it and from it.
type daemon struct {
	*cluster.Edge

	callers, store, peers *silentproxy.Proxy

	name   string
	starts atomic.Int64
	mu     sync.Mutex // held while its process is changed or sent a signal
}

// process names the daemon's present process.
func (d *daemon) process() string { return fmt.Sprintf("%s/%d", d.name, d.starts.Load()) }

// server is one replica and the link to it.
type server struct {
	*fakereplica.Replica

	link    *silentproxy.Proxy
	gone    bool
	written int64 // version in its entry
}

// world is the store, the replicas and the daemons of a run.
type world struct {
	options Options
	store   *fakeplatform.Server
	close   []func()
	cluster *cluster.Cluster

	mu      sync.Mutex
	daemons []*daemon
	servers []*server
	version int // of the configuration
}

func newWorld(o Options) (*world, error) {
	processes, err := cluster.New(o.Program, "")
	if err != nil {
		return nil, err
	}
	w := &world{options: o, store: fakeplatform.New(fakeplatform.Config{}), cluster: processes}
	stand := httptest.NewServer(w.store.Handler())
	w.close = append(w.close, func() { stand.CloseClientConnections(); stand.Close() })
	for i := range o.Replicas {
		for _, config := range []fakereplica.Config{
			{ID: fmt.Sprint("engine-", i), Service: enginePool, Domain: "a", Model: engineModel, Events: events},
			{ID: fmt.Sprint("desk-", i), Service: plainPool, Domain: "a"},
		} {
			if err := w.addServer(config); err != nil {
				return w, err
			}
		}
	}
	w.configure()
	storeAddress := strings.TrimPrefix(stand.URL, "http://")
	for i := range o.Daemons {
		if err := w.addDaemon(i, storeAddress); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) addServer(config fakereplica.Config) error {
	s := &server{Replica: fakereplica.Start(config)}
	link, err := silentproxy.New(s.Address())
	if err != nil {
		return err
	}
	s.link = link
	s.Announce(link.Address())
	s.calm()
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.close = append(w.close, func() { link.Close(); s.Close() })
	w.mu.Unlock()
	w.store.PutSpec("servers/"+s.ID, s.Entry("ready"))
	return nil
}

// calm ends a replica's faults.
func (s *server) calm() {
	s.SetFaults(fakereplica.Faults{Pause: eventPause})
	s.link.SetFaults(silentproxy.Faults{})
}

// addDaemon starts a daemon whose links to the store and from callers and daemons lead over
// proxies.
func (w *world) addDaemon(i int, storeAddress string) error {
	d := &daemon{name: fmt.Sprint("d", i)}
	var err error
	if d.store, err = silentproxy.New(storeAddress); err != nil {
		return err
	}
	seeds := ""
	if i > 0 {
		seeds = w.daemons[0].peers.Address()
	}
	d.Edge, err = w.cluster.StartEdge(d.name, d.store.Address(), fmt.Sprint("domain-", i%3), seeds)
	if err != nil {
		return err
	}
	if d.callers, err = silentproxy.New(d.Address); err != nil {
		return err
	}
	if d.peers, err = silentproxy.New(d.Peer); err != nil {
		return err
	}
	w.daemons = append(w.daemons, d)
	return nil
}

// writeEntries has replicas write into their entries which version they run, as the
// published protocol says; daemons that give no orders know it from there.
func (w *world) writeEntries() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if version := s.Version(); !s.gone && version != s.written {
			s.written = version
			w.store.PutSpec("servers/"+s.ID, s.Entry("ready"))
		}
	}
}

// rewriteMembers has daemons find each other at their proxies, whatever they announce.
func (w *world) rewriteMembers(stop <-chan struct{}) {
	for {
		w.writeEntries()
		for _, o := range w.store.Objects("members/") {
			var m platform.Member
			if json.Unmarshal(o.Value, &m) != nil {
				continue
			}
			for _, d := range w.daemons {
				if m.ID == d.name && m.PeerAddress != d.peers.Address() {
					m.PeerAddress = d.peers.Address()
					if text, err := json.Marshal(m); err == nil {
						w.store.Put(o.Key, text)
					}
				}
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// configure puts the next version of the configuration in force: each adds a route.
func (w *world) configure() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(prefix, kind, service, more string) string {
		return fmt.Sprintf(`{"Name":%q,"Hostname":%q,"PathPrefix":%q,"Kind":%q,"Backend":%q,"TimeoutMs":6000,"MaxAttempts":3,"DueMs":5000%s}`,
			prefix, host, prefix, kind, service, more)
	}
	routes := []string{
		route("/drafts/", "rollout", enginePool, ""), route("/records/", "idempotent", plainPool, ""),
		route("/scores/", "idempotent", plainPool, ""), route("/bookings/", "non_idempotent", plainPool, ""),
		route("/chat/", "streaming", enginePool, `,"Resumable":true`),
	}
	for v := range w.version {
		routes = append(routes, route(extra(v+1), "idempotent", plainPool, ""))
	}
	w.store.PutSpec("config/main", json.RawMessage(fmt.Sprintf(
		`{"Version":%d,"Routes":[%s],"Services":[{"Name":%q,"Engine":{"Slots":8,"Models":[{"Name":%q}]}},{"Name":%q}],"Limits":{}}`,
		w.version, strings.Join(routes, ","), enginePool, engineModel, plainPool)))
	return w.version
}

// extra is the path of the route that a configuration version adds.
func extra(version int) string { return fmt.Sprintf("/extra-%d/", version) }

// newest is the version of the configuration.
func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// replicas are all that ever were.
func (w *world) replicas() []*fakereplica.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*fakereplica.Replica
	for _, s := range w.servers {
		all = append(all, s.Replica)
	}
	return all
}

func (w *world) server(n int) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[n%len(w.servers)]
}

func (w *world) end(keep bool) {
	w.cluster.Close(keep)
	for _, f := range w.close {
		f()
	}
	for _, p := range w.daemonLinks() {
		p.Close()
	}
}

// daemonLinks are the links to and from the daemons.
func (w *world) daemonLinks() []*silentproxy.Proxy {
	var all []*silentproxy.Proxy
	for _, d := range w.daemons {
		all = append(all, d.callers, d.store, d.peers)
	}
	return all
}

// missed is how many connections the links could not carry for want of files.
func (w *world) missed() int {
	total := 0
	for _, p := range w.daemonLinks() {
		total += p.Missed()
	}
	return total
}
