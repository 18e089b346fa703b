package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// eventsPerCompletion is the number of events of each completion and stream.
const eventsPerCompletion = 12

// cancelGracePeriod is the time after the end of a batch during which its items may still
// begin to run.
const cancelGracePeriod = 3 * time.Second

// result is an entry of a batch's result list as a trainer reads it.
type result struct {
	ID       string `json:"Id"`
	State    string
	Output   string
	Versions []int64
	Score    string
}

// checker compares what callers and trainers observe with what the replicas ran. It keeps the
// first broken promise.
type checker struct {
	replicas func() []*fakereplica.Replica // all replicas of the run, removed ones included

	mu                sync.Mutex
	firstBroken       string
	responseCount     int
	reportedNotRun    map[string]bool     // request IDs that were reported as not run
	nonIdempotent     map[string]bool     // IDs of non-idempotent requests
	resultsByBatch    map[string][]result // by batch; each result as first read
	endedItems        map[string]endedItem
	newestConfigs     map[string]int // by process: newest configuration version that it has served
	completeStepCount int

	keys               []*apiKey // in the order in which they were added
	sent               map[string]sentRequest
	runsByOrganisation map[string]int // of callers' requests
	completed          []completedRequest
}

// endedItem is an item that was not yet listed when its batch ended.
type endedItem struct {
	endedAt        time.Time
	runsAfterGrace int // runs at the first check after cancelGracePeriod; -1 before it
}

func newChecker(replicas func() []*fakereplica.Replica) *checker {
	return &checker{
		replicas: replicas, reportedNotRun: map[string]bool{}, nonIdempotent: map[string]bool{}, resultsByBatch: map[string][]result{},
		endedItems: map[string]endedItem{}, newestConfigs: map[string]int{}, sent: map[string]sentRequest{}, runsByOrganisation: map[string]int{},
	}
}

// reportBroken records a broken promise unless one is recorded already.
func (c *checker) reportBroken(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstBroken == "" {
		c.firstBroken = fmt.Sprintf(format, values...)
	}
}

// brokenPromise returns the first broken promise, "" if there is none.
func (c *checker) brokenPromise() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstBroken
}

func (c *checker) responses() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseCount
}

// countRuns returns how often a request ran, over all replicas.
func (c *checker) countRuns(id string) int {
	total := 0
	for _, r := range c.replicas() {
		total += r.Runs(id)
	}
	return total
}

// checkPlain checks a complete response to a plain request.
func (c *checker) checkPlain(id, body string, status int, respBody string) {
	if status == 503 {
		c.mu.Lock()
		c.reportedNotRun[id] = true
		c.mu.Unlock()
	}
	if status != 200 {
		return
	}
	if respBody != "answer to "+body {
		c.reportBroken("request %s: response %.60q to body %q", id, respBody, body)
	}
	c.mu.Lock()
	c.responseCount++
	c.mu.Unlock()
}

// checkStream checks the events of a stream that was requested from the event following after.
// complete is true if the stream ended without an error. It returns the last event.
func (c *checker) checkStream(id, body string, after int, complete bool) int {
	for _, block := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(block, "\n\n") {
			break // cut within an event
		}
		var n int
		for _, line := range strings.Split(block, "\n") {
			if _, err := fmt.Sscanf(line, "id: %d", &n); err == nil && n != after+1 {
				c.reportBroken("stream %s: event %d after %d", id, n, after)
				return after
			}
			if data, ok := strings.CutPrefix(line, "data: "); ok && data != fakereplica.EventData(id, n) {
				c.reportBroken("stream %s: event %d is %.60q", id, n, data)
			}
		}
		after = n
	}
	if complete && after != eventsPerCompletion {
		c.reportBroken("stream %s ended without an error after event %d of %d", id, after, eventsPerCompletion)
	}
	return after
}

// checkPage checks a page of results, which starts at position from, against the results read
// before.
func (c *checker) checkPage(batch string, from int, results []result) {
	c.mu.Lock()
	known := c.resultsByBatch[batch]
	var changed string
	for i, r := range results {
		position := from + i
		switch {
		case position < len(known) && (known[position].ID != r.ID || known[position].Output != r.Output || known[position].Score != r.Score):
			changed = fmt.Sprintf("batch %s: position %d was %s and is %s", batch, position, known[position].ID, r.ID)
		case position == len(known):
			if slices.ContainsFunc(known, func(k result) bool { return k.ID == r.ID }) {
				changed = fmt.Sprintf("batch %s: item %s is listed twice", batch, r.ID)
			}
			known = append(known, r)
		}
	}
	c.resultsByBatch[batch] = known
	c.mu.Unlock()
	if changed != "" {
		c.reportBroken("%s", changed)
	}
}

// resultCount returns how many results of a batch were read.
func (c *checker) resultCount(batch string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.resultsByBatch[batch])
}

// checkComplete checks a batch after all its items are listed.
func (c *checker) checkComplete(batch string, ids []string, minVersion int64) {
	c.mu.Lock()
	results := c.resultsByBatch[batch]
	c.completeStepCount++
	c.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range results {
		seen[r.ID] = true
		var pieces []string
		for n := 1; n <= eventsPerCompletion; n++ {
			pieces = append(pieces, fakereplica.EventData(r.ID, n))
		}
		switch {
		case r.State != "completed":
			continue // an item may fail; its completion is not used
		case r.Output != strings.Join(pieces, "\n"):
			c.reportBroken("item %s: output %.80q", r.ID, r.Output)
		case r.Score != "stamp-score-"+r.ID:
			c.reportBroken("item %s: score %q", r.ID, r.Score)
		case len(r.Versions) == 0 || slices.Min(r.Versions) < minVersion:
			c.reportBroken("item %s: versions %v, oldest allowed %d", r.ID, r.Versions, minVersion)
		}
	}
	for _, id := range ids {
		if !seen[id] {
			c.reportBroken("batch %s: item %s is missing", batch, id)
		}
	}
}

// completeSteps returns how many steps are complete.
func (c *checker) completeSteps() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeStepCount
}

// recordEnded records that a batch has ended; items are those that were not yet listed.
func (c *checker) recordEnded(items []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range items {
		c.endedItems[id] = endedItem{endedAt: time.Now(), runsAfterGrace: -1}
	}
}

// checkRoute checks that a process does not return to an older configuration. found reports
// whether it served the route that the configuration version adds.
func (c *checker) checkRoute(process string, version int, found bool) {
	c.mu.Lock()
	newest := c.newestConfigs[process]
	if found {
		c.newestConfigs[process] = max(newest, version)
	}
	c.mu.Unlock()
	if !found && version <= newest {
		c.reportBroken("process %s: configuration %d after %d", process, version-1, newest)
	}
}

// checkRunCounts checks the replicas' run counts: no run of a request that was reported as not
// run, at most one run of a non-idempotent request, no late run of an ended batch.
func (c *checker) checkRunCounts() {
	c.mu.Lock()
	var notRun, nonIdempotent []string
	for id := range c.reportedNotRun {
		notRun = append(notRun, id)
	}
	for id := range c.nonIdempotent {
		nonIdempotent = append(nonIdempotent, id)
	}
	c.mu.Unlock()
	for _, id := range notRun {
		if n := c.countRuns(id); n > 0 {
			c.reportBroken("request %s was reported as not run but ran %d times", id, n)
		}
	}
	for _, id := range nonIdempotent {
		if n := c.countRuns(id); n > 1 {
			c.reportBroken("non-idempotent request %s ran %d times", id, n)
		}
	}
	c.checkEndedItems()
}

func (c *checker) checkEndedItems() {
	c.mu.Lock()
	ended := make(map[string]endedItem, len(c.endedItems))
	for id, e := range c.endedItems {
		ended[id] = e
	}
	c.mu.Unlock()
	for id, e := range ended {
		if time.Since(e.endedAt) < cancelGracePeriod {
			continue
		}
		n := c.countRuns(id)
		if e.runsAfterGrace < 0 {
			e.runsAfterGrace = n
			c.mu.Lock()
			c.endedItems[id] = e
			c.mu.Unlock()
		}
		if n > e.runsAfterGrace {
			c.reportBroken("item %s of a batch that ended at %s began to run after the grace period", id, e.endedAt.Format("15:04:05.000"))
		}
	}
}
