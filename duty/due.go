package duty

import (
	"sort"
	"time"
)

const (
	// composeDelay is the time from the end of a window until its report is composed. The counts of
	// all daemons have arrived by then: they are sent 300 ms after a change and repeated on failure.
	composeDelay = 2500 * time.Millisecond
	// maxReportAge is the time from the end of a window after which its report is given up.
	maxReportAge = time.Minute
	// keptWindows is the number of windows whose reports are kept in the store.
	keptWindows = 12
)

// windowAt returns the window that contains t.
func windowAt(t time.Time, length time.Duration) int64 {
	return t.UnixMilli() / length.Milliseconds()
}

// windowEnd returns the end of a window.
func windowEnd(window int64, length time.Duration) time.Time {
	return time.UnixMilli((window + 1) * length.Milliseconds())
}

// windowsToCompose returns the windows from first on that ended and have no report, the oldest first.
// It answers times in which nothing could be stored, because the store was down or there was no
// holder: the windows are caught up together, in one write. Windows that are too old are left out.
func windowsToCompose(now time.Time, length time.Duration, first int64, stored []storedReport) []int64 {
	has := map[int64]bool{}
	for _, r := range stored {
		has[r.Window] = true
	}
	newest := windowAt(now.Add(-composeDelay), length) - 1
	var windows []int64
	for window := max(first, newest-keptWindows+1); window <= newest; window++ {
		if !has[window] && now.Sub(windowEnd(window, length)) < maxReportAge {
			windows = append(windows, window)
		}
	}
	return windows
}

// reportsToSend returns the reports that are not accepted yet, in the order in which they are to be
// sent. It answers an outage of the platform's API, after which several reports wait while only a few
// calls per second are allowed: those that can still arrive in time come first, then the late ones,
// each the oldest first. Reports whose window is too old are left out.
func reportsToSend(now time.Time, length, due time.Duration, reports []storedReport) []storedReport {
	var waiting []storedReport
	for _, r := range reports {
		if !r.Accepted && now.Sub(windowEnd(r.Window, length)) < maxReportAge {
			waiting = append(waiting, r)
		}
	}
	late := func(r storedReport) bool { return now.Sub(windowEnd(r.Window, length)) > due }
	sort.Slice(waiting, func(a, b int) bool {
		if late(waiting[a]) != late(waiting[b]) {
			return late(waiting[b])
		}
		return waiting[a].Window < waiting[b].Window
	})
	return waiting
}
