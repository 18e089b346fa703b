package batch

import (
	"testing"
	"time"
)

// playSlowReplicas returns how often an item of some events is sent before it is complete, if each
// event takes perEvent at every replica, or -1 if it is not complete after 100 times.
func playSlowReplicas(events int, perEvent time.Duration) int {
	timeouts := 0
	for sent := 1; sent <= 100; sent++ {
		for wait := firstEventTimeout; events > 0 && perEvent <= waitForEvent(wait, timeouts); wait = eventTimeout {
			events--
		}
		if events == 0 {
			return sent
		}
		timeouts++
	}
	return -1
}

// Replicas that generate slowly but steadily: an item must be complete after a few times, also if
// each of its events takes longer than the fixed wait.
func TestSlowButSoundCompletionsEnd(t *testing.T) {
	for _, row := range []struct {
		perEvent time.Duration
		maxSent  int
	}{
		{200 * time.Millisecond, 1}, {2 * time.Second, 1}, {3 * time.Second, 5}, {5 * time.Second, 6}, {10 * time.Second, 7}, {30 * time.Second, 8},
	} {
		if got := playSlowReplicas(20, row.perEvent); got < 1 || got > row.maxSent {
			t.Errorf("events of %v: sent %d times, want 1 to %d", row.perEvent, got, row.maxSent)
		}
	}
}

// Replicas that hang: the first ones cost an item no more than the fixed wait, and no number of them
// makes the wait longer than a bound.
func TestWaitForEventIsBounded(t *testing.T) {
	for timeouts := range fixedTimeouts + 1 {
		if got := waitForEvent(firstEventTimeout, timeouts); got != firstEventTimeout {
			t.Errorf("after %d timeouts the wait is %v", timeouts, got)
		}
	}
	if got := waitForEvent(eventTimeout, 1000); got > 2*time.Minute {
		t.Errorf("the longest wait is %v", got)
	}
}
