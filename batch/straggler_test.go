package batch

import (
	"testing"
	"time"
)

// paceOf returns the pace of a stream with events at the given times in ms after the request.
func paceOf(at ...int) (streamPace, time.Time) {
	begin := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	p := streamPace{sentAt: begin}
	for _, ms := range at {
		p.add(begin.Add(time.Duration(ms) * time.Millisecond))
	}
	return p, begin
}

func evenlySpaced(ms, from, n int) []int {
	var at []int
	for i := range n {
		at = append(at, from+(i+1)*ms)
	}
	return at
}

func TestStragglerDetection(t *testing.T) {
	const typical = 47 * time.Millisecond
	table := []struct {
		name    string
		events  []int
		now     int
		typical time.Duration
		want    bool
	}{
		{"no typical time to compare with", nil, 3000, 0, false},
		{"first event not overdue", nil, 350, typical, false},
		{"queued at the replica", nil, 450, typical, true},
		{"slow engine type, first event not overdue", nil, 1000, 200 * time.Millisecond, false},
		{"typical pace", evenlySpaced(47, 0, 30), 1430, typical, false},
		{"slightly slower at a full replica", evenlySpaced(60, 0, 30), 1830, typical, false},
		{"three times as slow", evenlySpaced(150, 0, 10), 1510, typical, true},
		{"three times as slow for three events", append(evenlySpaced(47, 0, 20), evenlySpaced(164, 940, 3)...), 1440, typical, false},
		{"three times as slow for a second", append(evenlySpaced(47, 0, 20), evenlySpaced(164, 940, 6)...), 1930, typical, true},
		{"short gap between events", evenlySpaced(47, 0, 20), 1300, typical, false},
		{"hangs for as long as a load of weights takes", evenlySpaced(47, 0, 20), 940 + 900, typical, true},
		{"hangs after two events", evenlySpaced(47, 0, 2), 600, typical, true},
		{"slow, but only by a few ms", evenlySpaced(10, 0, 10), 140, 2 * time.Millisecond, false},
	}
	for _, row := range table {
		p, begin := paceOf(row.events...)
		if got := p.isStraggler(begin.Add(time.Duration(row.now)*time.Millisecond), row.typical); got != row.want {
			t.Errorf("%s: got %v", row.name, got)
		}
	}
}

// The load of the benchmark ksfh-tide-grown, day quiet-1: 340 ms after a completion of 142 events
// started, its replica becomes 3.5 times slower for 8 s. An event takes 47 ms on other replicas,
// and a move costs 80 ms.
func TestLongCompletionLeavesSlowedReplica(t *testing.T) {
	const typical, slow, move = 47, 164, 80
	completionTime := func(moves bool) int {
		p, begin := paceOf()
		now, pace := 0, typical
		for made := 0; made < 142; made++ {
			if now > 340 && now < 8340 && pace == typical && p.eventCount >= 0 {
				pace = slow
			}
			if now >= 8340 {
				pace = typical
			}
			at := begin.Add(time.Duration(now) * time.Millisecond)
			if moves && p.isStraggler(at, typical*time.Millisecond) {
				return now + move + (142-made)*typical
			}
			now += pace
			p.add(begin.Add(time.Duration(now) * time.Millisecond))
		}
		return now
	}
	stays, moved := completionTime(false), completionTime(true)
	if moved > 7500 || stays < 11000 {
		t.Errorf("complete after %d ms if it moves (want at most 7500), after %d ms if it stays (want at least 11000)", moved, stays)
	}
}
