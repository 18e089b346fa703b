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
	eventDelay  = 10 * time.Millisecond
)

// daemon is a daemon with the proxies on its links: from callers, to the store and from peers.
type daemon struct {
	*cluster.EdgeDaemon

	callerLink, storeLink, peerLink *silentproxy.Proxy

	name     string
	restarts atomic.Int64
	mu       sync.Mutex // held while the process is replaced or signaled
}

// processName identifies the daemon's current process.
func (d *daemon) processName() string { return fmt.Sprintf("%s/%d", d.name, d.restarts.Load()) }

// replica is a replica with the proxy on the link to it.
type replica struct {
	*fakereplica.Replica

	link           *silentproxy.Proxy
	removed        bool
	writtenVersion int64 // weight version in its store entry
}

// testbed holds the store, the replicas and the daemons of a run.
type testbed struct {
	options Options
	store   *fakeplatform.Server
	closers []func()
	cluster *cluster.Cluster
	checker *checker

	cloud     *cloud
	cloudLink *silentproxy.Proxy

	mu            sync.Mutex
	daemons       []*daemon
	replicas      []*replica
	configVersion int
}

func newTestbed(o Options) (*testbed, error) {
	cl, err := cluster.New(o.DaemonProgram, "")
	if err != nil {
		return nil, err
	}
	tb := &testbed{options: o, store: fakeplatform.New(fakeplatform.Config{}), cluster: cl}
	tb.checker = newChecker(tb.allReplicas)
	tb.cloud = newCloud(tb.checker)
	cloudServer := httptest.NewServer(tb.cloud)
	tb.closers = append(tb.closers, func() { cloudServer.CloseClientConnections(); cloudServer.Close() })
	if tb.cloudLink, err = silentproxy.New(cloudServer.Listener.Addr().String()); err != nil {
		return tb, err
	}
	storeServer := httptest.NewServer(tb.store.Handler())
	tb.closers = append(tb.closers, func() { storeServer.CloseClientConnections(); storeServer.Close() })
	for i := range o.Replicas {
		for _, config := range []fakereplica.Config{
			{ID: fmt.Sprint("engine-", i), Service: enginePool, FailureDomain: "a", Model: engineModel, Events: eventsPerCompletion},
			{ID: fmt.Sprint("desk-", i), Service: plainPool, FailureDomain: "a"},
		} {
			if err := tb.addReplica(config); err != nil {
				return tb, err
			}
		}
	}
	tb.publishConfig("")
	storeAddress := strings.TrimPrefix(storeServer.URL, "http://")
	for i := range o.Daemons {
		if err := tb.addDaemon(i, storeAddress); err != nil {
			return tb, err
		}
	}
	return tb, nil
}

func (tb *testbed) addReplica(config fakereplica.Config) error {
	config.OnRun = tb.checker.checkRun
	rep := &replica{Replica: fakereplica.Start(config)}
	link, err := silentproxy.New(rep.Address())
	if err != nil {
		return err
	}
	rep.link = link
	rep.SetAnnouncedAddress(link.Address())
	rep.clearFaults()
	tb.mu.Lock()
	tb.replicas = append(tb.replicas, rep)
	tb.closers = append(tb.closers, func() { link.Close(); rep.Close() })
	tb.mu.Unlock()
	tb.store.PutSpec("servers/"+rep.ID, rep.Entry("ready"))
	return nil
}

// clearFaults ends the faults of the replica and of its link.
func (rep *replica) clearFaults() {
	rep.SetFaults(fakereplica.Faults{Delay: eventDelay})
	rep.link.SetFaults(silentproxy.Faults{})
}

// addDaemon starts a daemon and the proxies on its links.
func (tb *testbed) addDaemon(i int, storeAddress string) error {
	d := &daemon{name: fmt.Sprint("d", i)}
	var err error
	if d.storeLink, err = silentproxy.New(storeAddress); err != nil {
		return err
	}
	seeds := ""
	if i > 0 {
		seeds = tb.daemons[0].peerLink.Address()
	}
	access := fmt.Sprintf("[organisations]\nwithdrawal = %v\n[duties]\nnames = usage_report\naddress = %s\nusage_window = %v\nusage_due = %v\n",
		withdrawalTime, tb.cloudLink.Address(), usageWindow, usageDue)
	d.EdgeDaemon, err = tb.cluster.StartEdgeDaemon(d.name, d.storeLink.Address(), fmt.Sprint("domain-", i%3), seeds, access)
	if err != nil {
		return err
	}
	if d.callerLink, err = silentproxy.New(d.Address); err != nil {
		return err
	}
	if d.peerLink, err = silentproxy.New(d.PeerAddress); err != nil {
		return err
	}
	tb.daemons = append(tb.daemons, d)
	return nil
}

// updateEntries writes the weight version of each replica into its store entry, as the
// published protocol requires. Daemons that send no orders learn the version from the entry.
func (tb *testbed) updateEntries() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, rep := range tb.replicas {
		if version := rep.Version(); !rep.removed && version != rep.writtenVersion {
			rep.writtenVersion = version
			tb.store.PutSpec("servers/"+rep.ID, rep.Entry("ready"))
		}
	}
}

// redirectMembers replaces the peer address in each daemon's member entry by that of its proxy,
// and updates the replicas' entries, until stop is closed.
func (tb *testbed) redirectMembers(stop <-chan struct{}) {
	for {
		tb.updateEntries()
		for _, o := range tb.store.Objects("members/") {
			var m platform.Member
			if json.Unmarshal(o.Value, &m) != nil {
				continue
			}
			for _, d := range tb.daemons {
				if m.ID == d.name && m.PeerAddress != d.peerLink.Address() {
					m.PeerAddress = d.peerLink.Address()
					if text, err := json.Marshal(m); err == nil {
						tb.store.Put(o.Key, text)
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

// publishConfig writes the next configuration version and returns it. Each version adds a route. If
// an organisation is given, one of its keys is withdrawn and another one added.
func (tb *testbed) publishConfig(organisation string) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.configVersion++
	route := func(prefix, kind, backend, extraFields string) string {
		return fmt.Sprintf(`{"Name":%q,"Hostname":%q,"PathPrefix":%q,"Kind":%q,"Backend":%q,"TimeoutMs":6000,"MaxAttempts":3,"DueMs":5000%s}`,
			prefix, host, prefix, kind, backend, extraFields)
	}
	routes := []string{
		route("/drafts/", "rollout", enginePool, ""), route("/records/", "idempotent", plainPool, ""),
		route(publicPath, "idempotent", plainPool, `,"Public":true`), route("/bookings/", "non_idempotent", plainPool, ""),
		route("/chat/", "streaming", enginePool, `,"Resumable":true`),
	}
	for v := range tb.configVersion {
		routes = append(routes, route(versionPath(v+1), "idempotent", plainPool, ""))
	}
	tenants, written := tb.checker.changeKeys(organisation)
	defer written()
	tenantsText, err := json.Marshal(tenants)
	if err != nil {
		panic(err) // impossible: the value holds only strings
	}
	tb.store.PutSpec("config/main", json.RawMessage(fmt.Sprintf(
		`{"Version":%d,"Routes":[%s],"Services":[{"Name":%q,"Engine":{"Slots":8,"Models":[{"Name":%q}]}},{"Name":%q}],"Tenants":%s,"Limits":{}}`,
		tb.configVersion, strings.Join(routes, ","), enginePool, engineModel, plainPool, tenantsText)))
	return tb.configVersion
}

// versionPath returns the path prefix of the route that a configuration version adds.
func versionPath(version int) string { return fmt.Sprintf("/extra-%d/", version) }

// newestConfig returns the newest configuration version.
func (tb *testbed) newestConfig() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.configVersion
}

// allReplicas returns all replicas of the run, removed ones included.
func (tb *testbed) allReplicas() []*fakereplica.Replica {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var all []*fakereplica.Replica
	for _, rep := range tb.replicas {
		all = append(all, rep.Replica)
	}
	return all
}

func (tb *testbed) replica(n int) *replica {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.replicas[n%len(tb.replicas)]
}

func (tb *testbed) shutDown(keep bool) {
	tb.cluster.Close(keep)
	for _, f := range tb.closers {
		f()
	}
	for _, p := range tb.allLinks() {
		p.Close()
	}
}

// allLinks returns the proxies on the links of all daemons.
func (tb *testbed) allLinks() []*silentproxy.Proxy {
	all := []*silentproxy.Proxy{tb.cloudLink}
	for _, d := range tb.daemons {
		all = append(all, d.callerLink, d.storeLink, d.peerLink)
	}
	return all
}

// failedConns returns how many connections the daemons' proxies could not open because the soak
// had no file descriptors left.
func (tb *testbed) failedConns() int {
	total := 0
	for _, p := range tb.allLinks() {
		total += p.FailedConns()
	}
	return total
}
