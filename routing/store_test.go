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

func failed(kind fault.Kind) error { return fault.New(kind, "broken", "") }

func TestKeyMeetsTheSameReplicaFromAnySubset(t *testing.T) {
	one, other := newWorld("", 40), newWorld("", 40)
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

func TestKeySpillsAtTheLoadBound(t *testing.T) {
	property := func(requests int, servers int) bool {
		w := newWorld("", servers)
		busiest := 0
		for range requests {
			w.pick(t, Request{Key: "one"})
		}
		for _, state := range w.store.Dump().Replicas {
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

func TestReportedLoadIsCorrectedByOwnRequestsSince(t *testing.T) {
	w := newWorld("", 2)
	first := w.pick(t, Request{Exclude: []string{"r001"}})
	first.Load(backend.Load{Running: 5}) // of which one is ours
	for range 4 {
		w.pick(t, Request{Exclude: []string{"r001"}})
	}
	w.store.mu.Lock()
	c := w.store.replicas["r000"].candidate(choiceContext{}, 0)
	w.store.mu.Unlock()
	if c.Load != 9 {
		t.Errorf("load %v, want 4 of others and 5 of our own", c.Load)
	}
}

func TestLeavingReplicaGetsNoNewWork(t *testing.T) {
	marks := map[string]func(*world){
		"list": func(w *world) { w.servers[0].Leaving = true; w.advance(refreshInterval) },
		"server": func(w *world) {
			w.store.lease(w.store.replicas["r000"], w.now(), false).Done(failed(fault.Draining), 0)
		},
		"its status": func(w *world) { w.store.report(w.servers[0], backend.EngineStatus{Leaving: true, Whole: true}) },
	}
	for name, mark := range marks {
		w := newWorld("", 2)
		w.pick(t, Request{})
		mark(w)
		for i := range 100 {
			if id := w.pick(t, Request{Key: fmt.Sprint(i % 7)}).Replica.ID; id == "r000" {
				t.Fatalf("%s: new work for a leaving replica", name)
			}
		}
		if name == "list" {
			continue
		}
		eventually(t, name+" reported", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(w.left) == 1 })
	}
}

func TestSuspendedReplicaTakesSamplesAgainOnceWhole(t *testing.T) {
	w := newWorld("", 1)
	w.pick(t, Request{Sample: true})
	w.store.Suspend("r000", 8)
	for _, status := range []backend.EngineStatus{{Version: 7, Whole: true}, {Version: 8, Whole: false}} {
		w.store.report(w.servers[0], status)
		if _, err := w.store.Pick(t.Context(), Request{Pool: "pool", Sample: true}); !fault.Is(err, fault.Unavailable) || fault.OutcomeOf(err) != fault.NotRun {
			t.Errorf("%+v: sample work was let through: %v", status, err)
		}
	}
	if _, err := w.store.Pick(t.Context(), Request{Pool: "pool"}); fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("a request went to a replica with mixed weights: %v", err)
	}
	w.store.report(w.servers[0], backend.EngineStatus{Version: 8, Whole: true})
	lease := w.pick(t, Request{Sample: true})
	if lease.Partial() {
		t.Error("a whole replica counts as partial")
	}
	w.store.report(w.servers[0], backend.EngineStatus{Version: 8})
	w.store.report(w.servers[0], backend.EngineStatus{Version: 9, Whole: true})
	if !lease.Partial() {
		t.Error("a partial swap during the request went unnoticed")
	}
}

func TestSilentConnectionsDoNotTakeAServerDown(t *testing.T) {
	w := newWorld("", 2)
	var leases []Lease
	for range 10 {
		leases = append(leases, w.pick(t, Request{Exclude: []string{"r001"}}))
	}
	w.advance(5 * time.Second)
	for _, lease := range leases {
		lease.Done(failed(fault.Unavailable), 5*time.Second)
	}
	eventually(t, "fresh connection tried", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.dials == 1 })
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if w.store.replicas["r000"].state.Failing {
		t.Error("held down although new connections work")
	}
}

func TestFailingReplicaIsTriedOnceAfterAProbe(t *testing.T) {
	w := newWorld("", 2)
	w.down["r000"] = true
	w.pick(t, Request{Exclude: []string{"r001"}}).Done(failed(fault.Unavailable), 0)
	eventually(t, "held failing", func() bool { return w.state("r000").Failing })
	for range 50 {
		if w.pick(t, Request{}).Replica.ID == "r000" {
			t.Fatal("work for a failing replica")
		}
	}
	w.advance(2 * firstBackoff)
	due := w.store.due("pool", false, 0, time.Second)
	if len(due) != 1 {
		t.Fatalf("%d probes due", len(due))
	}
	w.store.checked(due[0], nil, w.now())
	trial := w.pick(t, Request{})
	if trial.Replica.ID != "r000" {
		t.Fatal("no trial request after the probe")
	}
	if w.pick(t, Request{}).Replica.ID == "r000" {
		t.Fatal("a second request before the trial ended")
	}
	trial.Done(nil, time.Second)
	if w.state("r000").Failing {
		t.Error("still failing after a good trial")
	}
}

func TestStallsOneAfterTheOtherTakeAServerDown(t *testing.T) {
	w := newWorld("", 2)
	for range failuresAllowed {
		lease := w.pick(t, Request{Exclude: []string{"r001"}})
		w.advance(5 * time.Second)
		lease.Done(failed(fault.Deadline), 5*time.Second)
		w.advance(time.Millisecond)
	}
	if !w.state("r000").Failing {
		t.Error("a server that accepts connections and never answers still gets work")
	}
}

func TestOnlyReplicasLeftAreUsedThoughFailing(t *testing.T) {
	w := newWorld("", 1)
	w.pick(t, Request{})
	w.store.mu.Lock()
	w.store.holdFailing(w.store.replicas["r000"], w.now())
	w.store.mu.Unlock()
	w.pick(t, Request{})
}

// runLoad keeps so many requests in progress until total were sent, and returns how
// many each replica got. The slow replica takes five times as long as the others.
func runLoad(t *testing.T, w *world, total, inFlight int, slow string) map[string]int {
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
		lease := w.pick(t, r)
		counts[lease.Replica.ID]++
		duration := 100 * time.Millisecond
		if lease.Replica.ID == slow {
			duration *= 5
		}
		requests = append(requests, running{lease, duration, w.now().Add(duration)})
		for len(requests) >= inFlight {
			w.advance(time.Millisecond)
			requests = slices.DeleteFunc(requests, func(r running) bool {
				ended := !w.now().Before(r.end)
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
	w := newWorld("", 8)
	counts := runLoad(t, w, 10000, 160, "r003")
	if !w.state("r003").Slow || counts["r003"] > 50 {
		t.Errorf("slow replica took %d of 10000 requests, slow %v", counts["r003"], w.state("r003").Slow)
	}
	runLoad(t, w, 20000, 8, "") // healthy again, and so little load that only probes show it
	if w.state("r003").Slow {
		t.Error("a replica as fast as its pool still counts as slow")
	}
}

func TestBaselinesKeepToTheRequirements(t *testing.T) {
	for _, name := range []string{PolicyRandom, PolicyRoundRobin, PolicyLeastLoad, PolicyAffinity} {
		w := newWorld(name, 4)
		w.servers[0].Leaving = true
		used := map[string]int{}
		for range 60 {
			used[w.pick(t, Request{Exclude: []string{"r001"}}).Replica.ID]++
		}
		if used["r000"]+used["r001"] > 0 || len(used) != 2 {
			t.Errorf("%s: used %v", name, used)
		}
	}
}

func TestFullPoolIsOverloadedAndNotRun(t *testing.T) {
	w := newWorld("", 1)
	w.pick(t, Request{MaxInFlight: 1})
	_, err := w.store.Pick(t.Context(), Request{Pool: "pool", MaxInFlight: 1})
	if !fault.Is(err, fault.Overloaded) || fault.OutcomeOf(err) != fault.NotRun || fault.RetryAfterOf(err) == 0 {
		t.Errorf("refusal %v", err)
	}
}

func BenchmarkPickOf770Replicas(b *testing.B) {
	w := newWorld("", 770)
	w.subset = w.servers[:24]
	w.store.now = time.Now
	for i := 0; b.Loop(); i++ {
		lease := w.pick(b, Request{Key: "group"})
		lease.Done(nil, time.Second)
	}
}

func TestLeaseTellsThatItsReplicaIsSlow(t *testing.T) {
	w := newWorld("", 2)
	paced := func(lease Lease, each time.Duration) {
		for range minObservations {
			lease.Progress(8, each)
		}
		w.advance(refreshInterval)
	}
	fast := w.pick(t, Request{Exclude: []string{"r001"}})
	slow := w.pick(t, Request{Exclude: []string{"r000"}})
	paced(fast, 8*time.Millisecond)
	paced(slow, 80*time.Millisecond)
	probe := w.pick(t, Request{Exclude: []string{"r000"}}) // compares latencies
	if fast.Slow() || !slow.Slow() {
		t.Errorf("fast %v, slow %v", fast.Slow(), slow.Slow())
	}
	if probe.Slow() {
		t.Error("a probe is given up before it has shown anything")
	}
	paced(probe, 80*time.Millisecond)
	if !probe.Slow() {
		t.Error("a probe that showed the replica slow goes on")
	}
}

// pollsIn counts the polls of r000 in so many intervals; each calls before.
func pollsIn(w *world, intervals int, before func()) (polls int) {
	for range intervals {
		w.advance(time.Second)
		before()
		for tick := range pollTicks {
			for _, r := range w.store.due("pool", true, tick, time.Second) {
				if r.state.Replica.ID == "r000" {
					polls++
				}
				w.store.report(r.state.Replica, w.status)
				w.store.checked(r, nil, w.now())
			}
		}
	}
	return polls
}

func TestPollsAreSkippedWhereTheLoadIsKnownOrNotNeeded(t *testing.T) {
	use := func(w *world, load bool) {
		lease := w.pick(t, Request{Exclude: []string{"r001"}})
		if load {
			lease.Load(backend.Load{Running: 1})
		}
		lease.Done(nil, time.Second)
	}
	table := []struct {
		name   string
		status backend.EngineStatus
		before func(w *world)
		want   int // polls in 8 intervals
	}{
		{"not used", backend.EngineStatus{Whole: true}, func(*world) {}, 2},
		{"used, no load in its responses", backend.EngineStatus{Whole: true}, func(w *world) { use(w, false) }, 8},
		{"used, load in its responses", backend.EngineStatus{Whole: true}, func(w *world) { use(w, true) }, 2},
		{"partial swap", backend.EngineStatus{}, func(*world) {}, 8},
		{"leaving", backend.EngineStatus{Whole: true, Leaving: true}, func(*world) {}, 8},
		{"suspended", backend.EngineStatus{Version: 1, Whole: true}, func(w *world) { w.store.Suspend("r000", 9) }, 8 * pollTicks},
	}
	for _, row := range table {
		w := newWorld("", 2)
		w.status = row.status
		pollsIn(w, 1, func() {})
		if got := pollsIn(w, 8, func() { row.before(w) }); got != row.want {
			t.Errorf("%s: %d polls, want %d", row.name, got, row.want)
		}
	}
}
