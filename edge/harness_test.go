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
	testHost           = "desk.example"
	testModel          = "captions"
	completionEvents   = 6
	testTimeout        = 20 * time.Second
	modelPool          = "draftpool"
	plainPool          = "ledgerdesk"
	itemPath           = "/drafts/"
	plainPath          = "/records/"
	nonIdempotentPath  = "/bookings/"
	streamPath         = "/chat/" // resumable streams
	scoringPath        = "/scores/"
	anyLocalPort       = "127.0.0.1:0"
	unreachableAddress = "127.0.0.1:1" // reserved port on which nothing listens
)

// testSystem runs several daemons in this process with a fake store and fake replicas.
type testSystem struct {
	t             *testing.T
	store         *fakeplatform.Server
	storeAddress  string
	modelReplicas []*fakereplica.Replica
	plainReplicas []*fakereplica.Replica
	daemons       []*testDaemon
	seeds         string
	log           io.Writer // receives the log of all daemons at level info; nil discards it
	organisations []map[string]any
	adjust        func(settings *Settings) // of each daemon; may be nil
}

// testDaemon is a running daemon that can be stopped as planned or killed.
type testDaemon struct {
	*Daemon

	client *http.Client
	stop   context.CancelFunc
	done   chan struct{}
}

func newTestSystem(t *testing.T, daemons int, options ...func(*testSystem)) *testSystem {
	t.Helper()
	s := &testSystem{t: t, store: fakeplatform.New(fakeplatform.Config{})}
	for _, option := range options {
		option(s)
	}
	server := httptest.NewServer(s.store.Handler())
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	for i := range 3 {
		s.modelReplicas = append(s.modelReplicas, s.startReplica(fakereplica.Config{
			ID: fmt.Sprint("engine-", i), Service: modelPool, FailureDomain: "a", Model: testModel, Events: completionEvents,
		}))
		s.plainReplicas = append(s.plainReplicas, s.startReplica(fakereplica.Config{ID: fmt.Sprint("desk-", i), Service: plainPool, FailureDomain: "a"}))
	}
	s.configure(1)
	for i := range daemons {
		s.startDaemon(fmt.Sprint("d", i+1))
	}
	for _, d := range s.daemons {
		s.eventually("all daemons are ready and know each other", func() bool { return d.ready() && len(d.members()) == daemons })
	}
	return s
}

func (s *testSystem) startReplica(config fakereplica.Config) *fakereplica.Replica {
	r := fakereplica.Start(config)
	s.t.Cleanup(r.Close)
	s.store.PutSpec("servers/"+r.ID, r.Entry("ready"))
	return r
}

// configure writes a version of the configuration to the store, with extra routes.
func (s *testSystem) configure(version int, extra ...map[string]any) {
	route := func(name, prefix, kind, pool string) map[string]any {
		return map[string]any{
			"Name": name, "Hostname": testHost, "PathPrefix": prefix, "Kind": kind, "Backend": pool,
			"TimeoutMs": 4000, "TargetLatencyMs": 300, "MaxAttempts": 3, "DueMs": 5000,
		}
	}
	scores := route("scores", scoringPath, "idempotent", plainPool)
	scores["Public"] = true
	stream := route("chat", streamPath, "streaming", modelPool)
	stream["Resumable"] = true
	routes := []map[string]any{
		route("drafts", itemPath, "rollout", modelPool), route("records", plainPath, "idempotent", plainPool),
		route("bookings", nonIdempotentPath, "non_idempotent", plainPool), scores, stream,
	}
	text, err := json.Marshal(map[string]any{
		"Version": version, "Routes": append(routes, extra...),
		"Services": []map[string]any{
			{"Name": modelPool, "Engine": map[string]any{"Slots": 8, "Models": []map[string]any{{"Name": testModel}}}},
			{"Name": plainPool},
		},
		"Limits": map[string]any{"MaxBodyBytes": 100_000}, "Tenants": s.organisations,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.PutSpec("config/main", text)
}

func (s *testSystem) startDaemon(id string) *testDaemon {
	s.t.Helper()
	settings := Settings{
		ID: id, FrontAddress: anyLocalPort, ReadyAddress: anyLocalPort, PeerAddress: anyLocalPort, MetricAddress: anyLocalPort,
		Region: "r", FailureDomain: "a", Seeds: s.seeds, StopTime: 4 * time.Second,
		Store:  StoreSettings{Address: s.storeAddress, CallTimeout: 500 * time.Millisecond, WatchWait: 2 * time.Second},
		Orders: OrderSettings{LeaseDuration: time.Second, ReplicasCheckTokens: true},
		Log:    LogSettings{Level: "error"},
	}
	if s.adjust != nil {
		s.adjust(&settings)
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
	td := &testDaemon{Daemon: d, client: &http.Client{Timeout: testTimeout}, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(td.done)
		if err := d.Run(ctx); err != nil {
			s.t.Errorf("daemon %s: %v", id, err)
		}
	}()
	s.daemons = append(s.daemons, td)
	s.t.Cleanup(func() { stop(); <-td.done })
	return td
}

func (s *testSystem) eventually(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("timed out waiting until " + what)
		}
	}
}

// response is the response of a daemon.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error // the connection ended without a complete response
}

func (d *testDaemon) call(method, path, id string, body []byte, headers ...string) response {
	req, err := http.NewRequest(method, "http://"+d.settings.FrontAddress+path, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Host = testHost
	req.Header.Set("Request-Id", id)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: text, err: err}
}

// batchBody returns the request body of a batch with groups of two items each, and the IDs
// of its items.
func batchBody(groups int, minVersion int64) (body []byte, ids []string) {
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

type batchResults struct {
	Total, NextToken int
	Results          []struct {
		ID       string `json:"Id"`
		State    string
		Output   string
		Versions []int64
		Score    string
	}
}

// readAll reads the results of a batch from its start through one daemon until it is complete.
func (s *testSystem) readAll(d *testDaemon, id string) batchResults {
	s.t.Helper()
	var all batchResults
	s.eventually("batch "+id+" is complete", func() bool {
		got := d.call("GET", fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", id, len(all.Results)), "", nil, "Wait-Ms", "300")
		var page batchResults
		if got.err != nil || got.status != http.StatusOK || json.Unmarshal(got.body, &page) != nil {
			return false
		}
		if page.NextToken != len(all.Results)+len(page.Results) {
			s.t.Fatalf("next token %d after %d results and a page of %d", page.NextToken, len(all.Results), len(page.Results))
		}
		all.Total = page.Total
		all.Results = append(all.Results, page.Results...)
		return len(all.Results) >= page.Total
	})
	return all
}

// checkComplete fails the test unless each item is listed once with its complete output and
// its score.
func (s *testSystem) checkComplete(results batchResults, ids []string) {
	s.t.Helper()
	seen := map[string]int{}
	for _, r := range results.Results {
		seen[r.ID]++
		var want []string
		for n := 1; n <= completionEvents; n++ {
			want = append(want, fakereplica.EventData(r.ID, n))
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
func (s *testSystem) runner(id string) *testDaemon {
	var found *testDaemon
	s.eventually("a daemon runs "+id, func() bool {
		for _, d := range s.daemons {
			if d.Batches.IsRunning(id) {
				found = d
				return true
			}
		}
		return false
	})
	return found
}

// otherDaemons returns all daemons except excluded.
func (s *testSystem) otherDaemons(excluded *testDaemon) []*testDaemon {
	var found []*testDaemon
	for _, d := range s.daemons {
		if d != excluded {
			found = append(found, d)
		}
	}
	return found
}

// onAllDaemons calls f for all daemons concurrently.
func (s *testSystem) onAllDaemons(f func(d *testDaemon)) {
	var group sync.WaitGroup
	for _, d := range s.daemons {
		group.Go(func() { f(d) })
	}
	group.Wait()
}

// kill ends a daemon like a crash: its connections break and it notifies nobody.
func (d *testDaemon) kill() { d.Abort() }
