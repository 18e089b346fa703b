package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// lostTime plays texts that all grow from the start for a time and returns how many writes
// were made and how long a loss of the daemon at the worst moment would set them back.
func lostTime(total time.Duration) (writes int, worst time.Duration) {
	var last time.Duration
	for now := time.Duration(0); now < total; now += saveLook {
		worst = max(worst, now-last)
		if worthSaving(now, now-last) {
			writes, last = writes+1, now
		}
	}
	return writes, worst
}

// TestSavedTextsBoundWhatALossCosts: a step of seconds loses two seconds at the most, one of an
// hour an eighth, with few writes either way.
func TestSavedTextsBoundWhatALossCosts(t *testing.T) {
	for _, c := range []struct {
		total, worst time.Duration
		writes       int
	}{
		{1500 * time.Millisecond, 1500 * time.Millisecond, 0},
		{6500 * time.Millisecond, 2500 * time.Millisecond, 3},
		{time.Minute, 9 * time.Second, 20},
		{time.Hour, 8 * time.Minute, 60},
	} {
		writes, worst := lostTime(c.total)
		if worst > c.worst || writes > c.writes {
			t.Errorf("texts of %v: %d writes, %v lost at the worst; want %d, %v", c.total, writes, worst, c.writes, c.worst)
		}
	}
}

func TestLongestTextsAreSavedAsFarAsTheyFit(t *testing.T) {
	texts := map[string]Text{"none": {}}
	for n := 1; n <= 40; n++ {
		texts[fmt.Sprint(n)] = Text{Events: strings.Split(strings.Repeat(strings.Repeat("x", 1000)+" ", n), " ")[:n]}
	}
	chosen := chooseTexts(texts)
	size, least := 0, 41
	for _, text := range chosen {
		size, least = size+len(text.Events)*(1000+eventBytes), min(least, len(text.Events))
	}
	if size > saveBytes || least != 41-len(chosen) || len(chosen) < 5 || least == 1 {
		t.Errorf("%d texts of %d bytes, the shortest of %d events", len(chosen), size, least)
	}
}
