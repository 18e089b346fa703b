package duty

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a lease that changes hands while its holder responds, and against one that nobody
// takes after the holder is lost.
func TestNextAction(t *testing.T) {
	up, holds, down := answer{responded: true}, answer{responded: true, holds: true}, answer{}
	for _, row := range []struct {
		name    string
		ahead   []string
		holder  string
		answers map[string]answer
		silent  int
		want    action
		rounds  int
	}{
		{"holder ahead responds", []string{"a"}, "a", map[string]answer{"a": holds}, 2, stay, 0},
		{"holder behind responds", nil, "c", map[string]answer{"c": holds}, 2, stay, 0},
		{"candidate ahead without the lease responds", []string{"a"}, "c", map[string]answer{"a": up, "c": down}, 2, stay, 0},
		{"former holder behind responds", nil, "c", map[string]answer{"c": up}, 0, observe, 1},
		{"first round", []string{"a"}, "a", nil, 0, observe, 1},
		{"second round", []string{"a"}, "a", nil, 1, stay, 2},
		{"third round", []string{"a"}, "a", nil, 2, acquire, 3},
		{"later rounds", []string{"a"}, "a", nil, 7, acquire, 8},
		{"nobody known", nil, "", nil, 2, acquire, 3},
	} {
		if got, rounds := nextAction(row.ahead, row.holder, row.answers, row.silent); got != row.want || rounds != row.rounds {
			t.Errorf("%s: action %d, rounds %d, want %d, %d", row.name, got, rounds, row.want, row.rounds)
		}
	}
}

// Guards against a load on the store that grows with the fleet.
func TestOnlyHeadOfOrderIsCandidate(t *testing.T) {
	order := []string{"a", "b", "c", "d"}
	for i, id := range order {
		ahead, candidate := daemonsAhead(id, order)
		if candidate != (i < 3) || candidate && len(ahead) != i {
			t.Errorf("%s: ahead %v, candidate %t", id, ahead, candidate)
		}
	}
	if _, candidate := daemonsAhead("e", order); candidate {
		t.Error("a daemon outside the order is a candidate")
	}
}

// Guards against reports composed before the counts arrived, for windows before the fleet's start,
// and for windows that are too old after a long outage.
func TestWindowsToCompose(t *testing.T) {
	const length = 5 * time.Second
	end := windowEnd(100, length)
	for _, row := range []struct {
		after  time.Duration
		first  int64
		stored []storedReport
		want   string
	}{
		{2499 * time.Millisecond, 100, nil, "[]"},
		{2500 * time.Millisecond, 100, nil, "[100]"},
		{2500 * time.Millisecond, 98, nil, "[98 99 100]"},
		{2500 * time.Millisecond, 98, []storedReport{{Window: 98}, {Window: 100}}, "[99]"},
		{2500 * time.Millisecond, 101, nil, "[]"},
		{57600 * time.Millisecond, 90, nil, "[100 101 102 103 104 105 106 107 108 109 110 111]"},
		{60 * time.Second, 100, nil, "[101 102 103 104 105 106 107 108 109 110 111]"},
	} {
		if got := fmt.Sprint(windowsToCompose(end.Add(row.after), length, row.first, row.stored)); got != row.want {
			t.Errorf("%s after the end of 100, first %d: %s, want %s", row.after, row.first, got, row.want)
		}
	}
}

// Guards against late reports that make the others late too.
func TestReportsToSend(t *testing.T) {
	const length = 5 * time.Second
	var reports []storedReport
	for window := int64(89); window <= 100; window++ {
		reports = append(reports, storedReport{Window: window, Accepted: window == 99})
	}
	got := ""
	for _, r := range reportsToSend(windowEnd(100, length).Add(6*time.Second), length, 10*time.Second, reports) {
		got += fmt.Sprint(r.Window, " ")
	}
	if want := "100 90 91 92 93 94 95 96 97 98 "; got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

func TestBackoff(t *testing.T) {
	want := []time.Duration{0, 300, 600, 1200, 2000, 2000}
	for failures, ms := range want {
		if got := backoff(failures); got != ms*time.Millisecond {
			t.Errorf("%d failures: %s, want %d ms", failures, got, ms)
		}
	}
}
