// Package batch stores and runs batches of samples. An accepted batch is an object in the
// platform's store, and its results are an append-only log of objects there, so a batch
// survives the loss of the daemon that runs it, its runner. The candidates to run a batch are
// its owner, the daemon that accepted it, and then the other daemons in an order on which all
// agree; the first of these are its backups and take it over when no candidate before them runs
// it.
package batch

import (
	"cmp"
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
	Parts          int       `json:"parts,omitempty"`       // number of objects that hold the items, 0 if Items holds them
	PartFormat     int       `json:"part_format,omitempty"` // see newestPartFormat
	Total          int       `json:"total,omitempty"`       // number of items in the parts
	ItemMemory     int64     `json:"item_memory,omitempty"` // of the items in the parts, see Item.Memory; 0 if a daemon of an earlier version stored them
	ExpectedTokens float64   `json:"work,omitempty"`        // expected output tokens of all items
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

// withoutItems returns the job without its items, whose number it keeps.
func (j Job) withoutItems() Job {
	j.Total, j.Items = j.total(), nil
	return j
}

// itemMemory returns the memory of the job's items, an upper bound if they are not known.
func (j Job) itemMemory() int64 {
	if len(j.Items) == 0 {
		return cmp.Or(j.ItemMemory, int64(j.Parts)*objectapi.MaxValueBytes)
	}
	size := int64(0)
	for i := range j.Items {
		size += j.Items[i].Memory()
	}
	return size
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

const (
	itemOverhead   = 720 // bytes of an item, its header map and its task
	headerOverhead = 120 // bytes of a header in the map
	scorerOverhead = 200
)

// Memory returns the memory that the item takes in a daemon that runs its batch.
func (i *Item) Memory() int64 {
	size := itemOverhead + headerOverhead*len(i.Header) + i.headSize() + len(i.Body)
	if s := i.Scorer; s != nil {
		size += scorerOverhead + len(s.Body)
	}
	return int64(size)
}

// headSize returns the size of the item without its bodies.
func (i *Item) headSize() int {
	size := len(i.ID) + len(i.Group) + len(i.Path)
	for name, values := range i.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	if s := i.Scorer; s != nil {
		size += len(s.ID) + len(s.Host) + len(s.Path)
	}
	return size
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
	// MaxItems is the largest number of items.
	MaxItems = 20_000
	// maxExpectedTokens bounds the estimate for one item: replicas are divided between models by it.
	maxExpectedTokens = 1 << 24
	// maxObjectBytes bounds what one object holds, once it is encoded for the store (objectapi.EncodedSize), with
	// room for the object's other fields.
	maxObjectBytes = objectapi.MaxValueBytes / 8 * 7
	// maxItemHeadBytes bounds an item without its bodies. It fits into one object whatever it consists of.
	maxItemHeadBytes = 124 << 10
	// maxHeadBytes bounds a head that includes its items: every daemon caches all heads, but
	// only the daemon that runs a batch needs its items.
	maxHeadBytes = 8 << 10
)

// Validate checks a batch submitted by a client.
func (j *Job) Validate() error {
	switch {
	case j.ID == "" || strings.ContainsAny(j.ID, "/?#~ "):
		return invalid("the batch id is empty or contains one of / ? # ~ or a blank")
	case len(j.Items) == 0 || len(j.Items) > MaxItems:
		return invalid(fmt.Sprintf("the batch has %d items; allowed are 1 to %d", len(j.Items), MaxItems))
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
		if size := item.headSize(); size > maxItemHeadBytes {
			return invalid(fmt.Sprintf("item %.100s has %d bytes beside its bodies; allowed are %d", item.ID, size, maxItemHeadBytes))
		}
	}
	return nil
}

func invalid(message string) error {
	return fault.New(fault.Invalid, message, "correct the batch and submit it again", fault.WithOutcome(fault.NotRun))
}

func jobKey(id string) string          { return KindBatches + "/" + id }
func endKey(id string) string          { return KindBatchEnds + "/" + id }
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
	if j.PartFormat > newestPartFormat {
		return Job{}, fault.New(fault.Invalid, key+" has parts in a format of a newer version", "update this daemon")
	}
	inRange := j.Parts >= 0 && j.Parts <= MaxItems && j.total() > 0 && j.total() <= MaxItems && (len(j.Items) > 0 || j.Parts > 0)
	if j.ID == "" || jobKey(j.ID) != key || !inRange || !(j.ExpectedTokens >= 0 && j.ExpectedTokens <= MaxItems*maxExpectedTokens) {
		return Job{}, fault.New(fault.Invalid, key+" does not describe a batch of that name", "remove the object")
	}
	return j, nil
}

// encodeHead returns the head of a job, with the items if they fit into it.
func (j Job) encodeHead() (head []byte, hasItems bool) {
	j.ExpectedTokens = expectedTokens(j)
	if j.rawSize() <= maxHeadBytes {
		if head = encodeJSON(j); len(head) <= maxHeadBytes {
			return head, true
		}
	}
	j.ItemMemory, j.PartFormat = j.itemMemory(), newestPartFormat
	return encodeJSON(j.withoutItems()), false
}

// rawSize returns less than what the items take once encoded.
func (j Job) rawSize() int {
	size := 0
	for i := range j.Items {
		size += j.Items[i].headSize() + len(j.Items[i].Body)
		if s := j.Items[i].Scorer; s != nil {
			size += len(s.Body)
		}
	}
	return size
}

// encodeJSON encodes a value that consists of strings, bytes, numbers and times only.
func encodeJSON(value any) []byte {
	text, err := objectapi.EncodeJSON(value)
	if err != nil {
		panic(err)
	}
	return text
}
