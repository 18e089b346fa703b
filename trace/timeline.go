package trace

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Timeline is the ordered list of log entries about one request, item or batch.
type Timeline struct {
	ID           string
	Lines        []Line                   // ordered by time
	ClockOffsets map[string]time.Duration // offsets added to the clocks of daemons, by daemon ID
}

// Line is one entry of a Timeline.
type Line struct {
	Entry

	Elapsed time.Duration // since the first entry that contains the ID, with corrected clocks
	Direct  bool          // the entry contains the ID or concerns its batch; if false, it is context about a participating daemon or replica
}

const (
	// Entries about participating daemons and replicas are included this long before the
	// first and after the last entry that contains the ID.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
)

// BuildTimeline collects the entries about an ID. The result has no lines if no entry contains
// the ID.
func BuildTimeline(id string, entries []Entry) Timeline {
	timeline := Timeline{ID: id, ClockOffsets: map[string]time.Duration{}}
	p := findParticipants(id, entries)
	if len(p.daemons) == 0 {
		return timeline
	}
	timeline.ClockOffsets = clockOffsets(entries, p.batches)
	correctedTime := func(e Entry) time.Time { return e.Time.Add(timeline.ClockOffsets[e.Daemon]) }
	var first, last time.Time
	for _, e := range entries {
		if p.mentionsID(e) {
			if t := correctedTime(e); first.IsZero() || t.Before(first) {
				first = t
			}
			if t := correctedTime(e); t.After(last) {
				last = t
			}
		}
	}
	for _, e := range entries {
		direct := p.isDirect(e)
		t := correctedTime(e)
		if direct || p.isContext(e) && t.After(first.Add(-contextBefore)) && t.Before(last.Add(contextAfter)) {
			timeline.Lines = append(timeline.Lines, Line{Entry: e, Elapsed: t.Sub(first), Direct: direct})
		}
	}
	sort.SliceStable(timeline.Lines, func(i, j int) bool { return timeline.Lines[i].Elapsed < timeline.Lines[j].Elapsed })
	return timeline
}

// participants are the requests, batches, daemons and replicas of a timeline.
type participants struct {
	id       string
	ids      map[string]bool // the ID and the IDs of the item's scoring requests
	batches  map[string]bool
	daemons  map[string]bool
	replicas map[string]bool
}

func findParticipants(id string, entries []Entry) participants {
	p := participants{id: id, ids: map[string]bool{id: true}, batches: map[string]bool{}, daemons: map[string]bool{}, replicas: map[string]bool{}}
	for _, e := range entries { // collects the scoring requests of the item first: their failures carry only the request ID
		if e.stringField("item") == id && e.stringField("request") != "" {
			p.ids[e.stringField("request")] = true
		}
	}
	for _, e := range entries {
		if !p.mentionsID(e) {
			continue
		}
		p.daemons[e.Daemon] = true
		if batch := e.stringField("batch"); batch != "" {
			p.batches[batch] = true
		}
		if replica := e.stringField("replica"); replica != "" {
			p.replicas[replica] = true
		}
	}
	for _, e := range entries {
		if p.batches[e.stringField("batch")] && !p.isSingleItem(e) && e.Event != event.BatchEnded.Number {
			p.daemons[e.Daemon] = true
		}
	}
	return p
}

// mentionsID reports whether an entry contains the ID or that of a scoring request.
func (p participants) mentionsID(e Entry) bool {
	return p.ids[e.stringField("request")] || e.stringField("item") == p.id || e.stringField("batch") == p.id || e.listContains("items", p.id)
}

// isSingleItem reports whether an entry is about a single item or request.
func (p participants) isSingleItem(e Entry) bool {
	return e.stringField("item") != "" || e.stringField("request") != ""
}

// isDirect reports whether an entry is about the ID or about its batch as a whole. Of the
// items of a traced batch, only moves, waits and problems are included.
func (p participants) isDirect(e Entry) bool {
	batch := e.stringField("batch")
	if !p.batches[batch] {
		return p.mentionsID(e)
	}
	switch {
	case e.Event == event.BatchListed.Number && batch != p.id:
		return e.listContains("items", p.id) // excludes chunks without this item
	case !p.isSingleItem(e):
		return true
	case batch == p.id:
		return e.Event == event.BatchItemMoved.Number || e.Event == event.BatchItemsWaiting.Number || e.Level != "info"
	}
	return p.mentionsID(e) || e.Event == event.BatchItemsWaiting.Number
}

// isContext reports whether an entry is not about a request, item or batch, but about a
// participating daemon, about such a daemon's view of a participating replica, or about a
// weight order to a participating replica.
func (p participants) isContext(e Entry) bool {
	if p.isSingleItem(e) || e.stringField("batch") != "" {
		return false
	}
	switch replica := e.stringField("replica"); {
	case e.Event == event.WaveOrderSent.Number || e.Event == event.WaveOrderResponseMissing.Number:
		return p.replicas[replica]
	case replica != "":
		return p.replicas[replica] && p.daemons[e.Daemon]
	}
	return p.daemons[e.Daemon]
}
