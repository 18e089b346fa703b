package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/fleet"
)

func TestFilters(t *testing.T) {
	named := fleet.Replica{ID: "a"}
	table := []struct {
		name    string
		filter  Filter
		request Request
		c       Candidate
		want    bool
	}{
		{"live", LeavingFilter{}, Request{}, Candidate{}, true},
		{"list says leaving", LeavingFilter{}, Request{}, Candidate{State: ReplicaState{Replica: fleet.Replica{Leaving: true}}}, false},
		{"server says leaving", LeavingFilter{}, Request{}, Candidate{State: ReplicaState{Leaving: true}}, false},
		{"not tried", ExcludeFilter{}, Request{Exclude: []string{"b"}}, Candidate{State: ReplicaState{Replica: named}}, true},
		{"tried", ExcludeFilter{}, Request{Exclude: []string{"b", "a"}}, Candidate{State: ReplicaState{Replica: named}}, false},
		{"whole", WholeFilter{}, Request{}, Candidate{State: ReplicaState{Whole: true}}, true},
		{"partial swap", WholeFilter{}, Request{}, Candidate{}, false},
		{"not suspended", SuspendedFilter{}, Request{Sample: true}, Candidate{}, true},
		{"suspended, sample", SuspendedFilter{}, Request{Sample: true}, Candidate{State: ReplicaState{Suspended: true}}, false},
		{"suspended, no sample", SuspendedFilter{}, Request{}, Candidate{State: ReplicaState{Suspended: true}}, true},
		{"switching", SwitchingFilter{}, Request{}, Candidate{State: ReplicaState{Suspended: true}}, false},
		{"room", FullFilter{}, Request{MaxInFlight: 2}, Candidate{State: ReplicaState{InFlight: 1}}, true},
		{"full", FullFilter{}, Request{MaxInFlight: 2}, Candidate{State: ReplicaState{InFlight: 2}}, false},
		{"no limit", FullFilter{}, Request{}, Candidate{State: ReplicaState{InFlight: 99}}, true},
		{"failing", FailingFilter{}, Request{}, Candidate{State: ReplicaState{Failing: true}}, false},
		{"failing, trial", FailingFilter{}, Request{}, Candidate{State: ReplicaState{Failing: true}, ProbeDue: true}, true},
		{"slow", SlowFilter{}, Request{}, Candidate{State: ReplicaState{Slow: true}}, false},
		{"slow, probe", SlowFilter{}, Request{}, Candidate{State: ReplicaState{Slow: true}, ProbeDue: true}, true},
		{"unproven", SlowStartFilter{}, Request{}, Candidate{State: ReplicaState{Unproven: true}}, true},
		{"unproven with a request", SlowStartFilter{}, Request{}, Candidate{State: ReplicaState{Unproven: true, InFlight: 1}}, false},
		{"busy", BusyFilter{}, Request{}, Candidate{State: ReplicaState{Busy: true}}, false},
	}
	for _, row := range table {
		if got := row.filter.Keep(row.request, &row.c); got != row.want {
			t.Errorf("%s: Keep = %v", row.name, got)
		}
	}
}

func TestScorers(t *testing.T) {
	table := []struct {
		name   string
		scorer Scorer
		c      Candidate
		want   float64
	}{
		{"idle", LoadScorer{}, Candidate{State: ReplicaState{Slowness: 1}}, 1},
		{"loaded", LoadScorer{}, Candidate{Load: 3, State: ReplicaState{Slowness: 1}}, 4},
		{"a little slow", LoadScorer{}, Candidate{Load: 3, State: ReplicaState{Slowness: 1.4}}, 4},
		{"fast is not cheaper", LoadScorer{}, Candidate{Load: 3, State: ReplicaState{Slowness: 0.2}}, 4},
		{"slow", LoadScorer{}, Candidate{Load: 3, State: ReplicaState{Slowness: 3}}, 12},
		{"reported", ReportedScorer{}, Candidate{Load: 9, State: ReplicaState{Running: 2, Waiting: 3}}, 5},
	}
	for _, row := range table {
		if got := row.scorer.Score(&row.c); got != row.want {
			t.Errorf("%s: Score = %v, want %v", row.name, got, row.want)
		}
	}
}

// costs builds subset candidates with the given costs.
func costs(values ...float64) []Candidate {
	out := make([]Candidate, len(values))
	for i, value := range values {
		out[i] = Candidate{Cost: value, InSubset: true, State: ReplicaState{Replica: fleet.Replica{ID: string(rune('a' + i))}}}
	}
	return out
}

func TestChoosers(t *testing.T) {
	ranked := func(first, second float64, rest ...float64) []Candidate {
		c := costs(append([]float64{first, second}, rest...)...)
		c[0].Rank, c[1].Rank = 1, 2
		return c
	}
	local := costs(20, 4, 4)
	local[0].Local = true
	localFree := costs(5, 4, 4)
	localFree[0].Local = true
	probe := costs(1, 1)
	probe[1].ProbeDue = true
	table := []struct {
		name    string
		chooser Chooser
		from    []Candidate
		want    int
		ok      bool
	}{
		{"first of the key", PrefixChooser{1.25}, ranked(5, 1, 5, 5), 0, true},
		{"first over the bound", PrefixChooser{1.25}, ranked(10, 5, 4, 4), 1, true},
		{"both over the bound", PrefixChooser{1.25}, ranked(10, 10, 1, 1), 0, false},
		{"small batches are free", PrefixChooser{1.25}, ranked(2, 1, 1, 1), 0, true},
		{"unkeyed", PrefixChooser{1.25}, costs(1, 1), 0, false},
		{"own domain", LocalChooser{1.25}, localFree, 0, true},
		{"own domain loaded", LocalChooser{1.25}, local, 0, false},
		{"better of two", TwoChoiceChooser{}, costs(9, 3), 1, true},
		{"only one", TwoChoiceChooser{}, costs(9), 0, true},
		{"least", LeastChooser{}, costs(9, 3, 8), 1, true},
		{"probe", ProbeChooser{}, probe, 1, true},
	}
	for _, row := range table {
		random := rand.New(rand.NewPCG(1, 1))
		for range 20 {
			got, ok := row.chooser.Choose(random, row.from)
			if ok != row.ok || (ok && got != row.want) {
				t.Errorf("%s: Choose = %d, %v", row.name, got, ok)
				break
			}
		}
	}
}

func TestTwoChoiceReachesAllEqualReplicas(t *testing.T) {
	random, seen := rand.New(rand.NewPCG(1, 1)), map[int]int{}
	for range 900 {
		index, _ := TwoChoiceChooser{}.Choose(random, costs(1, 1, 1))
		seen[index]++
	}
	for i := range 3 {
		if seen[i] < 200 {
			t.Errorf("replica %d chosen %d times of 900", i, seen[i])
		}
	}
}

func TestRoundRobinTakesEachInTurn(t *testing.T) {
	chooser, got := &RoundRobinChooser{}, ""
	for range 7 {
		index, _ := chooser.Choose(nil, costs(1, 1, 1))
		got += string(rune('a' + index))
	}
	if got != "abcabca" {
		t.Errorf("order %q", got)
	}
}
