package edge

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

const (
	testHost    = "desk.example"
	testModel   = "captions"
	textEvents  = 6
	testLimit   = 20 * time.Second
	modelPool   = "draftpool"
	plainPool   = "ledgerdesk"
	itemPath    = "/drafts/"
	plainPath   = "/records/"
	strictPath  = "/bookings/" // non-idempotent
	streamPath  = "/chat/"     // streams that can be resumed
	scoringPath = "/scores/"
	anyPort     = "127.0.0.1:0"
	noServer    = "127.0.0.1:1" // nothing listens there: the port is reserved
)

// site is a fleet of daemons in this process with a stand-in store and replicas.
type site struct {
	t       *testing.T
	store   *fakeplatform.Server
	address string
	engines []*fakereplica.Replica
	desks   []*fakereplica.Replica
	daemons []*process
	seeds   string
	log     io.Writer // of all daemons, at level info; nil for none
}

// process is one daemon that can be stopped, or killed without a stop.
type process struct {
	*Daemon

	client *http.Client
	stop   context.CancelFunc
	done   chan struct{}
}

func newSite(t *testing.T, daemons int, options ...func(*site)) *site {
	t.Helper()
	s := &site{t: t, store: fakeplatform.New(fakeplatform.Config{})}
	for _, option := range options {
		option(s)
	}
	server := httptest.NewServer(s.store.Handler())
	s.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	for i := range 3 {
		s.engines = append(s.engines, s.replica(fakereplica.Config{
			ID: fmt.Sprint("engine-", i), Service: modelPool, Domain: "a", Model: testModel, Events: textEvents,
		}))
		s.desks = append(s.desks, s.replica(fakereplica.Config{ID: fmt.Sprint("desk-", i), Service: plainPool, Domain: "a"}))
	}
	s.configure(1)
	for i := range daemons {
		s.start(fmt.Sprint("d", i+1))
	}
	for _, d := range s.daemons {
		s.eventually("daemons are ready and know each other", func() bool { return d.ready() && len(d.members()) == daemons })
	}
	return s
}

func (s *site) replica(config fakereplica.Config) *fakereplica.Replica {
	r := fakereplica.Start(config)
	s.t.Cleanup(r.Close)
	s.store.PutSpec("servers/"+r.ID, r.Entry("ready"))
	return r
}

// configure puts a version of the configuration in force. extra are more routes.
func (s *site) configure(version int, extra ...map[string]any) {
	route := func(name, prefix, kind, pool string) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": testHost, "PathPrefix": prefix, "Kind": kind, "Backend": pool,
			"TimeoutMs": 4000, "TargetLatencyMs": 300, "MaxAttempts": 3, "DueMs": 5000,
		}
	}
	stream := route("chat", streamPath, "streaming", modelPool)
	stream["Resumable"] = true
	routes := []map[string]any{
		route("drafts", itemPath, "rollout", modelPool), route("records", plainPath, "idempotent", plainPool),
		route("bookings", strictPath, "non_idempotent", plainPool), route("scores", scoringPath, "idempotent", plainPool), stream,
	}
	text, err := json.Marshal(map[string]any{
		"Version": version, "Routes": append(routes, extra...),
		"Services": []map[string]any{
			{"Name": modelPool, "Engine": map[string]any{"Slots": 8, "Models": []map[string]any{{"Name": testModel}}}},
			{"Name": plainPool},
		},
		"Limits": map[string]any{"MaxBodyBytes": 100_000},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.PutSpec("config/main", text)
}

func (s *site) start(id string) *process {
	s.t.Helper()
	settings := Settings{
		ID: id, FrontAddress: anyPort, ReadyAddress: anyPort, PeerAddress: anyPort, MetricAddress: anyPort,
		Region: "r", FailureDomain: "a", Seeds: s.seeds, StopTime: 4 * time.Second,
		Store:  StoreSettings{Address: s.address, CallTimeout: 500 * time.Millisecond, Watch: 2 * time.Second},
		Orders: OrderSettings{Lease: time.Second, Fenced: true},
		Log:    LogSettings{Level: "error"},
	}
	var output io.Writer = io.Discard
	if s.log != nil {
		output, settings.Log.Level = s.log, "info"
	}
	d, err := New(settings, output)
	if err != nil {
		s.t.Fatal(err)
	}
	if s.seeds == "" {
		s.seeds = d.settings.PeerAddress
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &process{Daemon: d, client: &http.Client{Timeout: testLimit}, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		if err := d.Run(ctx); err != nil {
			s.t.Errorf("daemon %s: %v", id, err)
		}
	}()
	s.daemons = append(s.daemons, p)
	s.t.Cleanup(func() { stop(); <-p.done })
	return p
}

func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testLimit); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("waited in vain until " + what)
		}
	}
}

// reply is what a daemon answered.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error // the connection ended without a whole answer
}

func (p *process) call(method, path, id string, body []byte, headers ...string) reply {
	req, err := http.NewRequest(method, "http://"+p.settings.FrontAddress+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = testHost
	req.Header.Set("Request-Id", id)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: text, err: err}
}

// submission is the body of a batch with groups of two items each.
func submission(groups int, minVersion int64) (body []byte, ids []string) {
	var items []map[string]any
	for g := range groups {
		for i := range 2 {
			id := fmt.Sprintf("item-%d-%d", g, i)
			ids = append(ids, id)
			items = append(items, map[string]any{
				"Id": id, "Path": itemPath + id, "Headers": map[string]string{"Model": testModel},
				"Body": base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), "Tokens": 100, "Group": fmt.Sprint("g", g),
				"ScorerUrl": map[string]any{"Id": "score-" + id, "Hostname": testHost, "Path": scoringPath + id, "Body": "eA=="},
			})
		}
	}
	body, err := json.Marshal(map[string]any{
		"Step": 1, "Model": testModel, "MinVersion": minVersion, "GroupCount": groups, "Items": items,
	})
	if err != nil {
		panic(err)
	}
	return body, ids
}

type wireResults struct {
	Total, NextToken int
	Results          []struct {
		ID       string `json:"Id"`
		State    string
		Output   string
		Versions []int64
		Score    string
	}
}

// readAll reads a batch from its start through one daemon until it is whole.
func (s *site) readAll(p *process, id string) wireResults {
	s.t.Helper()
	var all wireResults
	s.eventually("batch "+id+" is whole", func() bool {
		got := p.call("GET", fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", id, len(all.Results)), "", nil, "Wait-Ms", "300")
		var page wireResults
		if got.err != nil || got.status != http.StatusOK || json.Unmarshal(got.body, &page) != nil {
			return false
		}
		if page.NextToken != len(all.Results)+len(page.Results) {
			s.t.Fatalf("next position %d after %d and %d more", page.NextToken, len(all.Results), len(page.Results))
		}
		all.Total = page.Total
		all.Results = append(all.Results, page.Results...)
		return len(all.Results) >= page.Total
	})
	return all
}

// checkWhole fails unless each item is listed once with its whole text and score.
func (s *site) checkWhole(results wireResults, ids []string) {
	s.t.Helper()
	seen := map[string]int{}
	for _, r := range results.Results {
		seen[r.ID]++
		var want []string
		for n := 1; n <= textEvents; n++ {
			want = append(want, fakereplica.Text(r.ID, n))
		}
		if r.State != "completed" || r.Output != strings.Join(want, "\n") || r.Score != "stamp-score-"+r.ID || len(r.Versions) == 0 {
			s.t.Errorf("result %+v", r)
		}
	}
	for _, id := range ids {
		if seen[id] != 1 {
			s.t.Errorf("item %s is listed %d times", id, seen[id])
		}
	}
}

// runner returns the daemon that runs a batch.
func (s *site) runner(id string) *process {
	var found *process
	s.eventually("a daemon runs "+id, func() bool {
		for _, d := range s.daemons {
			if d.Batches.Runs(id) {
				found = d
				return true
			}
		}
		return false
	})
	return found
}

// others returns the daemons but p.
func (s *site) others(p *process) []*process {
	var found []*process
	for _, d := range s.daemons {
		if d != p {
			found = append(found, d)
		}
	}
	return found
}

// everywhere calls f for all daemons at once.
func (s *site) everywhere(f func(p *process)) {
	var group sync.WaitGroup
	for _, d := range s.daemons {
		group.Go(func() { f(d) })
	}
	group.Wait()
}

// kill ends a daemon as a crash does: its connections break and it says nothing.
func (p *process) kill() { p.Abort() }
