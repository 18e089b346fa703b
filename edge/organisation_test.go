package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
	"github.com/hornbeamtide/hornbeamtide/standin/silentproxy"
)

const (
	keyNorth, keyNorth2, keySouth = "n0rthKey7481", "n0rthKey9920", "s0uthKey3315"
	// testWithdrawalTime is short, so that a test can wait for it. It leaves time for the loss of a
	// collector: the interval of proofs, the wait of an update, and the timeout of another one.
	testWithdrawalTime = 4 * time.Second
)

// withOrganisations adds two organisations to the configuration.
func withOrganisations(s *testSystem) {
	s.organisations = []map[string]any{
		{"Name": "north", "ApiKeys": []string{keyNorth, keyNorth2}}, {"Name": "south", "ApiKeys": []string{keySouth}, "Priority": 1},
	}
	s.adjust = func(settings *Settings) { settings.Organisations.WithdrawalTime = testWithdrawalTime }
}

// awaitProofs waits until all daemons can admit requests with a key.
func (s *testSystem) awaitProofs() {
	for _, d := range s.daemons {
		s.eventually("daemon "+d.settings.ID+" has a proof", func() bool { return d.Mirror.ProofAge() < testWithdrawalTime/2 })
	}
}

// received returns the headers with which a request reached a plain replica.
func (s *testSystem) received(id string) http.Header {
	for _, r := range s.plainReplicas {
		if h := r.Headers(id); h != nil {
			return h
		}
	}
	return nil
}

func TestRequestsRunForTheOrganisationOfTheirKey(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2, withOrganisations)
	s.awaitProofs()
	for i, row := range []struct {
		name    string
		path    string
		headers []string
		status  int
		want    []string // value of the header Tenant at the replica
	}{
		{"key", plainPath, []string{"X-Api-Key", keyNorth}, 200, []string{"north"}},
		{"second key", plainPath, []string{"X-Api-Key", keyNorth2}, 200, []string{"north"}},
		{"another organisation", nonIdempotentPath, []string{"X-Api-Key", keySouth}, 200, []string{"south"}},
		{"organisation set by the caller", plainPath, []string{"X-Api-Key", keyNorth, "Tenant", "south"}, 200, []string{"north"}},
		{"header hidden as valid for one connection", plainPath, []string{"X-Api-Key", keyNorth, "Connection", "Tenant, X-Api-Key"}, 200, []string{"north"}},
		{"no key", plainPath, nil, 401, nil},
		{"unknown key", plainPath, []string{"X-Api-Key", "other"}, 401, nil},
		{"public route", scoringPath, []string{"X-Api-Key", keyNorth, "Tenant", "south"}, 200, nil},
		{"public route without a key", scoringPath, nil, 200, nil},
	} {
		id := fmt.Sprint("request-", i)
		got := s.daemons[i%2].call("POST", row.path+"x", id, []byte("b"), row.headers...)
		h := s.received(id)
		if got.status != row.status || (h != nil) != (row.status == 200) {
			t.Errorf("%s: status %d, ran %t: %s", row.name, got.status, h != nil, got.body)
		}
		if fmt.Sprint(h["Tenant"]) != fmt.Sprint(row.want) || h["X-Api-Key"] != nil {
			t.Errorf("%s: organisation %q, key %q", row.name, h["Tenant"], h["X-Api-Key"])
		}
	}
}

func TestBatchesRunForTheirOrganisation(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3, withOrganisations)
	s.awaitProofs()
	body, ids := batchBody(3, 0)
	if got := s.daemons[0].call("POST", itemPath+"b1", "b1", body); got.status != 401 {
		t.Errorf("submission without a key: %d", got.status)
	}
	if got := s.daemons[0].call("POST", itemPath+"b1", "b1", body, "X-Api-Key", keyNorth); got.status != 202 {
		t.Fatalf("submission: %d %s", got.status, got.body)
	}
	for i, row := range []struct {
		name, method, path, key string
		status                  int
	}{
		{"again with another key", "POST", itemPath + "b1", keyNorth2, 202},
		{"same id from another organisation", "POST", itemPath + "b1", keySouth, 403},
		{"results", "GET", "/hornbeamtide/lots/b1?After=0", keyNorth2, 200},
		{"results for another organisation", "GET", "/hornbeamtide/lots/b1?After=0", keySouth, 403},
		{"results without a key", "GET", "/hornbeamtide/lots/b1?After=0", "", 401},
		{"body for another organisation", "GET", "/hornbeamtide/items/b1?Id=" + ids[0], keySouth, 403},
		{"end by another organisation", "DELETE", "/hornbeamtide/lots/b1", keySouth, 403},
	} {
		var headers []string
		if row.key != "" {
			headers = []string{"X-Api-Key", row.key}
		}
		var sent []byte
		if row.method == "POST" {
			sent = body
		}
		if got := s.daemons[i%3].call(row.method, row.path, "b1", sent, headers...); got.status != row.status {
			t.Errorf("%s: status %d, want %d: %s", row.name, got.status, row.status, got.body)
		}
	}
	s.organisations[0]["ApiKeys"] = []string{keyNorth2}
	s.configure(2) // a withdrawn key ends no batch
	s.eventually("all items are listed", func() bool {
		got := s.daemons[1].call("GET", "/hornbeamtide/lots/b1?After=0", "", nil, "X-Api-Key", keyNorth2, "Wait-Ms", "300")
		var page batchResults
		return json.Unmarshal(got.body, &page) == nil && len(page.Results) == len(ids)
	})
	for _, id := range ids {
		for _, r := range s.modelReplicas {
			if h := r.Headers(id); h != nil && h.Get("Tenant") != "north" {
				t.Errorf("item %s ran for %q", id, h["Tenant"])
			}
		}
		if h := s.received("score-" + id); h["Tenant"] != nil {
			t.Errorf("scoring call of %s ran for %q", id, h["Tenant"])
		}
	}
}

// Guards against the use of a withdrawn key on a daemon that can't learn of the withdrawal: it reaches
// neither the store nor any peer. Requests that need no key go on.
func TestWithdrawnKeyEndsOnDaemonThatIsCutOff(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1, withOrganisations)
	proxy, err := silentproxy.New(s.storeAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	s.storeAddress = proxy.Address()
	cutOff := s.startDaemon("d2")
	s.eventually("both are ready", func() bool { return cutOff.ready() && len(cutOff.members()) == 2 && len(s.daemons[0].members()) == 2 })
	s.awaitProofs()
	s.daemons[0].kill()
	proxy.Close()
	s.organisations[0]["ApiKeys"] = []string{keyNorth2}
	s.configure(2)
	withdrawn := time.Now()
	statuses := map[int]int{}
	for i := 0; time.Since(withdrawn) < 2*testWithdrawalTime; i++ {
		id, sent := fmt.Sprint("k-", i), time.Now()
		got := cutOff.call("POST", plainPath+"x", id, nil, "X-Api-Key", keyNorth)
		statuses[got.status]++
		if sent.Sub(withdrawn) > testWithdrawalTime && (got.status != 503 || s.received(id) != nil) {
			t.Fatalf("status %d, %v after the withdrawal", got.status, sent.Sub(withdrawn))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := cutOff.call("POST", scoringPath+"x", "public", nil); got.status != 200 {
		t.Errorf("request without a key: status %d %s", got.status, got.body)
	}
	if statuses[200] == 0 || statuses[503] == 0 || statuses[401] > 0 {
		t.Errorf("statuses %v, want some 200 and 503 and no 401, since the key may be valid", statuses)
	}
}

// Guards against an outage of keyed requests where the store turns away one daemon only: proofs and the
// withdrawal reach it through another one.
func TestDaemonTurnedAwayByStoreLearnsOfWithdrawals(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2, withOrganisations)
	proxy, err := silentproxy.New(s.storeAddress)
	if err != nil {
		t.Fatal(err)
	}
	s.storeAddress = proxy.Address()
	turnedAway := s.startDaemon("d3")
	s.eventually("all are ready", func() bool { return turnedAway.ready() && len(turnedAway.members()) == 3 })
	s.awaitProofs()
	proxy.Close()
	for end := time.Now().Add(2 * testWithdrawalTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got := turnedAway.call("POST", plainPath+"x", "r", nil, "X-Api-Key", keyNorth); got.status != 200 {
			t.Fatalf("status %d %s", got.status, got.body)
		}
	}
	s.organisations[0]["ApiKeys"] = []string{keyNorth2}
	s.configure(2)
	s.eventually("the key is unknown", func() bool {
		return turnedAway.call("POST", plainPath+"x", "r", nil, "X-Api-Key", keyNorth).status == 401
	})
}

// Guards against the use of a withdrawn key after a restart: a daemon that starts while the store is
// down gets an old configuration from a peer, which may hold the key still.
func TestRestartedDaemonNeedsProof(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1, withOrganisations)
	s.awaitProofs()
	working := s.storeAddress
	s.storeAddress = unreachableAddress
	restarted := s.startDaemon("d2")
	s.eventually("it has a configuration", func() bool { return restarted.configuration.Load() != nil })
	s.storeAddress = working
	s.daemons[0].kill() // no proof comes any more
	time.Sleep(testWithdrawalTime)
	if got := restarted.call("POST", plainPath+"x", "r", nil, "X-Api-Key", keyNorth); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d with a configuration of unknown age", got.status)
	}
}

// No copy of a key leaves the front: not in the log, the metrics, the copies that peers exchange, what
// is written to the store, errors, or requests to replicas.
func TestKeysAreShownNowhere(t *testing.T) {
	t.Parallel()
	buffer := &lockedBuffer{}
	s := newTestSystem(t, 2, withOrganisations, func(s *testSystem) { s.log = buffer })
	s.awaitProofs()
	for _, r := range s.plainReplicas {
		r.SetFaults(fakereplica.Faults{Unsigned: true}) // errors are logged and returned
	}
	body, ids := batchBody(1, 0)
	var answers []string
	for i, d := range s.daemons {
		answers = append(answers, string(d.call("POST", plainPath+"x", fmt.Sprint("r", i), nil, "X-Api-Key", keyNorth).body))
		answers = append(answers, string(d.call("POST", plainPath+"x", fmt.Sprint("q", i), nil, "X-Api-Key", keyNorth+"x").body))
	}
	s.daemons[0].call("POST", itemPath+"b1", "b1", body, "X-Api-Key", keyNorth)
	s.eventually("an item runs", func() bool {
		return s.modelReplicas[0].TotalRuns()+s.modelReplicas[1].TotalRuns()+s.modelReplicas[2].TotalRuns() > 0
	})
	texts := map[string]string{"answers": strings.Join(answers, " ")}
	for _, o := range s.store.Objects("") {
		if o.Key != platform.ConfigurationKey {
			texts["store "+o.Key] = string(o.Value)
		}
	}
	for _, d := range s.daemons {
		for _, o := range d.Mirror.Objects(platform.ConfigurationKind) {
			texts["copy "+d.settings.ID] += string(o.Value)
		}
		for _, m := range d.metrics() {
			value, err := json.Marshal(m.value())
			if err != nil {
				t.Fatal(err)
			}
			texts["metric "+m.name+" "+d.settings.ID] = string(value)
		}
	}
	for _, r := range append(s.plainReplicas, s.modelReplicas...) {
		for _, id := range append(ids, "r0", "r1") {
			texts["replica "+r.ID+" "+id] = fmt.Sprint(r.Headers(id))
		}
	}
	buffer.mu.Lock()
	texts["log"] = buffer.text.String()
	buffer.mu.Unlock()
	for where, text := range texts {
		for _, key := range []string{keyNorth, keyNorth2, keySouth} {
			if strings.Contains(text, key) {
				t.Errorf("%s contains a key", where)
			}
		}
	}
	if len(texts["log"]) == 0 {
		t.Error("nothing was logged")
	}
}
