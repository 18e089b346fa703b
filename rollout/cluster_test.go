package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

const (
	testService = "drafts"
	testPool    = "draftpool"
	testTrainer = "captions"
	testTimeout = 20 * time.Second // timeout of each wait for a condition
)

// cluster is a set of Managers in one process that communicate over drpc on loopback.
type cluster struct {
	t        *testing.T
	doc      *document.Document
	gen      *fakeGenerator
	versions *fakeVersions
	store    *memoryStore
	recorder *countingRecorder

	mu      sync.Mutex
	daemons []*testDaemon
}

type testDaemon struct {
	c        *cluster
	member   fleet.Member
	manager  *Manager
	router   http.Handler
	stop     context.CancelFunc
	gate     *gate
	versions *fakeVersions // versions known to this daemon, nil for the cluster's
	removed  bool          // no longer a member
}

func newCluster(t *testing.T, count int, configure func(*Config)) *cluster {
	c := &cluster{
		t:        t,
		gen:      newFakeGenerator(),
		versions: &fakeVersions{},
		store:    newMemoryStore(),
		recorder: &countingRecorder{},
		doc: &document.Document{
			Service: testService, Team: "t", Region: "r", Kind: document.KindModel, Pool: testPool,
			Samples: document.Samples{StalenessBound: 1, Preference: document.PreferIdleTime, GroupSize: 4, MaxTokens: 8, Hedges: 1, HedgeBudget: 100, StepTime: time.Minute},
		},
	}
	c.versions.set(1)
	c.gen.version = func() int64 { return c.versions.Newest(testPool) }
	for i := range count {
		c.add(fmt.Sprintf("d%d", i), configure)
	}
	return c
}

func (c *cluster) add(id string, configure func(*Config)) *testDaemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	d := &testDaemon{c: c, gate: newGate()}
	d.member = fleet.Member{ID: id, PeerAddress: listener.Addr().String(), Region: "r", FailureDomain: "f-" + id}
	config := Config{MaxConcurrentGroups: 64, StepRetention: time.Minute, TokenStoreInterval: time.Hour}
	if configure != nil {
		configure(&config)
	}
	pool := peer.NewPool(peer.Config{ConnectTimeout: time.Second, ProgressTimeout: 2 * time.Second}, nil)
	d.manager = NewManager(config, Dependencies{
		View: d, Documents: c, Generator: c.gen, Versions: d, ObjectStore: c.store, Conns: pool, Recorder: c.recorder,
	})
	server := peer.NewServer(nil)
	if err := d.manager.Register(server.Mux()); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(ctx, gatedListener{listener, d.gate})
	}()
	go func() { _ = d.manager.Run(ctx) }()
	d.stop = func() {
		d.gate.open()
		cancel()
		pool.Close()
		<-served
	}
	router := chi.NewRouter()
	router.Route("/v1/trainers", d.manager.Routes)
	d.router = router
	c.mu.Lock()
	c.daemons = append(c.daemons, d)
	c.mu.Unlock()
	c.t.Cleanup(d.stop)
	return d
}

// kill stops a daemon without a drain. The other daemons list it as a member until remove.
func (d *testDaemon) kill() { d.stop() }

// remove removes a daemon from the membership list.
func (d *testDaemon) remove() {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	d.removed = true
}

func (c *cluster) daemon(id string) *testDaemon {
	for _, d := range c.daemons {
		if d.member.ID == id {
			return d
		}
	}
	c.t.Fatalf("no daemon %s", id)
	return nil
}

// owner returns the daemon that owns a step of the test trainer.
func (c *cluster) owner(step int64) *testDaemon {
	return c.daemon(c.daemons[0].Owners(fmt.Sprintf("%s/%d", testTrainer, step), 1)[0].ID)
}

func (c *cluster) otherThan(d *testDaemon) *testDaemon {
	for _, o := range c.daemons {
		if o != d && !o.removed {
			return o
		}
	}
	c.t.Fatal("no other daemon")
	return nil
}

// testDaemon implements fleet.View and cluster implements fleet.Documents.

func (d *testDaemon) Self() fleet.Member { return d.member }

func (d *testDaemon) Members() []fleet.Member {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	var members []fleet.Member
	for _, o := range d.c.daemons {
		if !o.removed {
			members = append(members, o.member)
		}
	}
	return members
}

func (d *testDaemon) Owners(key string, n int) []fleet.Member {
	members := d.Members()
	rank := func(m fleet.Member) uint64 { return xxhash.Sum64String(key + "|" + m.ID) }
	sort.Slice(members, func(i, j int) bool { return rank(members[i]) > rank(members[j]) })
	return members[:min(n, len(members))]
}

// Newest implements weights.Versions.
func (d *testDaemon) Newest(pool string) int64 {
	d.c.mu.Lock()
	versions := d.versions
	d.c.mu.Unlock()
	if versions != nil {
		return versions.Newest(pool)
	}
	return d.c.versions.Newest(pool)
}

func (d *testDaemon) Replicas(string) []fleet.Replica { return nil }
func (d *testDaemon) Subset(string) []fleet.Replica   { return nil }
func (d *testDaemon) Isolated() (time.Time, bool)     { return time.Time{}, false }
func (c *cluster) Changed() <-chan struct{}           { return nil }
func (c *cluster) All() []document.VersionedDocument {
	return []document.VersionedDocument{{Document: c.doc}}
}

func (c *cluster) Document(s string) (document.VersionedDocument, bool) {
	return document.VersionedDocument{Document: c.doc}, s == c.doc.Service
}

// The following methods make a trainer's calls.

func (d *testDaemon) call(path string, body, response any) (fault.Body, bool) {
	return d.callOn(httptest.NewRecorder(), path, body, response)
}

func (d *testDaemon) callOn(w *httptest.ResponseRecorder, path string, body, response any) (fault.Body, bool) {
	encoded, _ := json.Marshal(body)
	r := httptest.NewRequest(http.MethodPost, "/v1/trainers/"+testTrainer+path, bytes.NewReader(encoded))
	d.router.ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		var f fault.Body
		_ = json.Unmarshal(w.Body.Bytes(), &f)
		return f, false
	}
	if err := json.Unmarshal(w.Body.Bytes(), response); err != nil {
		d.c.t.Error(err)
	}
	return fault.Body{}, true
}

func (d *testDaemon) session(token string) Session {
	d.c.t.Helper()
	var s Session
	if f, ok := d.call("/sessions", OpenSessionRequest{Service: testService, Token: token}, &s); !ok {
		d.c.t.Fatalf("session: %+v", f)
	}
	return s
}

func openStep(epoch, step int64, groups, samples int) OpenStepRequest {
	request := OpenStepRequest{Service: testService, Epoch: epoch, Step: step}
	for g := range groups {
		request.Groups = append(request.Groups, Group{ID: fmt.Sprintf("g%d", g), Prompt: fmt.Sprintf("prompt %d", g), Samples: samples})
	}
	return request
}

func (d *testDaemon) step(open OpenStepRequest) Step {
	d.c.t.Helper()
	var s Step
	if f, ok := d.call("/steps", open, &s); !ok {
		d.c.t.Fatalf("step: %+v", f)
	}
	return s
}

func (d *testDaemon) pull(p PullRequest) (PullResponse, fault.Body, bool) {
	var response PullResponse
	f, ok := d.call("/pull", p, &response)
	return response, f, ok
}

// trainerClient pulls with one chain of tokens, each from the response to the previous
// pull, and records the samples it receives.
type trainerClient struct {
	c          *cluster
	token      string
	version    int64
	got        map[int]Sample
	duplicates []int
}

func newTrainer(c *cluster, token string) *trainerClient {
	return &trainerClient{c: c, token: token, got: map[int]Sample{}}
}

// accept records one response.
func (tr *trainerClient) accept(response PullResponse) {
	for _, s := range response.Samples {
		if _, ok := tr.got[s.ID]; ok {
			tr.duplicates = append(tr.duplicates, s.ID)
		}
		tr.got[s.ID] = s
	}
	tr.token = response.Token
}

// pullAll pulls through d until no samples remain.
func (tr *trainerClient) pullAll(d *testDaemon) {
	tr.c.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for time.Now().Before(deadline) {
		response, f, ok := d.pull(PullRequest{Token: tr.token, Version: tr.version, WaitMS: 2000})
		if !ok {
			tr.c.t.Fatalf("pull: %+v", f)
		}
		tr.accept(response)
		if response.Remaining == 0 {
			return
		}
	}
	tr.c.t.Fatalf("the step was not complete in time: %d samples", len(tr.got))
}

// check fails the test unless the trainer received each sample exactly once, with version
// tags for all tokens.
func (tr *trainerClient) check(samples int) {
	tr.c.t.Helper()
	if len(tr.duplicates) > 0 {
		tr.c.t.Errorf("samples delivered twice: %v", tr.duplicates)
	}
	if len(tr.got) != samples {
		tr.c.t.Errorf("delivered %d of %d samples", len(tr.got), samples)
	}
	for id, s := range tr.got {
		if checkVersionTags(s.Tokens, s.Segments) != nil {
			tr.c.t.Errorf("sample %d is not tagged: %+v", id, s.Segments)
		}
	}
}

// waitHeld waits until the daemons together hold at least want finished samples.
func (c *cluster) waitHeld(want int) {
	c.t.Helper()
	waitFor(c.t, "samples generated", func() bool {
		sum := 0
		for _, d := range c.daemons {
			sum += d.manager.runner.heldSamples()
		}
		return sum >= want
	})
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
