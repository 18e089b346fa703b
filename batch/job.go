// Package batch stores and runs batches of samples. An accepted batch is an object in the
// platform's store, and its results are an append-only log of objects there, so a batch
// survives the loss of the daemon that runs it, its runner. The candidates to run a batch are
// its owner, the daemon that accepted it, and then the other daemons in an order on which all
// agree; the first of these are its backups and take it over when no candidate before them runs
// it.
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
	KindBatches   = "batches" // one object per accepted batch
	KindBatchEnds = "ends"    // one object per batch that its client ended
)

// endValue is the value of the object that marks a batch as ended.
var endValue = []byte("ended")

// Job is an accepted batch. It is immutable in the store, where it is a head object and, if the
// items do not fit into that, further objects (parts) that hold them.
type Job struct {
	ID             string    `json:"id"`
	Host           string    `json:"host"`  // host name that selects the route of the items
	Path           string    `json:"path"`  // path to which the batch was submitted
	Owner          string    `json:"owner"` // daemon that accepted the batch
	AcceptedAt     time.Time `json:"accepted"`
	Step           int64     `json:"step"`
	Model          string    `json:"model"`
	MinVersion     int64     `json:"min_version"` // oldest weight version that may generate its tokens
	GroupCount     int       `json:"group_count"` // groups that the trainer waits for
	Items          []Item    `json:"items,omitempty"`
	Parts          int       `json:"parts,omitempty"` // number of objects that hold the items, 0 if Items holds them
	Total          int       `json:"total,omitempty"` // number of items in the parts
	ExpectedTokens float64   `json:"work,omitempty"`  // expected output tokens of all items
	// Organisation is the one that submitted the batch and for which its items run, "" for none.
	Organisation string `json:"organisation,omitempty"`
}

// total returns the number of items, whether in the head or in parts.
func (j Job) total() int {
	if len(j.Items) == 0 {
		return j.Total
	}
	return len(j.Items)
}

// Item is one sample to generate.
type Item struct {
	ID             string              `json:"id"`
	Group          string              `json:"group"`
	Path           string              `json:"path"`
	Header         map[string][]string `json:"header"`
	Body           []byte              `json:"body"`
	MaxTokens      int64               `json:"tokens"` // maximum tokens, prompt and output together
	ExpectedTokens int64               `json:"length"` // expected output tokens, 0 if unknown
	Scorer         *Scorer             `json:"scorer,omitempty"`
}

// Scorer is the request that scores the completion of an item.
type Scorer struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"`
	Body []byte `json:"body"`
}

// State is the final state of an item.
type State string

// States of a result.
const (
	Completed State = "completed"
	Errored   State = "errored"
)

// Result is one entry of a batch's results log. It is immutable once stored.
type Result struct {
	ID       string  `json:"id"` // item ID
	State    State   `json:"state"`
	Output   string  `json:"output,omitempty"`
	Versions []int64 `json:"versions,omitempty"` // weight versions that generated an event of the output
	Score    string  `json:"score,omitempty"`
}

// Page is a contiguous part of a batch's results log.
type Page struct {
	Total   int      `json:"total"` // number of items in the batch
	Results []Result `json:"results"`
}

// Completion is the text generated for an item so far.
type Completion struct {
	Events   []string `json:"events"`
	Versions []int64  `json:"versions"` // in the order of their first event
	Complete bool     `json:"whole,omitempty"`
	Score    string   `json:"score,omitempty"`    // of a complete one whose result the store does not have yet
	Failures int      `json:"failures,omitempty"` // responses that reported a failure of the item
}

func (c *Completion) add(data string, version int64) {
	c.Events = append(c.Events, data)
	for _, v := range c.Versions {
		if v == version {
			return
		}
	}
	c.Versions = append(c.Versions, version)
}

// Limits of one batch.
const (
	maxItems = 20_000
	// maxExpectedTokens bounds the estimate for one item: replicas are divided between models by it.
	maxExpectedTokens = 1 << 24
	// maxPartBytes bounds the items in one object, with room for the store's own encoding.
	maxPartBytes = objectapi.MaxValueBytes / 2
	// maxHeadBytes bounds a head that includes its items: every daemon caches all heads, but
	// only the daemon that runs a batch needs its items.
	maxHeadBytes = 8 << 10
)

// Validate checks a batch submitted by a client.
func (j *Job) Validate() error {
	switch {
	case j.ID == "" || strings.ContainsAny(j.ID, "/?#~ "):
		return invalid("the batch id is empty or contains one of / ? # ~ or a blank")
	case len(j.Items) == 0 || len(j.Items) > maxItems:
		return invalid(fmt.Sprintf("the batch has %d items; allowed are 1 to %d", len(j.Items), maxItems))
	}
	seen := map[string]bool{}
	for _, item := range j.Items {
		if item.ID == "" || seen[item.ID] {
			return invalid("item id is empty or duplicate: " + item.ID)
		}
		if !strings.HasPrefix(item.Path, "/") {
			return invalid("item " + item.ID + " has no path that begins with /")
		}
		seen[item.ID] = true
	}
	return nil
}

func invalid(message string) error {
	return fault.New(fault.Invalid, message, "correct the batch and submit it again", fault.WithOutcome(fault.NotRun))
}

func jobKey(id string) string          { return KindBatches + "/" + id }
func endKey(id string) string          { return KindBatchEnds + "/" + id }
func partKey(id string, n int) string  { return fmt.Sprintf("parts-%s/%06d", id, n) }
func resultsKind(id string) string     { return "results-" + id }
func completionsKey(id string) string  { return resultsKind(id) + "/texts" }
func chunkKey(id string, n int) string { return fmt.Sprintf("%s/%06d", resultsKind(id), n) }
func decodeJob(value []byte) (Job, error) {
	var j Job
	err := json.Unmarshal(value, &j)
	return j, err
}

// decodeStoredJob decodes the head at key. It returns an error for one that no daemon wrote: its name is
// that of another batch, or its numbers are out of range, so that work on it would not end.
func decodeStoredJob(key string, value []byte) (Job, error) {
	j, err := decodeJob(value)
	if err != nil {
		return Job{}, err
	}
	inRange := j.Parts >= 0 && j.Parts <= maxItems && j.total() > 0 && j.total() <= maxItems && (len(j.Items) > 0 || j.Parts > 0)
	if j.ID == "" || jobKey(j.ID) != key || !inRange || !(j.ExpectedTokens >= 0 && j.ExpectedTokens <= maxItems*maxExpectedTokens) {
		return Job{}, fault.New(fault.Invalid, key+" does not describe a batch of that name", "remove the object")
	}
	return j, nil
}

// encode returns the objects of a job: the head, and parts if the items do not fit into it.
func (j Job) encode() (head []byte, parts [][]byte, err error) {
	j.ExpectedTokens = expectedTokens(j)
	head, err = json.Marshal(j)
	if err != nil || len(head) <= maxHeadBytes {
		return head, nil, err
	}
	var part []Item
	size := 0
	flush := func() error {
		value, err := json.Marshal(part)
		parts, part, size = append(parts, value), nil, 0
		return err
	}
	for _, item := range j.Items {
		if itemBytes := len(item.Body)*2 + 1000; size+itemBytes > maxPartBytes && len(part) > 0 {
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
