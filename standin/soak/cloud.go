package soak

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	usageWindow = time.Second
	usageDue    = 10 * time.Second
	calmWindows = 3
	// clockMargin is left at both ends of the calm windows: daemons estimate true time.
	clockMargin = 250 * time.Millisecond
)

// completedRequest is a call with a key that was answered with status 200.
type completedRequest struct {
	organisation    string
	sentAt, endedAt time.Time
}

// cloud is the platform's API. It checks all calls that reach it, refused ones included.
type cloud struct {
	*checker

	mu      sync.Mutex
	bodies  map[int64]string // by window, accepted or not
	holders map[int64]string // by token
	highest int64            // token
	reports map[int64]map[string]int
}

func newCloud(c *checker) *cloud {
	return &cloud{checker: c, bodies: map[int64]string{}, holders: map[int64]string{}, reports: map[int64]map[string]int{}}
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // cut by a fault of the link
	}
	var report struct {
		WindowID int64 `json:"WindowId"`
		Counts   map[string]int
	}
	token, err := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	holder := r.Header.Get("Lease-Holder")
	if r.URL.Path != "/usage" || json.Unmarshal(body, &report) != nil || err != nil || holder == "" {
		c.reportBroken("malformed call of the platform's API: %s %q from %q, token %q", r.URL.Path, body, holder, r.Header.Get("Fence-Token"))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous, found := c.holders[token]; found && previous != holder {
		c.reportBroken("token %d is used by %s and %s", token, previous, holder)
	}
	c.holders[token] = holder
	if previous, found := c.bodies[report.WindowID]; found && previous != string(body) {
		c.reportBroken("window %d: report %s of %s after %s", report.WindowID, body, holder, previous)
	}
	c.bodies[report.WindowID] = string(body)
	if token < c.highest {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest = token
	c.reports[report.WindowID] = report.Counts
}

// counted returns the accepted counts of the windows from first to last by organisation, and how
// many of these windows have no report.
func (c *cloud) counted(first, last int64) (counts map[string]int, missing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, missing = map[string]int{}, int(last-first+1)
	for window, report := range c.reports {
		if window < first || window > last {
			continue
		}
		missing--
		for organisation, n := range report {
			counts[organisation] += n
		}
	}
	return counts, missing
}

// runCalmWindows waits until calmWindows windows have passed without faults, and returns the first
// and the last of them. It first waits for recoveryTimeout, which all recoveries may take.
func (r *run) runCalmWindows(ctx context.Context, faultsEnded time.Time) (first, last int64) {
	sleepContext(ctx, time.Until(faultsEnded.Add(recoveryTimeout)))
	first = time.Now().UnixNano()/int64(usageWindow) + 1
	last = first + calmWindows - 1
	sleepContext(ctx, time.Until(windowStart(last+1)))
	return first, last
}

func windowStart(window int64) time.Time { return time.Unix(0, window*int64(usageWindow)) }

// checkUsage waits for the reports of the calm windows. It checks that they contain all requests
// that ran completely within these windows, and that all reports together contain no more requests
// than ran.
func (r *run) checkUsage(ctx context.Context, first, last int64) {
	counts, missing := r.cloud.counted(first, last)
	for missing > 0 && time.Now().Before(windowStart(last+1).Add(usageDue)) && ctx.Err() == nil {
		sleepContext(ctx, pollInterval)
		counts, missing = r.cloud.counted(first, last)
	}
	if missing > 0 {
		r.checker.reportBroken("%d of the windows %d to %d, all without faults, have no report %v after their end", missing, first, last, usageDue)
		return
	}
	all, _ := r.cloud.counted(0, last)
	for _, n := range all {
		r.reported += n
	}
	r.checker.checkCounts(counts, all, windowStart(first).Add(clockMargin), windowStart(last+1).Add(-clockMargin))
}

// checkCounts checks the counts of the calm windows, which contain the times from start to end, and
// those of all windows.
func (c *checker) checkCounts(calm, all map[string]int, start, end time.Time) {
	c.mu.Lock()
	completed, ran := map[string]int{}, map[string]int{}
	for _, r := range c.completed {
		if !r.sentAt.Before(start) && !r.endedAt.After(end) {
			completed[r.organisation]++
		}
	}
	for _, name := range organisations {
		ran[name] = c.runsByOrganisation[name]
	}
	c.mu.Unlock()
	for _, name := range organisations {
		if calm[name] < completed[name] {
			c.reportBroken("organisation %s: %d requests reported for windows without faults, in which at least %d ran", name, calm[name], completed[name])
		}
		if all[name] > ran[name] {
			c.reportBroken("organisation %s: %d requests reported, %d ran", name, all[name], ran[name])
		}
	}
}
