package usage

import (
	"testing"
	"time"
)

func TestWindowIndex(t *testing.T) {
	table := []struct {
		at     time.Time
		length time.Duration
		want   int64
	}{
		{time.Unix(0, 0), 5 * time.Second, 0},
		{time.Unix(4, 999_999_999), 5 * time.Second, 0},
		{time.Unix(5, 0), 5 * time.Second, 1},
		{time.Unix(-1, 0), 5 * time.Second, -1},
		{time.Unix(-5, 0), 5 * time.Second, -1},
		{time.Unix(353445120*5, 0), 5 * time.Second, 353445120},
		{time.Unix(1, 0), 250 * time.Millisecond, 4},
	}
	for _, c := range table {
		if got := WindowIndex(c.at, c.length); got != c.want {
			t.Errorf("window of %v at length %v: %d, want %d", c.at, c.length, got, c.want)
		}
	}
}

func TestKeptWindows(t *testing.T) {
	kept := 0
	for index := int64(0); index < 200; index++ {
		if isKept(index, 100) {
			kept++
		}
	}
	if kept != windowsKept+1 || !isKept(100, 100) || !isKept(101, 100) || isKept(102, 100) {
		t.Errorf("%d windows are kept", kept)
	}
}

// Guards against counts that are dropped from the messages before their window's report is composed.
func TestWindowsOfTheSendPeriodAreRecent(t *testing.T) {
	now := time.Unix(1000, 0)
	for age := time.Duration(0); age <= sendPeriod; age += time.Second {
		if !isRecent(WindowIndex(now.Add(-age), 5*time.Second), now, 5*time.Second) {
			t.Errorf("the window of %v ago is not recent", age)
		}
	}
	if isRecent(WindowIndex(now.Add(-sendPeriod-6*time.Second), 5*time.Second), now, 5*time.Second) {
		t.Error("a window that ended before the send period is recent")
	}
}

// Guards against reports that can't be composed after an outage: package duty asks for each window that
// ended less than a minute ago, and a failure delays those of the other windows.
func TestWindowsOfTheLastMinuteAreKept(t *testing.T) {
	now := time.Unix(1767225600, 0)
	for ended := time.Duration(0); ended < time.Minute; ended += 100 * time.Millisecond {
		index := WindowIndex(now.Add(-ended), 5*time.Second) - 1 // ended at least this long ago
		if end := time.Unix(0, (index+1)*int64(5*time.Second)); now.Sub(end) < time.Minute && !isKept(index, WindowIndex(now, 5*time.Second)) {
			t.Fatalf("the window that ended %v ago is not kept", now.Sub(end))
		}
	}
}
