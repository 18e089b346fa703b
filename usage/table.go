package usage

import "maps"

const (
	// maxOrganisations bounds the organisations that are counted in a window.
	maxOrganisations = 4096
	// maxEntries bounds the counts in a table of all daemons, about 15 MB. At 1,800 requests per second
	// at most 117,000 requests begin in windowsKept windows of 5 s, each in one count.
	maxEntries = 200_000
)

// counterID identifies the process that counted. A restarted daemon counts from zero again, so its
// earlier counts are kept apart and added.
type counterID struct {
	daemon      string
	incarnation int64
}

// windowCounts holds the counts of one window by process and organisation.
type windowCounts map[counterID]map[string]int64

// merge keeps the larger of the known and the received count. It answers messages that are repeated
// or arrive late and out of order, and the same counts in the tables of several daemons: a count of a
// process only increases, so the larger number is the newer one and nothing is counted twice. It
// reports whether the count is new and whether it fits the bound.
func (w windowCounts) merge(counter counterID, organisation string, count int64) (added, fits bool) {
	counts := w[counter]
	known, exists := counts[organisation]
	switch {
	case !exists && len(counts) >= maxOrganisations:
		return false, false
	case counts == nil:
		counts = map[string]int64{}
		w[counter] = counts
	}
	counts[organisation] = max(known, count)
	return !exists, true
}

// totals adds the counts of all processes by organisation.
func (w windowCounts) totals() map[string]int64 {
	totals := map[string]int64{}
	for _, counts := range w {
		for organisation, count := range counts {
			totals[organisation] += count
		}
	}
	return totals
}

// table holds the counts that this daemon received, by window. It is not safe for concurrent use.
type table struct {
	windows map[int64]windowCounts
	entries int
}

func newTable() *table { return &table{windows: map[int64]windowCounts{}} }

// merge merges a count and reports whether it fits the bounds.
func (t *table) merge(window int64, counter counterID, organisation string, count int64) bool {
	counts := t.windows[window]
	if t.entries >= maxEntries {
		if _, exists := counts[counter][organisation]; !exists {
			return false
		}
	}
	if counts == nil {
		counts = windowCounts{}
		t.windows[window] = counts
	}
	added, fits := counts.merge(counter, organisation, count)
	if added {
		t.entries++
	}
	return fits
}

// prune deletes the windows that are not kept.
func (t *table) prune(current int64) {
	maps.DeleteFunc(t.windows, func(index int64, counts windowCounts) bool {
		if isKept(index, current) {
			return false
		}
		for _, byOrganisation := range counts {
			t.entries -= len(byOrganisation)
		}
		return true
	})
}
