package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

func options(seed uint64) Options {
	return Options{Seed: seed, FaultDuration: 10 * time.Second, Daemons: 3, Replicas: 2, Out: &bytes.Buffer{}}
}

func TestSeedDeterminesPlan(t *testing.T) {
	if !slices.Equal(GeneratePlan(options(7)), GeneratePlan(options(7))) {
		t.Error("the same seed generated different plans")
	}
	if slices.Equal(GeneratePlan(options(7)), GeneratePlan(options(8))) {
		t.Error("two seeds generated the same plan")
	}
}

func TestPlansContainAllFaultKinds(t *testing.T) {
	seen := map[string]bool{}
	overlap := false
	for seed := range uint64(200) {
		plan := GeneratePlan(options(seed))
		for i, f := range plan {
			seen[f.Kind] = true
			overlap = overlap || i > 0 && f.StartOffset < plan[i-1].StartOffset+plan[i-1].Duration
			if f.StartOffset+f.Duration > 11*time.Second || f.Target < 0 {
				t.Errorf("seed %d: fault %+v", seed, f)
			}
		}
	}
	if len(seen) != len(FaultKinds()) || !overlap {
		t.Errorf("the plans contain %d of %d kinds of faults; faults overlap: %v", len(seen), len(FaultKinds()), overlap)
	}
}

// brokenDaemon is a fake daemon that breaks one promise in the way that handle implements.
type brokenDaemon struct {
	replica *fakereplica.Replica
	handle  func(b *brokenDaemon, w http.ResponseWriter, r *http.Request)
	calls   int
}

// ServeHTTP implements http.Handler.
func (b *brokenDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.calls++
	b.handle(b, w, r)
}

// forward sends a request with the given ID to the replica.
func (b *brokenDaemon) forward(id string, header ...string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+b.replica.Address()+"/x", nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Request-Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func writePage(w http.ResponseWriter, from int, results ...result) {
	_ = json.NewEncoder(w).Encode(map[string]any{"Total": groupCount * groupSize, "NextToken": from + len(results), "Results": results})
}

func correctResult(id string) result {
	var pieces []string
	for n := 1; n <= eventsPerCompletion; n++ {
		pieces = append(pieces, fakereplica.EventData(id, n))
	}
	return result{ID: id, State: "completed", Output: strings.Join(pieces, "\n"), Versions: []int64{1}, Score: "stamp-score-" + id}
}

func allResults(change func(results []result) []result) []result {
	var results []result
	_, ids := submission("steps-0", 0, 1)
	for _, id := range ids {
		results = append(results, correctResult(id))
	}
	return change(results)
}

// TestBrokenDaemonsAreDetected checks that the checker reports the promise that each broken
// daemon breaks.
func TestBrokenDaemonsAreDetected(t *testing.T) {
	resultsHandler := func(change func([]result) []result) func(b *brokenDaemon, w http.ResponseWriter, r *http.Request) {
		return func(_ *brokenDaemon, w http.ResponseWriter, r *http.Request) {
			switch r.Method {
			case http.MethodPost:
				w.WriteHeader(http.StatusAccepted)
			case http.MethodGet:
				var from int
				_, _ = fmt.Sscanf(r.URL.Query().Get("After"), "%d", &from)
				all := allResults(change)
				writePage(w, from, all[min(from, len(all)):]...)
			}
		}
	}
	table := []struct {
		name, want string
		handle     func(b *brokenDaemon, w http.ResponseWriter, r *http.Request)
		use        func(ctx context.Context, c *client)
	}{
		{"returns the response to another request", "response", func(_ *brokenDaemon, w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("answer to another"))
		}, func(ctx context.Context, c *client) { c.plainCall(ctx, "p", "/records/x") }},
		{"reports a request as not run that ran", "was reported as not run", func(b *brokenDaemon, w http.ResponseWriter, r *http.Request) {
			b.forward(r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(ctx context.Context, c *client) { c.plainCall(ctx, "p", "/records/x") }},
		{"repeats non-idempotent requests", "ran 2 times", func(b *brokenDaemon, w http.ResponseWriter, r *http.Request) {
			b.forward(r.Header.Get("Request-Id"))
			b.forward(r.Header.Get("Request-Id"))
			w.WriteHeader(http.StatusBadGateway)
		}, func(ctx context.Context, c *client) { c.nonIdempotentCall(ctx, "s") }},
		{"omits an event", "event 3 after 1", func(_ *brokenDaemon, w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "id: 1\ndata: %s\n\nid: 3\ndata: x\n\n", fakereplica.EventData("s", 1))
		}, func(ctx context.Context, c *client) { c.streamCall(ctx, "s") }},
		{"ends a stream too early", "ended without an error after event 1", func(_ *brokenDaemon, w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "id: 1\ndata: %s\n\n", fakereplica.EventData("s", 1))
		}, func(ctx context.Context, c *client) { c.streamCall(ctx, "s") }},
		{"returns to an older configuration", "configuration 1 after 2", func(b *brokenDaemon, w http.ResponseWriter, _ *http.Request) {
			if b.calls > 1 {
				w.WriteHeader(http.StatusNotFound)
			}
		}, func(ctx context.Context, c *client) { c.routeCall(ctx, "a", 2); c.routeCall(ctx, "b", 2) }},
		{"lists an item twice", "listed twice", resultsHandler(func(r []result) []result { r[5] = r[4]; return r }), useTrainer},
		{"truncates a completion", "output", resultsHandler(func(r []result) []result { r[5].Output = "cut"; return r }), useTrainer},
		{"returns the score of another item", "score", resultsHandler(func(r []result) []result { r[5].Score = r[4].Score; return r }), useTrainer},
		{"uses weights that are too old", "oldest allowed", resultsHandler(func(r []result) []result { r[5].Versions = []int64{0, 1}; return r }), useTrainer},
		{"loses a batch", "is unknown", func(_ *brokenDaemon, w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(map[string]int{http.MethodPost: http.StatusAccepted, http.MethodGet: http.StatusNotFound}[r.Method])
		}, useTrainer},
		{"moves results to other positions", "position 0 was", func(b *brokenDaemon, w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				w.WriteHeader(http.StatusAccepted)
				return
			}
			writePage(w, 0, correctResult(fmt.Sprint("steps-0-g0-", b.calls%2)))
		}, func(ctx context.Context, c *client) {
			for range 2 {
				got, _ := c.call(ctx, http.MethodGet, "/hornbeamtide/lots/b?After=0", "", "")
				var page struct{ Results []result }
				_ = json.Unmarshal([]byte(got.body), &page)
				c.checkPage("b", 0, page.Results)
			}
		}},
		{"begins items of an ended batch", "began to run after the grace period", func(b *brokenDaemon, w http.ResponseWriter, _ *http.Request) {
			time.AfterFunc(cancelGracePeriod+700*time.Millisecond, func() { b.forward("late") })
			w.WriteHeader(http.StatusOK)
		}, func(ctx context.Context, c *client) {
			c.expectItems("", []string{"late"})
			c.endBatch(ctx, "b")
			c.recordEnded([]string{"late"})
			sleepContext(context.Background(), cancelGracePeriod+100*time.Millisecond)
			c.checkRunCounts()
			sleepContext(context.Background(), 1200*time.Millisecond)
		}},
		{"runs requests for another organisation", `for organisation "south", want "north"`, func(b *brokenDaemon, _ http.ResponseWriter, r *http.Request) {
			b.forward(r.Header.Get("Request-Id"), headerOrganisation, "south")
		}, func(ctx context.Context, c *client) { useKey(ctx, c, false) }},
		{"adds an organisation to the caller's", "for organisation", func(b *brokenDaemon, _ http.ResponseWriter, r *http.Request) {
			b.forward(r.Header.Get("Request-Id"), headerOrganisation, r.Header.Get(headerOrganisation))
		}, func(ctx context.Context, c *client) { useKey(ctx, c, false) }},
		{"sends the key to a replica", "with an API key", func(b *brokenDaemon, _ http.ResponseWriter, r *http.Request) {
			b.forward(r.Header.Get("Request-Id"), headerOrganisation, "north", headerKey, r.Header.Get(headerKey))
		}, func(ctx context.Context, c *client) { useKey(ctx, c, false) }},
		{"runs requests without a key", "without an API key", func(b *brokenDaemon, _ http.ResponseWriter, r *http.Request) {
			b.forward(r.Header.Get("Request-Id"))
		}, func(ctx context.Context, c *client) {
			c.sent["none"] = sentRequest{needsKey: true}
			c.plainCall(ctx, "none", "/records/x")
		}},
		{"runs requests with a withdrawn key", "after its key was withdrawn", func(b *brokenDaemon, w http.ResponseWriter, r *http.Request) {
			b.forward(r.Header.Get("Request-Id"), headerOrganisation, "north")
			w.WriteHeader(http.StatusBadGateway)
		}, func(ctx context.Context, c *client) { useKey(ctx, c, true) }},
		{"accepts a withdrawn key", "status 202, sent", func(_ *brokenDaemon, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusAccepted)
		}, func(ctx context.Context, c *client) { useKey(ctx, c, true) }},
		{"does not know a valid key", "status 401, sent", func(_ *brokenDaemon, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusUnauthorized)
		}, func(ctx context.Context, c *client) { useKey(ctx, c, false) }},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			var replica *fakereplica.Replica
			ch := newChecker(func() []*fakereplica.Replica { return []*fakereplica.Replica{replica} })
			replica = fakereplica.Start(fakereplica.Config{ID: "r", OnRun: ch.checkRun})
			defer replica.Close()
			server := httptest.NewServer(&brokenDaemon{replica: replica, handle: row.handle})
			defer server.Close()
			c := newClient(ch, func() (string, string) { return strings.TrimPrefix(server.URL, "http://"), "d/1" })
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			row.use(ctx, c)
			ch.checkRunCounts()
			if got := ch.brokenPromise(); !strings.Contains(got, row.want) {
				t.Errorf("broken promise %q, want one that contains %q", got, row.want)
			}
		})
	}
}

// useKey sends a request with a key of the first organisation that was added, or withdrawn, long ago.
func useKey(ctx context.Context, c *client, withdrawn bool) {
	longAgo := time.Now().Add(-time.Minute)
	key := &apiKey{organisation: "north", text: "k", addedAt: longAgo}
	if withdrawn {
		key.isWithdrawing, key.withdrawnAt = true, longAgo
	}
	c.keys = []*apiKey{key}
	c.sent["k"] = sentRequest{key: key, organisation: key.organisation, at: time.Now(), needsKey: true}
	c.plainCall(ctx, "k", "/records/x")
}

// TestBrokenReportsAreDetected checks that the platform's API reports each broken rule of usage
// reports, refuses calls with an old token, and that the counts are compared with what ran.
func TestBrokenReportsAreDetected(t *testing.T) {
	first := []string{"a 2 7 1"}
	for _, row := range []struct {
		name, want string
		calls      []string // each: holder, token, window, count
		status     int      // of the last call
	}{
		{"exact repeat by another holder", "", append(first, "b 3 7 1"), 200},
		{"two reports for a window", "window 7: report", append(first, "a 2 7 2"), 200},
		{"another report for a window with an old token", "window 7: report", append(first, "b 1 7 2"), 409},
		{"two holders with one token", "token 2 is used by", append(first, "b 2 8 1"), 200},
		{"lower token", "", append(first, "b 1 8 1"), 409},
		{"malformed report", "malformed call", []string{"a x 7 1"}, 200},
		{"too few requests", "1 requests reported for windows without faults", append(first, "a 2 8 0"), 200},
		{"too many requests", "4 requests reported, 3 ran", append(first, "a 2 8 3"), 200},
	} {
		ch := newChecker(nil)
		c := newCloud(ch)
		var status int
		for _, call := range row.calls {
			f := strings.Fields(call)
			r := httptest.NewRequest(http.MethodPost, "/usage", strings.NewReader(fmt.Sprintf(`{"WindowId":%s,"Counts":{"north":%s}}`, f[2], f[3])))
			r.Header.Set("Lease-Holder", f[0])
			r.Header.Set("Fence-Token", f[1])
			w := httptest.NewRecorder()
			c.ServeHTTP(w, r)
			status = w.Code
		}
		if strings.HasPrefix(row.name, "too") {
			ch.runsByOrganisation["north"] = 3
			at := windowStart(8).Add(usageWindow / 2)
			ch.completed = []completedRequest{{"north", at, at}, {"north", at, at}}
			counts, missing := c.counted(7, 8)
			if missing != 0 {
				t.Errorf("%s: %d windows are missing", row.name, missing)
			}
			ch.checkCounts(counts, counts, windowStart(7), windowStart(9))
		}
		if got := ch.brokenPromise(); status != row.status || (got == "") != (row.want == "") || !strings.Contains(got, row.want) {
			t.Errorf("%s: status %d, broken promise %q, want %d, %q", row.name, status, got, row.status, row.want)
		}
	}
}

func useTrainer(ctx context.Context, c *client) { c.runTrainer(ctx, "steps", func(int64) {}) }

// buildDaemon builds the daemon's program and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "hornbeamtide")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/hornbeamtide/hornbeamtide/cmd/hornbeamtide").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// TestSeeds runs a fixed short run and every seed that has failed; seeds.txt states the fault
// that each one revealed.
func TestSeeds(t *testing.T) {
	program := buildDaemon(t)
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var o Options
		var length string
		if _, err := fmt.Sscanf(lines.Text(), "%d %s %d %d", &o.Seed, &length, &o.Daemons, &o.Replicas); err != nil {
			t.Fatalf("seeds.txt: %q: %v", lines.Text(), err)
		}
		if o.FaultDuration, err = time.ParseDuration(length); err != nil {
			t.Fatal(err)
		}
		o.DaemonProgram, o.Out = program, &bytes.Buffer{}
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) {
			t.Parallel()
			if err := Run(t.Context(), o); err != nil {
				t.Error(err)
			}
		})
	}
}
