package batch

import (
	"testing"
	"time"
)

// pattern is how a stream's events come: at times in ms after the request.
func record(at ...int) (paceRecord, time.Time) {
	begin := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	p := paceRecord{sent: begin}
	for _, ms := range at {
		p.add(begin.Add(time.Duration(ms) * time.Millisecond))
	}
	return p, begin
}

func every(ms, from, n int) []int {
	var at []int
	for i := range n {
		at = append(at, from+(i+1)*ms)
	}
	return at
}

func TestStragglingTexts(t *testing.T) {
	const usual = 47 * time.Millisecond
	table := []struct {
		name   string
		events []int
		now    int
		usual  time.Duration
		want   bool
	}{
		{"nothing to compare with", nil, 3000, 0, false},
		{"first event is on its way", nil, 350, usual, false},
		{"queued in the replica", nil, 450, usual, true},
		{"a slow kind of engine takes long for the first event", nil, 1000, 200 * time.Millisecond, false},
		{"usual pace", every(47, 0, 30), 1430, usual, false},
		{"a full batch is a little slower", every(60, 0, 30), 1830, usual, false},
		{"three times as slow", every(150, 0, 10), 1510, usual, true},
		{"three times as slow since a moment", append(every(47, 0, 20), every(164, 940, 3)...), 1440, usual, false},
		{"three times as slow for a second", append(every(47, 0, 20), every(164, 940, 6)...), 1930, usual, true},
		{"a short pause", every(47, 0, 20), 1300, usual, false},
		{"it stands still for as long as a load takes", every(47, 0, 20), 940 + 900, usual, true},
		{"it began and stands still", every(47, 0, 2), 600, usual, true},
		{"slow by little time", every(10, 0, 10), 140, 2 * time.Millisecond, false},
	}
	for _, row := range table {
		p, begin := record(row.events...)
		if got := p.straggles(begin.Add(time.Duration(row.now)*time.Millisecond), row.usual); got != row.want {
			t.Errorf("%s: %v", row.name, got)
		}
	}
}

// The load of ksfh-tide-grown quiet-1: a replica turns 3.5 times slower 340 ms after a text
// of 142 events began, for 8 s. Elsewhere an event takes 47 ms; a move costs 80 ms.
func TestLongTextLeavesAReplicaThatTurnsSlow(t *testing.T) {
	const usual, slow, move = 47, 164, 80
	whole := func(moves bool) int {
		p, begin := record()
		now, pace := 0, usual
		for made := 0; made < 142; made++ {
			if now > 340 && now < 8340 && pace == usual && p.made >= 0 {
				pace = slow
			}
			if now >= 8340 {
				pace = usual
			}
			at := begin.Add(time.Duration(now) * time.Millisecond)
			if moves && p.straggles(at, usual*time.Millisecond) {
				return now + move + (142-made)*usual
			}
			now += pace
			p.add(begin.Add(time.Duration(now) * time.Millisecond))
		}
		return now
	}
	stays, moved := whole(false), whole(true)
	if moved > 7500 || stays < 11000 {
		t.Errorf("whole after %d ms if it moves, %d if it stays; due after 7500", moved, stays)
	}
}
