package trace

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Story is what happened to one request, item or batch.
type Story struct {
	ID     string
	Lines  []Line                   // in order of time
	Shifts map[string]time.Duration // added to the clocks of daemons that were behind their causes
}

// Line is one entry of a story.
type Line struct {
	Entry

	At    time.Duration // since the first entry that names the ID, clocks put right
	About bool          // the entry names the ID or its batch; else it tells of a daemon or replica that took part
}

const (
	// before and after a story, entries about its daemons and replicas belong to it.
	before = 3 * time.Second
	after  = time.Second
)

// Tell returns the story of an ID; without lines if no entry names it.
func Tell(id string, entries []Entry) Story {
	story := Story{ID: id, Shifts: map[string]time.Duration{}}
	c := castOf(id, entries)
	if len(c.daemons) == 0 {
		return story
	}
	story.Shifts = shifts(entries, c.batches)
	at := func(e Entry) time.Time { return e.Time.Add(story.Shifts[e.Daemon]) }
	var first, last time.Time
	for _, e := range entries {
		if c.names(e) {
			if t := at(e); first.IsZero() || t.Before(first) {
				first = t
			}
			if t := at(e); t.After(last) {
				last = t
			}
		}
	}
	for _, e := range entries {
		about := c.about(e)
		t := at(e)
		if about || c.concerns(e) && t.After(first.Add(-before)) && t.Before(last.Add(after)) {
			story.Lines = append(story.Lines, Line{Entry: e, At: t.Sub(first), About: about})
		}
	}
	sort.SliceStable(story.Lines, func(i, j int) bool { return story.Lines[i].At < story.Lines[j].At })
	return story
}

// cast is who took part in a story.
type cast struct {
	id       string
	ids      map[string]bool // the id and those of scoring requests of the item
	batches  map[string]bool
	daemons  map[string]bool
	replicas map[string]bool
}

func castOf(id string, entries []Entry) cast {
	c := cast{id: id, ids: map[string]bool{id: true}, batches: map[string]bool{}, daemons: map[string]bool{}, replicas: map[string]bool{}}
	for _, e := range entries { // the scoring request of the item, before its failures are looked for
		if e.text("item") == id && e.text("request") != "" {
			c.ids[e.text("request")] = true
		}
	}
	for _, e := range entries {
		if !c.names(e) {
			continue
		}
		c.daemons[e.Daemon] = true
		if batch := e.text("batch"); batch != "" {
			c.batches[batch] = true
		}
		if replica := e.text("replica"); replica != "" {
			c.replicas[replica] = true
		}
	}
	for _, e := range entries {
		if c.batches[e.text("batch")] && !c.ofOneItem(e) && e.Event != event.BatchEnded.Number {
			c.daemons[e.Daemon] = true
		}
	}
	return c
}

// names reports whether an entry names the ID.
func (c cast) names(e Entry) bool {
	return c.ids[e.text("request")] || e.text("item") == c.id || e.text("batch") == c.id || e.lists("items", c.id)
}

// ofOneItem reports whether an entry is about a single item or request.
func (c cast) ofOneItem(e Entry) bool { return e.text("item") != "" || e.text("request") != "" }

// about reports whether an entry belongs to the story by what it names: the ID, or its
// batch as a whole. Of a batch's items only what went wrong is told.
func (c cast) about(e Entry) bool {
	batch := e.text("batch")
	if !c.batches[batch] {
		return c.names(e)
	}
	switch {
	case e.Event == event.BatchListed.Number && batch != c.id:
		return e.lists("items", c.id) // not the chunks of other items
	case !c.ofOneItem(e):
		return true
	case batch == c.id:
		return e.Event == event.BatchItemMoved.Number || e.Event == event.BatchWaits.Number || e.Level != "info"
	}
	return c.names(e) || e.Event == event.BatchWaits.Number
}

// concerns reports whether an entry tells what a daemon of the story went through or knew
// of its replicas, or what a replica was ordered, without being about another request.
func (c cast) concerns(e Entry) bool {
	if c.ofOneItem(e) || e.text("batch") != "" {
		return false
	}
	switch replica := e.text("replica"); {
	case e.Event == event.WaveOrder.Number || e.Event == event.WaveOrderUnanswered.Number:
		return c.replicas[replica]
	case replica != "":
		return c.replicas[replica] && c.daemons[e.Daemon]
	}
	return c.daemons[e.Daemon]
}
