package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/fleet"
)

func TestFilters(t *testing.T) {
	replicaA := fleet.Replica{ID: "a"}
	table := []struct {
		name    string
		filter  Filter
		request Request
		c       Candidate
		want    bool
	}{
		{"not leaving", LeavingFilter{}, Request{}, Candidate{}, true},
		{"leaving by the list", LeavingFilter{}, Request{}, Candidate{State: ReplicaState{Replica: fleet.Replica{Leaving: true}}}, false},
		{"leaving by the server", LeavingFilter{}, Request{}, Candidate{State: ReplicaState{Leaving: true}}, false},
		{"not tried", ExcludeFilter{}, Request{Exclude: []string{"b"}}, Candidate{State: ReplicaState{Replica: replicaA}}, true},
		{"tried", ExcludeFilter{}, Request{Exclude: []string{"b", "a"}}, Candidate{State: ReplicaState{Replica: replicaA}}, false},
		{"complete version", CompleteVersionFilter{}, Request{}, Candidate{State: ReplicaState{Whole: true}}, true},
		{"partial swap", CompleteVersionFilter{}, Request{}, Candidate{}, false},
		{"not suspended", SampleSuspensionFilter{}, Request{Sample: true}, Candidate{}, true},
		{"suspended, sample", SampleSuspensionFilter{}, Request{Sample: true}, Candidate{State: ReplicaState{Suspended: true}}, false},
		{"suspended, no sample", SampleSuspensionFilter{}, Request{}, Candidate{State: ReplicaState{Suspended: true}}, true},
		{"suspended, any request", AnySuspensionFilter{}, Request{}, Candidate{State: ReplicaState{Suspended: true}}, false},
		{"below the limit", InFlightLimitFilter{}, Request{MaxInFlight: 2}, Candidate{State: ReplicaState{InFlight: 1}}, true},
		{"full", InFlightLimitFilter{}, Request{MaxInFlight: 2}, Candidate{State: ReplicaState{InFlight: 2}}, false},
		{"no limit", InFlightLimitFilter{}, Request{}, Candidate{State: ReplicaState{InFlight: 99}}, true},
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
		{"reported", ReportedLoadScorer{}, Candidate{Load: 9, State: ReplicaState{Running: 2, Waiting: 3}}, 5},
	}
	for _, row := range table {
		if got := row.scorer.Score(&row.c); got != row.want {
			t.Errorf("%s: Score = %v, want %v", row.name, got, row.want)
		}
	}
}

// candidatesWithCosts returns candidates in the subset with the given costs.
func candidatesWithCosts(values ...float64) []Candidate {
	out := make([]Candidate, len(values))
	for i, value := range values {
		out[i] = Candidate{Cost: value, InSubset: true, State: ReplicaState{Replica: fleet.Replica{ID: string(rune('a' + i))}}}
	}
	return out
}

func TestChoosers(t *testing.T) {
	ranked := func(first, second float64, rest ...float64) []Candidate {
		c := candidatesWithCosts(append([]float64{first, second}, rest...)...)
		c[0].Rank, c[1].Rank = 1, 2
		return c
	}
	local := candidatesWithCosts(20, 4, 4)
	local[0].Local = true
	localIdle := candidatesWithCosts(5, 4, 4)
	localIdle[0].Local = true
	probe := candidatesWithCosts(1, 1)
	probe[1].ProbeDue = true
	table := []struct {
		name    string
		chooser Chooser
		from    []Candidate
		want    int
		ok      bool
	}{
		{"first replica of the key", PrefixChooser{1.25}, ranked(5, 1, 5, 5), 0, true},
		{"first replica over the bound", PrefixChooser{1.25}, ranked(10, 5, 4, 4), 1, true},
		{"both replicas over the bound", PrefixChooser{1.25}, ranked(10, 10, 1, 1), 0, false},
		{"small batches are below the minimum limit", PrefixChooser{1.25}, ranked(2, 1, 1, 1), 0, true},
		{"unkeyed", PrefixChooser{1.25}, candidatesWithCosts(1, 1), 0, false},
		{"local replica", LocalChooser{1.25}, localIdle, 0, true},
		{"local replica over the bound", LocalChooser{1.25}, local, 0, false},
		{"cheaper of two", TwoChoiceChooser{}, candidatesWithCosts(9, 3), 1, true},
		{"only one", TwoChoiceChooser{}, candidatesWithCosts(9), 0, true},
		{"least cost", LeastCostChooser{}, candidatesWithCosts(9, 3, 8), 1, true},
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

func TestTwoChoicePicksAllEqualReplicas(t *testing.T) {
	random, seen := rand.New(rand.NewPCG(1, 1)), map[int]int{}
	for range 900 {
		index, _ := TwoChoiceChooser{}.Choose(random, candidatesWithCosts(1, 1, 1))
		seen[index]++
	}
	for i := range 3 {
		if seen[i] < 200 {
			t.Errorf("replica %d chosen %d times of 900", i, seen[i])
		}
	}
}

func TestRoundRobinPicksEachInTurn(t *testing.T) {
	chooser, got := &RoundRobinChooser{}, ""
	for range 7 {
		index, _ := chooser.Choose(nil, candidatesWithCosts(1, 1, 1))
		got += string(rune('a' + index))
	}
	if got != "abcabca" {
		t.Errorf("order %q", got)
	}
}
