package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

func failure(kind fault.Kind) error { return fault.New(kind, "broken", "") }

func TestKeyMapsToSameReplicaFromAnySubset(t *testing.T) {
	one, other := newFixture("", 40), newFixture("", 40)
	one.subset, other.subset = one.servers[:24], other.servers[16:]
	for i := range 50 {
		r := Request{Key: fmt.Sprint("group", i)}
		a, b := one.pick(t, r), other.pick(t, r)
		if a.Replica.ID != b.Replica.ID {
			t.Errorf("%s: %s and %s", r.Key, a.Replica.ID, b.Replica.ID)
		}
		a.Done(nil, time.Second)
		b.Done(nil, time.Second)
	}
}

func TestKeySpillsOverAtLoadBound(t *testing.T) {
	property := func(requests int, servers int) bool {
		f := newFixture("", servers)
		busiest := 0
		for range requests {
			f.pick(t, Request{Key: "one"})
		}
		for _, state := range f.store.Dump().Replicas {
			busiest = max(busiest, state.InFlight)
		}
		mean := float64(requests) / float64(servers)
		return float64(busiest) <= defaultLoadBound*(mean+1)+1
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("busiest within the bound", prop.ForAll(property, gen.IntRange(1, 200), gen.IntRange(2, 12)))
	properties.TestingRun(t)
}

func TestReportedLoadIsAdjustedForOwnLaterRequests(t *testing.T) {
	f := newFixture("", 2)
	first := f.pick(t, Request{Exclude: []string{"r001"}})
	first.ReportLoad(backend.Load{Running: 5}) // including one of this daemon
	for range 4 {
		f.pick(t, Request{Exclude: []string{"r001"}})
	}
	f.store.mu.Lock()
	c := f.store.replicas["r000"].candidate(choiceContext{}, 0)
	f.store.mu.Unlock()
	if c.Load != 9 {
		t.Errorf("load %v, want 9: 4 of other daemons and 5 of this one", c.Load)
	}
}

func TestLeavingReplicaGetsNoNewWork(t *testing.T) {
	marks := map[string]func(*fixture){
		"list": func(f *fixture) { f.servers[0].Leaving = true; f.advance(refreshInterval) },
		"server": func(f *fixture) {
			f.store.lease(f.store.replicas["r000"], f.now(), false).Done(failure(fault.Draining), 0)
		},
		"its status": func(f *fixture) {
			f.store.updateStatus(f.servers[0], backend.EngineStatus{Leaving: true, Complete: true})
		},
	}
	for name, mark := range marks {
		f := newFixture("", 2)
		f.pick(t, Request{})
		mark(f)
		for i := range 100 {
			if id := f.pick(t, Request{Key: fmt.Sprint(i % 7)}).Replica.ID; id == "r000" {
				t.Fatalf("%s: leaving replica got a new request", name)
			}
		}
		if name == "list" {
			continue
		}
		waitUntil(t, name+" reported", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.leavingReports) == 1 })
	}
}

func TestSuspendedReplicaTakesSamplesAgainAfterCompleteVersion(t *testing.T) {
	f := newFixture("", 1)
	f.pick(t, Request{Sample: true})
	f.store.Suspend("r000", 8)
	for _, status := range []backend.EngineStatus{{Version: 7, Complete: true}, {Version: 8, Complete: false}} {
		f.store.updateStatus(f.servers[0], status)
		if _, err := f.store.Pick(t.Context(), Request{Pool: "pool", Sample: true}); !fault.Is(err, fault.Unavailable) || fault.OutcomeOf(err) != fault.NotRun {
			t.Errorf("%+v: sample request was accepted: %v", status, err)
		}
	}
	if _, err := f.store.Pick(t.Context(), Request{Pool: "pool"}); fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("replica with mixed weights got a request: %v", err)
	}
	f.store.updateStatus(f.servers[0], backend.EngineStatus{Version: 8, Complete: true})
	lease := f.pick(t, Request{Sample: true})
	if lease.PartiallySwapped() {
		t.Error("replica with a complete version counts as partial")
	}
	f.store.updateStatus(f.servers[0], backend.EngineStatus{Version: 8})
	f.store.updateStatus(f.servers[0], backend.EngineStatus{Version: 9, Complete: true})
	if !lease.PartiallySwapped() {
		t.Error("partial swap during the request was not detected")
	}
}

func TestFailedConnectionsDoNotMarkReachableServerFailing(t *testing.T) {
	f := newFixture("", 2)
	var leases []Lease
	for range 10 {
		leases = append(leases, f.pick(t, Request{Exclude: []string{"r001"}}))
	}
	f.advance(5 * time.Second)
	for _, lease := range leases {
		lease.Done(failure(fault.Unavailable), 5*time.Second)
	}
	waitUntil(t, "new connection tried", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.dials == 1 })
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if f.store.replicas["r000"].state.Failing {
		t.Error("replica marked failing although new connections work")
	}
}

func TestFailingReplicaGetsOneTrialRequestAfterProbe(t *testing.T) {
	f := newFixture("", 2)
	f.unreachable["r000"] = true
	f.pick(t, Request{Exclude: []string{"r001"}}).Done(failure(fault.Unavailable), 0)
	waitUntil(t, "replica marked failing", func() bool { return f.state("r000").Failing })
	for range 50 {
		if f.pick(t, Request{}).Replica.ID == "r000" {
			t.Fatal("failing replica got a request")
		}
	}
	f.advance(2 * minBackoff)
	due := f.store.duePolls("pool", false, 0, time.Second)
	if len(due) != 1 {
		t.Fatalf("%d probes due", len(due))
	}
	f.store.recordPollResult(due[0], nil, f.now())
	trial := f.pick(t, Request{})
	if trial.Replica.ID != "r000" {
		t.Fatal("no trial request after the probe")
	}
	if f.pick(t, Request{}).Replica.ID == "r000" {
		t.Fatal("second request before the trial request ended")
	}
	trial.Done(nil, time.Second)
	if f.state("r000").Failing {
		t.Error("replica still failing after a successful trial request")
	}
}

func TestConsecutiveTimeoutsMarkServerFailing(t *testing.T) {
	f := newFixture("", 2)
	for range failureThreshold {
		lease := f.pick(t, Request{Exclude: []string{"r001"}})
		f.advance(5 * time.Second)
		lease.Done(failure(fault.Deadline), 5*time.Second)
		f.advance(time.Millisecond)
	}
	if !f.state("r000").Failing {
		t.Error("server that accepts connections but never responds is not marked failing")
	}
}

func TestFailingReplicaIsUsedWhenNoOtherIsLeft(t *testing.T) {
	f := newFixture("", 1)
	f.pick(t, Request{})
	f.store.mu.Lock()
	f.store.markFailing(f.store.replicas["r000"], f.now())
	f.store.mu.Unlock()
	f.pick(t, Request{})
}

// runLoad sends total requests, up to inFlight at a time, and returns the number of
// requests per replica. The slow replica takes five times as long as the others.
func runLoad(t *testing.T, f *fixture, total, inFlight int, slow string) map[string]int {
	type running struct {
		lease    Lease
		duration time.Duration
		end      time.Time
	}
	counts := map[string]int{}
	var requests []running
	for i := range total {
		r := Request{}
		if i%2 == 0 {
			r.Key = fmt.Sprint("session", i%31)
		}
		lease := f.pick(t, r)
		counts[lease.Replica.ID]++
		duration := 100 * time.Millisecond
		if lease.Replica.ID == slow {
			duration *= 5
		}
		requests = append(requests, running{lease, duration, f.now().Add(duration)})
		for len(requests) >= inFlight {
			f.advance(time.Millisecond)
			requests = slices.DeleteFunc(requests, func(r running) bool {
				ended := !f.now().Before(r.end)
				if ended {
					r.lease.Done(nil, r.duration)
				}
				return ended
			})
		}
	}
	for _, r := range requests {
		r.lease.Done(nil, r.duration)
	}
	return counts
}

func TestSlowReplicaGetsLittleWork(t *testing.T) {
	f := newFixture("", 8)
	counts := runLoad(t, f, 10000, 160, "r003")
	if !f.state("r003").Slow || counts["r003"] > 50 {
		t.Errorf("slow replica got %d of 10000 requests, slow %v", counts["r003"], f.state("r003").Slow)
	}
	runLoad(t, f, 20000, 8, "") // normal speed again, and so little load that only probes reveal it
	if f.state("r003").Slow {
		t.Error("replica as fast as its pool still counts as slow")
	}
}

func TestAllPoliciesEnforceRequirements(t *testing.T) {
	for _, name := range []string{PolicyRandom, PolicyRoundRobin, PolicyLeastLoad, PolicyAffinity} {
		f := newFixture(name, 4)
		f.servers[0].Leaving = true
		used := map[string]int{}
		for range 60 {
			used[f.pick(t, Request{Exclude: []string{"r001"}}).Replica.ID]++
		}
		if used["r000"]+used["r001"] > 0 || len(used) != 2 {
			t.Errorf("%s: used %v", name, used)
		}
	}
}

func TestFullPoolReturnsOverloadedAndNotRun(t *testing.T) {
	f := newFixture("", 1)
	f.pick(t, Request{MaxInFlight: 1})
	_, err := f.store.Pick(t.Context(), Request{Pool: "pool", MaxInFlight: 1})
	if !fault.Is(err, fault.Overloaded) || fault.OutcomeOf(err) != fault.NotRun || fault.RetryAfterOf(err) == 0 {
		t.Errorf("refusal %v", err)
	}
}

func BenchmarkPickOf770Replicas(b *testing.B) {
	f := newFixture("", 770)
	f.subset = f.servers[:24]
	f.store.now = time.Now
	for i := 0; b.Loop(); i++ {
		lease := f.pick(b, Request{Key: "group"})
		lease.Done(nil, time.Second)
	}
}

func TestLeaseReportsSlowReplica(t *testing.T) {
	f := newFixture("", 2)
	observeTokenTimes := func(lease Lease, each time.Duration) {
		for range minObservations {
			lease.ReportProgress(8, each)
		}
		f.advance(refreshInterval)
	}
	fast := f.pick(t, Request{Exclude: []string{"r001"}})
	slow := f.pick(t, Request{Exclude: []string{"r000"}})
	observeTokenTimes(fast, 8*time.Millisecond)
	observeTokenTimes(slow, 80*time.Millisecond)
	probe := f.pick(t, Request{Exclude: []string{"r000"}}) // Pick compares the latencies
	if fast.Slow() || !slow.Slow() {
		t.Errorf("fast %v, slow %v", fast.Slow(), slow.Slow())
	}
	if probe.Slow() {
		t.Error("probe reports the replica slow before it has enough observations")
	}
	observeTokenTimes(probe, 80*time.Millisecond)
	if !probe.Slow() {
		t.Error("probe with enough observations does not report the replica slow")
	}
}

// countPolls returns the number of polls of r000 in the given number of intervals. It
// calls before at the start of each interval.
func countPolls(f *fixture, intervals int, before func()) (polls int) {
	for range intervals {
		f.advance(time.Second)
		before()
		for tick := range pollTicks {
			for _, r := range f.store.duePolls("pool", true, tick, time.Second) {
				if r.state.Replica.ID == "r000" {
					polls++
				}
				f.store.updateStatus(r.state.Replica, f.status)
				f.store.recordPollResult(r, nil, f.now())
			}
		}
	}
	return polls
}

func TestPollsAreSkippedWhenLoadIsKnownOrNotNeeded(t *testing.T) {
	use := func(f *fixture, load bool) {
		lease := f.pick(t, Request{Exclude: []string{"r001"}})
		if load {
			lease.ReportLoad(backend.Load{Running: 1})
		}
		lease.Done(nil, time.Second)
	}
	table := []struct {
		name   string
		status backend.EngineStatus
		before func(f *fixture)
		want   int // polls in 8 intervals
	}{
		{"not used", backend.EngineStatus{Complete: true}, func(*fixture) {}, 2},
		{"used, no load in its responses", backend.EngineStatus{Complete: true}, func(f *fixture) { use(f, false) }, 8},
		{"used, load in its responses", backend.EngineStatus{Complete: true}, func(f *fixture) { use(f, true) }, 2},
		{"partial swap", backend.EngineStatus{}, func(*fixture) {}, 8},
		{"leaving", backend.EngineStatus{Complete: true, Leaving: true}, func(*fixture) {}, 8},
		{"suspended", backend.EngineStatus{Version: 1, Complete: true}, func(f *fixture) { f.store.Suspend("r000", 9) }, 8 * pollTicks},
	}
	for _, row := range table {
		f := newFixture("", 2)
		f.status = row.status
		countPolls(f, 1, func() {})
		if got := countPolls(f, 8, func() { row.before(f) }); got != row.want {
			t.Errorf("%s: %d polls, want %d", row.name, got, row.want)
		}
	}
}
