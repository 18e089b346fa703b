package usage

import "time"

const (
	// windowsKept is the number of windows, up to the current one, whose counts are kept. A report is
	// composed until its window ended a minute ago, which is 12 windows of 5 s and the current one.
	windowsKept = 13
	// sendPeriod is the age up to which counts are sent to other daemons. A report is composed 2.5 s
	// after the end of its window and due after 10 s.
	sendPeriod = 30 * time.Second
)

// WindowIndex returns the window of the given length that contains t, a true time. Window 0 begins at
// the start of 1970. It answers reports by daemons that began at different times: all number the same
// windows alike.
func WindowIndex(t time.Time, window time.Duration) int64 {
	ns := t.UnixNano()
	index := ns / int64(window)
	if ns%int64(window) < 0 {
		index--
	}
	return index
}

// isKept reports whether the counts of a window are kept while another one is current. It answers a
// daemon whose estimate of true time was wrong for a while, for example right after its start with a
// wrong wall clock: windows far ahead must not displace the actual ones. The next window is accepted
// because the estimates of two daemons differ a little.
func isKept(index, current int64) bool {
	return index > current-windowsKept && index <= current+1
}

// isRecent reports whether a window ended less than sendPeriod before the given time.
func isRecent(index int64, now time.Time, window time.Duration) bool {
	return index >= WindowIndex(now.Add(-sendPeriod), window)
}
