// Package batch keeps and runs batches of samples: a batch that was accepted is in the
// platform's store, its results are an append-only log of objects there, and whichever
// daemon runs it can be lost at any time.
package batch

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// Kinds of objects in the platform's store.
const (
	KindJobs = "batches" // one object an accepted batch
	KindEnds = "ends"    // one object a batch that its client ended
)

// endValue is the content of the object that ends a batch.
var endValue = []byte("ended")

// Job is an accepted batch. It is never changed.
type Job struct {
	ID         string    `json:"id"`
	Host       string    `json:"host"`  // of the route of its items
	Path       string    `json:"path"`  // to which it was submitted
	Owner      string    `json:"owner"` // daemon that accepted it
	Accepted   time.Time `json:"accepted"`
	Step       int64     `json:"step"`
	Model      string    `json:"model"`
	MinVersion int64     `json:"min_version"` // oldest weight version that may generate its tokens
	GroupCount int       `json:"group_count"` // groups that the trainer waits for
	Items      []Item    `json:"items,omitempty"`
	Parts      int       `json:"parts,omitempty"` // objects that hold the items, 0 when they are here
	Total      int       `json:"total,omitempty"` // items in the parts
	Work       float64   `json:"work,omitempty"`  // expected output tokens of the items
}

// total is how many items the batch has, wherever they are.
func (j Job) total() int {
	if len(j.Items) == 0 {
		return j.Total
	}
	return len(j.Items)
}

// Item is one sample to generate.
type Item struct {
	ID     string              `json:"id"`
	Group  string              `json:"group"`
	Path   string              `json:"path"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
	Tokens int64               `json:"tokens"` // of the prompt and the longest output together
	Length int64               `json:"length"` // expected output tokens, 0 when unknown
	Scorer *Scorer             `json:"scorer,omitempty"`
}

// Scorer is the request that scores a finished text.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// State is how an item ended.
type State string

// The states of a result.
const (
	Completed State = "completed"
	Errored   State = "errored"
)

// Result is one entry of a batch's log. It never changes.
type Result struct {
	ID       string  `json:"id"` // of the item
	State    State   `json:"state"`
	Output   string  `json:"output,omitempty"`
	Versions []int64 `json:"versions,omitempty"` // weight versions that made an event of the text
	Score    string  `json:"score,omitempty"`
}

// Page is a part of a batch's log.
type Page struct {
	Total   int      `json:"total"` // items of the batch
	Results []Result `json:"results"`
}

// Text is what was generated of an item so far.
type Text struct {
	Events   []string `json:"events"`
	Versions []int64  `json:"versions"` // in the order of their first event
	Whole    bool     `json:"whole,omitempty"`
}

func (t *Text) add(data string, version int64) {
	t.Events = append(t.Events, data)
	for _, v := range t.Versions {
		if v == version {
			return
		}
	}
	t.Versions = append(t.Versions, version)
}

// Limits of one batch.
const (
	maxItems = 20_000
	// partBytes bounds the items in one object, with room for the store's own encoding.
	partBytes = objectapi.MaxValueBytes / 2
	// headBytes bounds a head with its items: every daemon keeps all heads, but only the
	// runner of a batch needs its items.
	headBytes = 8 << 10
)

// Validate checks what a client sent.
func (j *Job) Validate() error {
	switch {
	case j.ID == "" || strings.ContainsAny(j.ID, "/?#~ "):
		return invalid("the batch has no valid id")
	case len(j.Items) == 0 || len(j.Items) > maxItems:
		return invalid(fmt.Sprintf("the batch has %d items, not 1 to %d", len(j.Items), maxItems))
	}
	seen := map[string]bool{}
	for _, item := range j.Items {
		if item.ID == "" || seen[item.ID] {
			return invalid("an item has no id of its own: " + item.ID)
		}
		if !strings.HasPrefix(item.Path, "/") {
			return invalid("item " + item.ID + " has no path")
		}
		seen[item.ID] = true
	}
	return nil
}

func invalid(message string) error {
	return fault.New(fault.Invalid, message, "correct the batch and submit it again", fault.WithOutcome(fault.NotRun))
}

func jobKey(id string) string          { return KindJobs + "/" + id }
func endKey(id string) string          { return KindEnds + "/" + id }
func partKey(id string, n int) string  { return fmt.Sprintf("parts-%s/%06d", id, n) }
func resultsKind(id string) string     { return "results-" + id }
func textsKey(id string) string        { return resultsKind(id) + "/texts" }
func chunkKey(id string, n int) string { return fmt.Sprintf("%s/%06d", resultsKind(id), n) }
func decodeJob(value []byte) (Job, error) {
	var j Job
	err := json.Unmarshal(value, &j)
	return j, err
}

// encode returns the objects of a job: the head, and parts if the items need more than
// one object.
func (j Job) encode() (head []byte, parts [][]byte, err error) {
	j.Work = workOf(j)
	head, err = json.Marshal(j)
	if err != nil || len(head) <= headBytes {
		return head, nil, err
	}
	var part []Item
	size := 0
	flush := func() error {
		text, err := json.Marshal(part)
		parts, part, size = append(parts, text), nil, 0
		return err
	}
	for _, item := range j.Items {
		if bytes := len(item.Body)*2 + 1000; size+bytes > partBytes && len(part) > 0 {
			if err := flush(); err != nil {
				return nil, nil, err
			}
		}
		part = append(part, item)
		size += len(item.Body)*2 + 1000
	}
	if err := flush(); err != nil {
		return nil, nil, err
	}
	j.Total, j.Items, j.Parts = len(j.Items), nil, len(parts)
	head, err = json.Marshal(j)
	return head, parts, err
}
