package edge

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

func TestBatchIsAcceptedOnceAndReadableEverywhere(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	body, ids := batchBody(4, 1)
	for _, d := range s.daemons {
		if got := d.call("POST", itemPath+"x", "lot-1", body); got.status != http.StatusAccepted {
			t.Fatalf("submission: %+v", got)
		}
	}
	for _, d := range s.daemons {
		s.checkComplete(s.readAll(d, "lot-1"), ids)
		if got := d.call("GET", "/hornbeamtide/items/lot-1?Id="+ids[0], "", nil); string(got.body) != "prompt of "+ids[0] {
			t.Errorf("body %q", got.body)
		}
	}
	for _, replica := range s.modelReplicas {
		for _, id := range ids {
			if replica.Runs(id) > 1 {
				t.Errorf("%s ran %d times at %s", id, replica.Runs(id), replica.ID)
			}
		}
	}
	for _, d := range s.daemons {
		if got := d.call("DELETE", "/hornbeamtide/lots/lot-1", "", nil); got.status != http.StatusOK {
			t.Errorf("ending the batch: %+v", got)
		}
	}
	s.checkComplete(s.readAll(s.daemons[1], "lot-1"), ids)
}

func TestUnknownBatchIsNotFoundOnlyIfTheStoreConfirmsIt(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	d := s.daemons[0]
	if got := d.call("GET", "/hornbeamtide/lots/none", "", nil); got.status != http.StatusNotFound {
		t.Errorf("with the store: %+v", got)
	}
	s.store.SetFaults(fakeplatform.Faults{Outage: true})
	if got := d.call("GET", "/hornbeamtide/lots/none", "", nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("without the store: %+v", got)
	}
}

func TestBatchCompletesDespiteReplicaFaults(t *testing.T) {
	t.Parallel()
	table := []struct {
		name   string
		faults fakereplica.Faults // of the first two model replicas
	}{
		{"replica full", fakereplica.Faults{Full: true}},
		{"unsigned responses", fakereplica.Faults{Unsigned: true}},
		{"responses to another request", fakereplica.Faults{WrongRequestID: true}},
		{"streams broken within an event", fakereplica.Faults{BreakAfter: 2}},
		{"streams without end", fakereplica.Faults{EndlessPath: itemPath}},
		{"streams broken at their start", fakereplica.Faults{Status: http.StatusBadGateway}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 1)
			s.modelReplicas[0].SetFaults(row.faults)
			s.modelReplicas[1].SetFaults(row.faults)
			body, ids := batchBody(4, 1)
			if got := s.daemons[0].call("POST", itemPath+"x", "lot-1", body); got.status != http.StatusAccepted {
				t.Fatalf("submission: %+v", got)
			}
			s.checkComplete(s.readAll(s.daemons[0], "lot-1"), ids)
		})
	}
}

func TestBrokenCompletionResumesAfterItsLastEvent(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{BreakAfter: 4})
	}
	body, ids := batchBody(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.checkComplete(s.readAll(s.daemons[0], "lot-1"), ids)
	var starts []int64
	for _, replica := range s.modelReplicas {
		starts = append(starts, replica.RunStartEvents(ids[0])...)
	}
	slices.Sort(starts)
	if !slices.Equal(starts, []int64{0, 4}) {
		t.Errorf("runs started after events %v, want 0 and 4", starts)
	}
}

func TestUnprocessableItemsFail(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusUnprocessableEntity, http.StatusInternalServerError} {
		s := newTestSystem(t, 1)
		for _, replica := range s.modelReplicas {
			replica.SetFaults(fakereplica.Faults{Status: status})
		}
		body, ids := batchBody(1, 1)
		s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
		results := s.readAll(s.daemons[0], "lot-1")
		runs := 0
		for _, replica := range s.modelReplicas {
			runs += replica.Runs(ids[0])
		}
		if results.Results[0].State != "errored" || status == http.StatusUnprocessableEntity && runs != 1 || runs > 3 {
			t.Errorf("status %d: %+v after %d runs", status, results.Results[0], runs)
		}
	}
}

func TestBatchSurvivesTheLossOfItsRunner(t *testing.T) {
	t.Parallel()
	for _, ending := range []string{"stopped", "killed"} {
		t.Run(ending, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 3)
			for _, replica := range s.modelReplicas {
				replica.SetFaults(fakereplica.Faults{Delay: 150 * time.Millisecond})
			}
			body, ids := batchBody(6, 1)
			s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
			runner := s.runner("lot-1")
			if ending == "stopped" {
				runner.stop()
			} else {
				runner.kill()
			}
			s.checkComplete(s.readAll(s.otherDaemons(runner)[0], "lot-1"), ids)
		})
	}
}

func TestBatchIsNotAcceptedWithoutTheStore(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	s.store.SetFaults(fakeplatform.Faults{Outage: true})
	body, _ := batchBody(1, 1)
	got := s.daemons[0].call("POST", itemPath+"x", "lot-1", body, "Deadline-Ms", "700")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("refused write: %+v", got)
	}
	s.store.SetFaults(fakeplatform.Faults{Hang: true})
	got = s.daemons[0].call("POST", itemPath+"x", "lot-2", body, "Deadline-Ms", "700")
	if got.status == http.StatusServiceUnavailable || got.status == http.StatusAccepted {
		t.Errorf("status %d for a write without a response, which may still take effect", got.status)
	}
	s.store.SetFaults(fakeplatform.Faults{})
	time.Sleep(200 * time.Millisecond)
	for _, replica := range s.modelReplicas {
		if replica.Runs("item-0-0") > 0 && got.status == http.StatusServiceUnavailable {
			t.Error("a refused batch ran")
		}
	}
}

func TestLostStoreResponseIsResolved(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	s.store.SetFaults(fakeplatform.Faults{LoseResponses: 2})
	body, ids := batchBody(2, 1)
	if got := s.daemons[0].call("POST", itemPath+"x", "lot-1", body); got.status != http.StatusAccepted {
		t.Fatalf("submission: %+v", got)
	}
	s.checkComplete(s.readAll(s.daemons[0], "lot-1"), ids)
}

func TestMalformedBatchIsRefusedWithAReason(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	for _, body := range []string{"{", `{"Items":[]}`, `{"Items":[{"Id":"a","Path":"/x"},{"Id":"a","Path":"/x"}]}`, `{"Items":[{"Id":"a"}]}`} {
		got := s.daemons[0].call("POST", itemPath+"x", "lot-1", []byte(body))
		if got.status != http.StatusBadRequest || !strings.Contains(string(got.body), "batch") && !strings.Contains(string(got.body), "item") {
			t.Errorf("%s: %d %s", body, got.status, got.body)
		}
	}
	if len(s.store.Objects("batches/")) > 0 {
		t.Error("a malformed batch was stored")
	}
}

func TestAnnouncedVersionReachesAllReplicasFromOneLeaseHolder(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	s.modelReplicas[1].SetFaults(fakereplica.Faults{LoseOrderResponses: true})
	s.store.PutSpec("versions/"+testModel, []byte(`{"Model":"captions","Version":2}`))
	leaseHolders := map[string]bool{}
	s.eventually("all replicas run version 2", func() bool {
		for _, replica := range s.modelReplicas {
			if replica.Version() < 2 {
				return false
			}
		}
		return true
	})
	for _, replica := range s.modelReplicas {
		for _, h := range replica.OrderHolders() {
			leaseHolders[h] = true
		}
	}
	if len(leaseHolders) != 1 {
		t.Errorf("orders sent by %v, want one lease holder", leaseHolders)
	}
}

func TestResultListsTheVersionsOfItsEvents(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{Delay: 400 * time.Millisecond})
	}
	body, _ := batchBody(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.eventually("the item runs", func() bool {
		return s.modelReplicas[0].TotalRuns()+s.modelReplicas[1].TotalRuns()+s.modelReplicas[2].TotalRuns() > 0
	})
	time.Sleep(600 * time.Millisecond)
	s.store.PutSpec("versions/"+testModel, []byte(`{"Model":"captions","Version":2}`))
	results := s.readAll(s.daemons[0], "lot-1")
	if got := results.Results[0].Versions; !slices.Equal(got, []int64{1, 2}) {
		t.Errorf("versions %v, want 1 and 2", got)
	}
}

// Groups that are repeated in a later step are not generated again if the daemon still has
// their completions.
func TestCompletionsOfRepeatedGroupsAreReused(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	body, ids := batchBody(2, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.checkComplete(s.readAll(s.daemons[1], "lot-1"), ids)
	for _, d := range s.daemons {
		d.call("DELETE", "/hornbeamtide/lots/lot-1", "", nil)
	}
	repeated := []byte(strings.Replace(string(body), `"Step":1`, `"Step":2`, 1))
	if got := s.daemons[2].call("POST", itemPath+"x", "lot-2", repeated); got.status != http.StatusAccepted {
		t.Fatalf("submission: %+v", got)
	}
	s.checkComplete(s.readAll(s.daemons[1], "lot-2"), ids)
	runs := 0
	for _, replica := range s.modelReplicas {
		runs += replica.TotalRuns()
	}
	if runs != len(ids) {
		t.Errorf("%d completions generated for %d items", runs, len(ids))
	}
}

func TestCompletionsTooOldForTheLaterStepAreNotReused(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	body, ids := batchBody(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.checkComplete(s.readAll(s.daemons[0], "lot-1"), ids)
	s.daemons[0].call("DELETE", "/hornbeamtide/lots/lot-1", "", nil)
	s.store.PutSpec("versions/"+testModel, []byte(`{"Model":"captions","Version":2}`))
	repeated, _ := batchBody(1, 2)
	s.daemons[0].call("POST", itemPath+"x", "lot-2", []byte(strings.Replace(string(repeated), `"Step":1`, `"Step":2`, 1)))
	for _, r := range s.readAll(s.daemons[0], "lot-2").Results {
		if !slices.Equal(r.Versions, []int64{2}) {
			t.Errorf("versions %v, want only 2: the step requires version 2 or newer", r.Versions)
		}
	}
}

func TestStepsOfATrainerRunOnOneDaemon(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	runners := map[string]bool{}
	for i, d := range s.daemons {
		id := []string{"lot-1", "lot-2", "lot-3"}[i]
		body, _ := batchBody(1, 1)
		d.call("POST", itemPath+"x", id, body)
		runners[s.runner(id).settings.ID] = true
	}
	if len(runners) != 1 {
		t.Errorf("steps of one trainer run on %v", runners)
	}
}

func TestItemsThatWaitTooLongFail(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{Full: true})
	}
	s.configure(2, map[string]any{
		"Name": "brief", "Hostname": testHost, "PathPrefix": itemPath + "item-0-", "Kind": "rollout", "Backend": modelPool,
		"TimeoutMs": 4000, "MaxAttempts": 3, "RetentionS": 0.5,
	})
	s.eventually("the configuration is in force", func() bool { return s.daemons[0].configuration.Load().Version == 2 })
	body, _ := batchBody(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	for _, r := range s.readAll(s.daemons[0], "lot-1").Results {
		if r.State != "errored" {
			t.Errorf("result %+v", r)
		}
	}
}

// Guards against restarting ended batches: after a restart of all daemons, a daemon may learn
// of a batch before it learns of its end (conchilla-hub scale-2 264312042915).
func TestEndedBatchStaysEndedAfterRestartOfAllDaemons(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{Delay: 300 * time.Millisecond})
	}
	body, ids := batchBody(4, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	// All items must have reached a replica before the daemons are killed: a request in flight
	// would be counted as one of the new daemons.
	total := func() int {
		return s.modelReplicas[0].TotalRuns() + s.modelReplicas[1].TotalRuns() + s.modelReplicas[2].TotalRuns()
	}
	s.eventually("all items run", func() bool { return total() == len(ids) })
	if got := s.daemons[1].call("DELETE", "/hornbeamtide/lots/lot-1", "", nil); got.status != http.StatusOK {
		t.Fatalf("ending the batch: %+v", got)
	}
	for _, d := range s.daemons {
		d.kill()
		<-d.done
	}
	before := total()
	s.daemons, s.seeds = nil, ""
	for _, id := range []string{"d1", "d2"} {
		s.startDaemon(id)
	}
	for _, d := range s.daemons {
		s.eventually("all daemons are ready", d.ready)
	}
	time.Sleep(2500 * time.Millisecond) // a few supervision intervals
	if after := total(); after != before {
		t.Errorf("%d runs of an ended batch after the restart", after-before)
	}
}

// After all daemons crash while completions are in flight, restarted daemons continue from the
// partial completions in the store.
func TestPartialCompletionsSurviveTheLossOfAllDaemons(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{Delay: 600 * time.Millisecond})
	}
	body, ids := batchBody(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.eventually("partial completions are in the store", func() bool { return len(s.store.Objects("results-lot-1/")) > 0 })
	s.daemons[0].kill()
	<-s.daemons[0].done
	restarted := s.startDaemon("d1")
	s.checkComplete(s.readAll(restarted, "lot-1"), ids)
	for _, id := range ids {
		var starts []int64
		for _, replica := range s.modelReplicas {
			starts = append(starts, replica.RunStartEvents(id)...)
		}
		if slices.Max(starts) == 0 {
			t.Errorf("item %s was generated from its start", id)
		}
	}
}

// After the daemon that ran a trainer's steps crashes for good, all other daemons remove it from
// the member list, so that it owns no batches and delays no requests.
func TestLostDaemonIsRemovedFromTheMemberList(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 4)
	body, ids := batchBody(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	lost := s.runner("lot-1")
	s.checkComplete(s.readAll(s.daemons[0], "lot-1"), ids)
	lost.kill()
	<-lost.done
	others := s.otherDaemons(lost)
	if got := others[0].call("POST", itemPath+"x", "lot-2", body); got.status != http.StatusAccepted {
		t.Fatalf("status %d", got.status)
	}
	for _, d := range others {
		s.eventually("the lost daemon is removed from the member list", func() bool { return len(d.members()) == len(others) })
	}
}

// A replica that has become slow does not delay the step while others have free slots.
func TestCompletionsMoveAwayFromASlowReplica(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1)
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{Delay: 15 * time.Millisecond})
	}
	body, ids := batchBody(4, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body) // afterwards the usual time per event is known
	s.checkComplete(s.readAll(s.daemons[0], "lot-1"), ids)
	s.daemons[0].call("DELETE", "/hornbeamtide/lots/lot-1", "", nil)
	const slowDelay = 1500 * time.Millisecond
	s.modelReplicas[1].SetFaults(fakereplica.Faults{Delay: slowDelay}) // prompt affinity sends the first group to this replica
	begin := time.Now()
	nextBody := bytes.ReplaceAll(body, []byte("item-"), []byte("later-"))
	s.daemons[0].call("POST", itemPath+"x", "lot-2", nextBody)
	for i, id := range ids {
		ids[i] = strings.Replace(id, "item-", "later-", 1)
	}
	s.checkComplete(s.readAll(s.daemons[0], "lot-2"), ids)
	if elapsed := time.Since(begin); elapsed > completionEvents*slowDelay/2 {
		t.Errorf("batch complete after %v; a completion takes %v on the slow replica", elapsed, completionEvents*slowDelay)
	}
	if s.modelReplicas[1].TotalRuns() == 0 {
		t.Error("no item ran on the slow replica")
	}
}

// Guards against a step that hangs beside sound servers: a scoring server answers fast, but with no score, so that
// it is chosen again and again.
func TestScoresComeFromAnotherServerThanOneWithoutThem(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]fakereplica.Faults{
		"unsigned":  {Unsigned: true},
		"not found": {Status: http.StatusNotFound},
		"failed":    {Status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 1)
			s.plainReplicas[0].SetFaults(faults)
			for _, slow := range s.plainReplicas[1:] {
				slow.SetFaults(fakereplica.Faults{Delay: 200 * time.Millisecond})
			}
			body, ids := batchBody(8, 1)
			s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
			s.checkComplete(s.readAll(s.daemons[0], "lot-1"), ids)
		})
	}
}
