package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// events is the length of each text.
const events = 12

// cancelTime is how long after the end of a batch runs of it may begin.
const cancelTime = 3 * time.Second

// result is an entry of a batch's log as a trainer reads it.
type result struct {
	ID       string `json:"Id"`
	State    string
	Output   string
	Versions []int64
	Score    string
}

// judge compares what callers and trainers saw with what the replicas did. It keeps the
// first broken promise.
type judge struct {
	replicas func() []*fakereplica.Replica // all that ever were

	mu       sync.Mutex
	broken   string
	answered int
	notRun   map[string]bool     // ids that were said not to have run
	strict   map[string]bool     // ids of non-idempotent requests
	results  map[string][]result // by batch, as read first
	ended    map[string]endedItem
	config   map[string]int // by process: newest configuration that it showed
	done     int            // steps that became whole
}

// endedItem is an item of an ended batch that was not listed then.
type endedItem struct {
	at   time.Time
	runs int // cancelTime after the end; -1 until then
}

func newJudge(all func() []*fakereplica.Replica) *judge {
	return &judge{
		replicas: all, notRun: map[string]bool{}, strict: map[string]bool{}, results: map[string][]result{},
		ended: map[string]endedItem{}, config: map[string]int{},
	}
}

// breaks records a broken promise.
func (j *judge) breaks(format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.broken == "" {
		j.broken = fmt.Sprintf(format, values...)
	}
}

// verdict returns the first broken promise, "" if there is none.
func (j *judge) verdict() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken
}

func (j *judge) answers() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.answered
}

// runs counts the runs of a request at all replicas.
func (j *judge) runs(id string) int {
	total := 0
	for _, r := range j.replicas() {
		total += r.Runs(id)
	}
	return total
}

// plain checks a whole answer to a plain request.
func (j *judge) plain(id, body string, status int, answer string) {
	if status == 503 {
		j.mu.Lock()
		j.notRun[id] = true
		j.mu.Unlock()
	}
	if status != 200 {
		return
	}
	if answer != "answer to "+body {
		j.breaks("request %s: answer %.60q to %q", id, answer, body)
	}
	j.mu.Lock()
	j.answered++
	j.mu.Unlock()
}

// stream checks the events of a stream that was asked for after an event. whole says that
// it ended without an error. It returns the last event.
func (j *judge) stream(id, text string, after int, whole bool) int {
	for _, block := range strings.SplitAfter(text, "\n\n") {
		if !strings.HasSuffix(block, "\n\n") {
			break // cut within an event
		}
		var n int
		for _, line := range strings.Split(block, "\n") {
			if _, err := fmt.Sscanf(line, "id: %d", &n); err == nil && n != after+1 {
				j.breaks("stream %s: event %d after %d", id, n, after)
				return after
			}
			if data, ok := strings.CutPrefix(line, "data: "); ok && data != fakereplica.Text(id, n) {
				j.breaks("stream %s: event %d is %.60q", id, n, data)
			}
		}
		after = n
	}
	if whole && after != events {
		j.breaks("stream %s ended whole after event %d of %d", id, after, events)
	}
	return after
}

// page checks results read from a position on against those read before.
func (j *judge) page(batch string, from int, results []result) {
	j.mu.Lock()
	known := j.results[batch]
	var changed string
	for i, r := range results {
		at := from + i
		switch {
		case at < len(known) && (known[at].ID != r.ID || known[at].Output != r.Output || known[at].Score != r.Score):
			changed = fmt.Sprintf("batch %s: position %d was %s and is %s", batch, at, known[at].ID, r.ID)
		case at == len(known):
			if slices.ContainsFunc(known, func(k result) bool { return k.ID == r.ID }) {
				changed = fmt.Sprintf("batch %s: item %s is listed twice", batch, r.ID)
			}
			known = append(known, r)
		}
	}
	j.results[batch] = known
	j.mu.Unlock()
	if changed != "" {
		j.breaks("%s", changed)
	}
}

// read returns how many results of a batch were read.
func (j *judge) read(batch string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.results[batch])
}

// whole checks a batch whose items are all listed.
func (j *judge) whole(batch string, ids []string, oldest int64) {
	j.mu.Lock()
	results := j.results[batch]
	j.done++
	j.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range results {
		seen[r.ID] = true
		var text []string
		for n := 1; n <= events; n++ {
			text = append(text, fakereplica.Text(r.ID, n))
		}
		switch {
		case r.State != "completed":
			continue // an item may be given up; its text is not used
		case r.Output != strings.Join(text, "\n"):
			j.breaks("item %s: text %.80q", r.ID, r.Output)
		case r.Score != "stamp-score-"+r.ID:
			j.breaks("item %s: score %q", r.ID, r.Score)
		case len(r.Versions) == 0 || slices.Min(r.Versions) < oldest:
			j.breaks("item %s: versions %v, oldest allowed %d", r.ID, r.Versions, oldest)
		}
	}
	for _, id := range ids {
		if !seen[id] {
			j.breaks("batch %s: item %s is missing", batch, id)
		}
	}
}

// steps returns how many steps became whole.
func (j *judge) steps() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done
}

// ends notes that a batch was ended; items are those that were not listed.
func (j *judge) ends(items []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range items {
		j.ended[id] = endedItem{at: time.Now(), runs: -1}
	}
}

// route checks whether a process knows the route of a configuration version.
func (j *judge) route(process string, version int, found bool) {
	j.mu.Lock()
	newest := j.config[process]
	if found {
		j.config[process] = max(newest, version)
	}
	j.mu.Unlock()
	if !found && version <= newest {
		j.breaks("process %s: configuration %d after %d", process, version-1, newest)
	}
}

// look compares the replicas' counts with what was promised.
func (j *judge) look() {
	j.mu.Lock()
	var notRun, strict []string
	for id := range j.notRun {
		notRun = append(notRun, id)
	}
	for id := range j.strict {
		strict = append(strict, id)
	}
	j.mu.Unlock()
	for _, id := range notRun {
		if n := j.runs(id); n > 0 {
			j.breaks("request %s was said not to have run and ran %d times", id, n)
		}
	}
	for _, id := range strict {
		if n := j.runs(id); n > 1 {
			j.breaks("non-idempotent request %s ran %d times", id, n)
		}
	}
	j.lookAtEnded()
}

func (j *judge) lookAtEnded() {
	j.mu.Lock()
	ended := make(map[string]endedItem, len(j.ended))
	for id, e := range j.ended {
		ended[id] = e
	}
	j.mu.Unlock()
	for id, e := range ended {
		if time.Since(e.at) < cancelTime {
			continue
		}
		n := j.runs(id)
		if e.runs < 0 {
			e.runs = n
			j.mu.Lock()
			j.ended[id] = e
			j.mu.Unlock()
		}
		if n > e.runs {
			j.breaks("item %s of a batch ended at %s began to run later", id, e.at.Format("15:04:05.000"))
		}
	}
}
