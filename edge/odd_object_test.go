package edge

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// Guards against odd objects of other writers that cost more than themselves: an object without a name
// ended each daemon, replicas with absurd slots drew all requests, members with the ID or with absurd
// processor time took the place of others, and a batch with absurd parts held up all others.
func TestOddObjectsCostOnlyThemselves(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	entry := func(change map[string]any) json.RawMessage {
		fields := map[string]any{"Backend": plainPool, "Address": unreachableAddress, "Zone": "a", "Slots": 8, "State": "ready", "born": 1}
		for key, value := range change {
			fields[key] = value
		}
		text, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for _, kind := range []string{platform.ReplicaKind, platform.MemberKind, platform.VersionKind, platform.ConfigurationKind, "batches", "ends", "quarantine"} {
		s.store.PutSpec(kind+"/_", json.RawMessage(`{"a":1}`))
		s.store.PutSpec(kind+"/odd", json.RawMessage(`"`+strings.Repeat("x", 1000)+`"`))
		s.store.PutSpec(kind+"/list", json.RawMessage(`[1,{}]`))
	}
	for name, change := range map[string]map[string]any{
		"many-slots": {"Slots": 1 << 40}, "negative-slots": {"Slots": -8}, "no-port": {"Address": "127.0.0.1"},
		"odd-port": {"Address": "127.0.0.1:99999"}, "port-0": {"Address": "127.0.0.1:0"}, "named-port": {"Address": "127.0.0.1:http"},
	} {
		s.store.PutSpec(platform.ReplicaKind+"/"+name, entry(change))
	}
	s.store.PutSpec(platform.MemberKind+"/impostor", json.RawMessage(`{"id":"d1","address":"127.0.0.1:1","peer_address":"127.0.0.1:1","failure_domain":"a"}`))
	s.store.PutSpec(platform.MemberKind+"/giant", json.RawMessage(`{"id":"giant","address":"127.0.0.1:1","peer_address":"127.0.0.1:1","cores":1e300}`))
	s.store.PutSpec(platform.VersionKind+"/other", json.RawMessage(`{"Model":"`+testModel+`","Version":4611686018427387904}`))
	s.store.PutSpec("batches/many-parts", json.RawMessage(`"{\"id\":\"many-parts\",\"owner\":\"d1\",\"parts\":1000000000000,\"total\":5,\"accepted\":\"2020-01-01T00:00:00Z\"}"`))
	s.store.PutSpec("batches/other-id", json.RawMessage(`"{\"id\":\"lot-1\",\"owner\":\"d1\",\"items\":[{\"id\":\"x\",\"path\":\"/x\"}]}"`))
	s.store.PutSpec("ends/many-parts", json.RawMessage(`"ended"`))
	last := s.startReplica(fakereplica.Config{ID: "desk-last", Service: plainPool, FailureDomain: "a"}) // written after the odd ones
	s.eventually("what comes after the odd objects is known", func() bool {
		for _, d := range s.daemons {
			if len(d.Tracker.Replicas(plainPool)) != len(s.plainReplicas)+1 {
				return false
			}
		}
		return true
	})
	s.onAllDaemons(func(d *testDaemon) {
		for range 20 {
			if got := d.call("POST", plainPath+"x", "r", nil); got.status != http.StatusOK {
				t.Errorf("request: %+v", got)
			}
		}
		if got := d.members(); got["d1"] != s.daemons[0].settings.PeerAddress {
			t.Errorf("members %v", got)
		}
		if got := d.memberCores(); got["giant"] != 0 {
			t.Errorf("processor time %v", got)
		}
	})
	for _, replica := range s.plainReplicas {
		s.store.Remove(platform.ReplicaKind + "/" + replica.ID)
	}
	d := s.daemons[1]
	s.eventually("only the replica that was written last is known", func() bool { return len(d.Tracker.Replicas(plainPool)) == 1 })
	if got := d.call("POST", plainPath+"x", "r", nil); got.status != http.StatusOK || last.TotalRuns() == 0 {
		t.Errorf("with the replica that was written last: %+v", got)
	}
	body, ids := batchBody(4, 1)
	if got := s.daemons[0].call("POST", itemPath+"x", "lot-1", body); got.status != http.StatusAccepted {
		t.Fatalf("submission: %+v", got)
	}
	s.checkComplete(s.readAll(s.daemons[1], "lot-1"), ids)
}
