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

func TestBatchIsAcceptedOnceAndReadEverywhere(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	body, ids := submission(4, 1)
	for _, d := range s.daemons {
		if got := d.call("POST", itemPath+"x", "lot-1", body); got.status != http.StatusAccepted {
			t.Fatalf("submission: %+v", got)
		}
	}
	for _, d := range s.daemons {
		s.checkWhole(s.readAll(d, "lot-1"), ids)
		if got := d.call("GET", "/hornbeamtide/items/lot-1?Id="+ids[0], "", nil); string(got.body) != "prompt of "+ids[0] {
			t.Errorf("body %q", got.body)
		}
	}
	for _, e := range s.engines {
		for _, id := range ids {
			if e.Runs(id) > 1 {
				t.Errorf("%s ran %d times at %s", id, e.Runs(id), e.ID)
			}
		}
	}
	for _, d := range s.daemons {
		if got := d.call("DELETE", "/hornbeamtide/lots/lot-1", "", nil); got.status != http.StatusOK {
			t.Errorf("end: %+v", got)
		}
	}
	s.checkWhole(s.readAll(s.daemons[1], "lot-1"), ids)
}

func TestUnknownBatchIsMissedOnlyWhenTheStoreSaysSo(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	d := s.daemons[0]
	if got := d.call("GET", "/hornbeamtide/lots/none", "", nil); got.status != http.StatusNotFound {
		t.Errorf("with the store: %+v", got)
	}
	s.store.SetFaults(fakeplatform.Faults{Outage: true})
	if got := d.call("GET", "/hornbeamtide/lots/none", "", nil); got.status != http.StatusServiceUnavailable {
		t.Errorf("without the store: %+v", got)
	}
}

func TestItemFaultTable(t *testing.T) {
	t.Parallel()
	table := []struct {
		name   string
		faults fakereplica.Faults // of the first two engines
	}{
		{"full", fakereplica.Faults{Full: true}},
		{"unsigned", fakereplica.Faults{Unsigned: true}},
		{"answers of another request", fakereplica.Faults{OtherID: true}},
		{"streams that break off within an event", fakereplica.Faults{BreakAfter: 2}},
		{"streams that break off at their start", fakereplica.Faults{Status: http.StatusBadGateway}},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			s.engines[0].SetFaults(row.faults)
			s.engines[1].SetFaults(row.faults)
			body, ids := submission(4, 1)
			if got := s.daemons[0].call("POST", itemPath+"x", "lot-1", body); got.status != http.StatusAccepted {
				t.Fatalf("submission: %+v", got)
			}
			s.checkWhole(s.readAll(s.daemons[0], "lot-1"), ids)
		})
	}
}

func TestBrokenTextGoesOnBehindItsLastEvent(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, e := range s.engines {
		e.SetFaults(fakereplica.Faults{BreakAfter: 4})
	}
	body, ids := submission(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.checkWhole(s.readAll(s.daemons[0], "lot-1"), ids)
	var starts []int64
	for _, e := range s.engines {
		starts = append(starts, e.Starts(ids[0])...)
	}
	slices.Sort(starts)
	if !slices.Equal(starts, []int64{0, 4}) {
		t.Errorf("runs began after events %v, want 0 and 4", starts)
	}
}

func TestItemsThatCannotBeDoneAreGivenUp(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusUnprocessableEntity, http.StatusInternalServerError} {
		s := newSite(t, 1)
		for _, e := range s.engines {
			e.SetFaults(fakereplica.Faults{Status: status})
		}
		body, ids := submission(1, 1)
		s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
		results := s.readAll(s.daemons[0], "lot-1")
		runs := 0
		for _, e := range s.engines {
			runs += e.Runs(ids[0])
		}
		if results.Results[0].State != "errored" || status == http.StatusUnprocessableEntity && runs != 1 || runs > 3 {
			t.Errorf("status %d: %+v after %d runs", status, results.Results[0], runs)
		}
	}
}

func TestBatchOutlivesItsRunner(t *testing.T) {
	t.Parallel()
	for _, way := range []string{"stopped", "killed"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3)
			for _, e := range s.engines {
				e.SetFaults(fakereplica.Faults{Pause: 150 * time.Millisecond})
			}
			body, ids := submission(6, 1)
			s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
			runner := s.runner("lot-1")
			if way == "stopped" {
				runner.stop()
			} else {
				runner.kill()
			}
			s.checkWhole(s.readAll(s.others(runner)[0], "lot-1"), ids)
		})
	}
}

func TestSubmissionWithoutTheStoreIsNotAcceptedFalsely(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	s.store.SetFaults(fakeplatform.Faults{Outage: true})
	body, _ := submission(1, 1)
	got := s.daemons[0].call("POST", itemPath+"x", "lot-1", body, "Deadline-Ms", "700")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("refused write: %+v", got)
	}
	s.store.SetFaults(fakeplatform.Faults{Hang: true})
	got = s.daemons[0].call("POST", itemPath+"x", "lot-2", body, "Deadline-Ms", "700")
	if got.status == http.StatusServiceUnavailable || got.status == http.StatusAccepted {
		t.Errorf("a write without an answer may take effect later, yet the answer is %d", got.status)
	}
	s.store.SetFaults(fakeplatform.Faults{})
	time.Sleep(200 * time.Millisecond)
	for _, e := range s.engines {
		if e.Runs("item-0-0") > 0 && got.status == http.StatusServiceUnavailable {
			t.Error("a refused batch ran")
		}
	}
}

func TestLostAnswerOfTheStoreIsSettled(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.store.SetFaults(fakeplatform.Faults{LoseAnswers: 2})
	body, ids := submission(2, 1)
	if got := s.daemons[0].call("POST", itemPath+"x", "lot-1", body); got.status != http.StatusAccepted {
		t.Fatalf("submission: %+v", got)
	}
	s.checkWhole(s.readAll(s.daemons[0], "lot-1"), ids)
}

func TestMalformedBatchIsRefusedWithAReason(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
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

func TestNamedVersionReachesAllReplicasUnderOneHolder(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.engines[1].SetFaults(fakereplica.Faults{LoseOrders: true})
	s.store.PutSpec("versions/"+testModel, []byte(`{"Model":"captions","Version":2}`))
	holders := map[string]bool{}
	s.eventually("all replicas run version 2", func() bool {
		for _, e := range s.engines {
			if e.Version() < 2 {
				return false
			}
		}
		return true
	})
	for _, e := range s.engines {
		for _, h := range e.Holders() {
			holders[h] = true
		}
	}
	if len(holders) != 1 {
		t.Errorf("orders of %v", holders)
	}
}

func TestTextNamesTheVersionsOfItsEvents(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, e := range s.engines {
		e.SetFaults(fakereplica.Faults{Pause: 400 * time.Millisecond})
	}
	body, _ := submission(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.eventually("the item runs", func() bool {
		return s.engines[0].Total()+s.engines[1].Total()+s.engines[2].Total() > 0
	})
	time.Sleep(600 * time.Millisecond)
	s.store.PutSpec("versions/"+testModel, []byte(`{"Model":"captions","Version":2}`))
	results := s.readAll(s.daemons[0], "lot-1")
	if got := results.Results[0].Versions; !slices.Equal(got, []int64{1, 2}) {
		t.Errorf("versions %v, want 1 and 2", got)
	}
}

// Groups that come back in a later step are not generated again where their texts are held.
func TestTextsOfGroupsThatComeBackAreUsed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	body, ids := submission(2, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.checkWhole(s.readAll(s.daemons[1], "lot-1"), ids)
	for _, d := range s.daemons {
		d.call("DELETE", "/hornbeamtide/lots/lot-1", "", nil)
	}
	again := []byte(strings.Replace(string(body), `"Step":1`, `"Step":2`, 1))
	if got := s.daemons[2].call("POST", itemPath+"x", "lot-2", again); got.status != http.StatusAccepted {
		t.Fatalf("submission: %+v", got)
	}
	s.checkWhole(s.readAll(s.daemons[1], "lot-2"), ids)
	runs := 0
	for _, e := range s.engines {
		runs += e.Total()
	}
	if runs != len(ids) {
		t.Errorf("%d texts generated for %d items", runs, len(ids))
	}
}

func TestTextsTooOldForTheLaterStepAreNotUsed(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	body, ids := submission(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.checkWhole(s.readAll(s.daemons[0], "lot-1"), ids)
	s.daemons[0].call("DELETE", "/hornbeamtide/lots/lot-1", "", nil)
	s.store.PutSpec("versions/"+testModel, []byte(`{"Model":"captions","Version":2}`))
	again, _ := submission(1, 2)
	s.daemons[0].call("POST", itemPath+"x", "lot-2", []byte(strings.Replace(string(again), `"Step":1`, `"Step":2`, 1)))
	for _, r := range s.readAll(s.daemons[0], "lot-2").Results {
		if !slices.Equal(r.Versions, []int64{2}) {
			t.Errorf("versions %v for a step that allows 2 and newer", r.Versions)
		}
	}
}

func TestStepsOfATrainerRunOnOneDaemon(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	hosts := map[string]bool{}
	for i, d := range s.daemons {
		id := []string{"lot-1", "lot-2", "lot-3"}[i]
		body, _ := submission(1, 1)
		d.call("POST", itemPath+"x", id, body)
		hosts[s.runner(id).settings.ID] = true
	}
	if len(hosts) != 1 {
		t.Errorf("steps run on %v", hosts)
	}
}

func TestItemsThatWaitTooLongAreGivenUp(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, e := range s.engines {
		e.SetFaults(fakereplica.Faults{Full: true})
	}
	s.configure(2, map[string]any{
		"Name": "brief", "Hostname": testHost, "PathPrefix": itemPath + "item-0-", "Kind": "rollout", "Backend": modelPool,
		"TimeoutMs": 4000, "MaxAttempts": 3, "RetentionS": 0.5,
	})
	s.eventually("the configuration is in force", func() bool { return s.daemons[0].configuration.Load().Version == 2 })
	body, _ := submission(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	for _, r := range s.readAll(s.daemons[0], "lot-1").Results {
		if r.State != "errored" {
			t.Errorf("result %+v", r)
		}
	}
}

// After a restart of all daemons the batches may be known before their ends (conchilla-hub
// scale-2 264312042915).
func TestEndedBatchStaysEndedAfterARestartOfAll(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	for _, e := range s.engines {
		e.SetFaults(fakereplica.Faults{Pause: 300 * time.Millisecond})
	}
	body, ids := submission(4, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	// No request is on its way to a replica when the daemons die: it would count as one of
	// the new daemons.
	total := func() int { return s.engines[0].Total() + s.engines[1].Total() + s.engines[2].Total() }
	s.eventually("all items run", func() bool { return total() == len(ids) })
	if got := s.daemons[1].call("DELETE", "/hornbeamtide/lots/lot-1", "", nil); got.status != http.StatusOK {
		t.Fatalf("end: %+v", got)
	}
	for _, d := range s.daemons {
		d.kill()
		<-d.done
	}
	before := total()
	s.daemons, s.seeds = nil, ""
	for _, id := range []string{"d1", "d2"} {
		s.start(id)
	}
	for _, d := range s.daemons {
		s.eventually("daemons are ready", d.ready)
	}
	time.Sleep(2500 * time.Millisecond) // a few rounds of supervision
	if after := total(); after != before {
		t.Errorf("%d runs of an ended batch after the restart", after-before)
	}
}

// All daemons are lost at once while texts are long on their way: the next ones go on with
// what the store has of them.
func TestGrowingTextsOutliveAllDaemons(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, e := range s.engines {
		e.SetFaults(fakereplica.Faults{Pause: 600 * time.Millisecond})
	}
	body, ids := submission(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.eventually("growing texts are in the store", func() bool { return len(s.store.Objects("results-lot-1/")) > 0 })
	s.daemons[0].kill()
	<-s.daemons[0].done
	again := s.start("d1")
	s.checkWhole(s.readAll(again, "lot-1"), ids)
	for _, id := range ids {
		var starts []int64
		for _, e := range s.engines {
			starts = append(starts, e.Starts(id)...)
		}
		if slices.Max(starts) == 0 {
			t.Errorf("item %s began anew", id)
		}
	}
}

// The daemon that ran a trainer's steps is gone for good: it is soon no host any more, for none
// of the others, and keeps nobody waiting.
func TestDaemonThatIsGoneIsTakenOutOfTheList(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	body, ids := submission(1, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	gone := s.runner("lot-1")
	s.checkWhole(s.readAll(s.daemons[0], "lot-1"), ids)
	gone.kill()
	<-gone.done
	others := s.others(gone)
	if got := others[0].call("POST", itemPath+"x", "lot-2", body); got.status != http.StatusAccepted {
		t.Fatalf("status %d", got.status)
	}
	for _, d := range others {
		s.eventually("the daemon is out of the list", func() bool { return len(d.members()) == len(others) })
	}
}

// A replica that turned slow while others have places does not keep the step waiting.
func TestTextsLeaveASlowReplica(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, e := range s.engines {
		e.SetFaults(fakereplica.Faults{Pause: 15 * time.Millisecond})
	}
	body, ids := submission(4, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body) // the usual pace is known after it
	s.checkWhole(s.readAll(s.daemons[0], "lot-1"), ids)
	s.daemons[0].call("DELETE", "/hornbeamtide/lots/lot-1", "", nil)
	const slow = 1500 * time.Millisecond
	s.engines[1].SetFaults(fakereplica.Faults{Pause: slow}) // where the first group's prompt leads
	begin := time.Now()
	again := bytes.ReplaceAll(body, []byte("item-"), []byte("later-"))
	s.daemons[0].call("POST", itemPath+"x", "lot-2", again)
	for i, id := range ids {
		ids[i] = strings.Replace(id, "item-", "later-", 1)
	}
	s.checkWhole(s.readAll(s.daemons[0], "lot-2"), ids)
	if took := time.Since(begin); took > textEvents*slow/2 {
		t.Errorf("whole after %v; a text at the slow replica takes %v", took, textEvents*slow)
	}
	if s.engines[1].Total() == 0 {
		t.Error("no text was at the slow replica")
	}
}
