package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// simulateSaves simulates completions that all grow from the start for a period. It returns the
// number of writes and the time lost if the daemon is lost at the worst moment.
func simulateSaves(total time.Duration) (writes int, worst time.Duration) {
	var lastSave time.Duration
	for now := time.Duration(0); now < total; now += saveCheckInterval {
		worst = max(worst, now-lastSave)
		if shouldSave(now, now-lastSave) {
			writes, lastSave = writes+1, now
		}
	}
	return writes, worst
}

// A loss costs a step of seconds at most two seconds and a step of an hour at most an eighth,
// with few writes in both cases.
func TestSavedCompletionsBoundLostTime(t *testing.T) {
	for _, c := range []struct {
		total, worst time.Duration
		writes       int
	}{
		{1500 * time.Millisecond, 1500 * time.Millisecond, 0},
		{6500 * time.Millisecond, 2500 * time.Millisecond, 3},
		{time.Minute, 9 * time.Second, 20},
		{time.Hour, 8 * time.Minute, 60},
	} {
		writes, worst := simulateSaves(c.total)
		if worst > c.worst || writes > c.writes {
			t.Errorf("completions of %v: %d writes, at worst %v lost; want at most %d and %v", c.total, writes, worst, c.writes, c.worst)
		}
	}
}

func TestLongestCompletionsAreSavedWithinSizeLimit(t *testing.T) {
	completions := map[string]Completion{"none": {}}
	for n := 1; n <= 40; n++ {
		completions[fmt.Sprint(n)] = Completion{Events: strings.Split(strings.Repeat(strings.Repeat("x", 1000)+" ", n), " ")[:n]}
	}
	chosen := selectCompletions(completions, maxSavedBytes)
	size, least := 0, 41
	for _, completion := range chosen {
		size, least = size+len(completion.Events)*(1000+eventOverheadBytes), min(least, len(completion.Events))
	}
	if size > maxSavedBytes || least != 41-len(chosen) || len(chosen) < 5 || least == 1 {
		t.Errorf("%d completions of %d bytes selected, the shortest of %d events", len(chosen), size, least)
	}
}
