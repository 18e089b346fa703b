package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"path"
	"strconv"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// The journal of a shard is a sequence of entries. Each entry is an object that is created
// once and never changed. Entry n can be created only by a daemon that has read entries
// 1 to n-1, so a daemon with an outdated state can't grant anything.
//
// Old entries are merged into segments. The head lists the segments and the last merged
// entry; merged entries are deleted later. A daemon that has created an entry reads the
// head afterwards: if the head covers the number of the entry, the daemon's state was
// outdated and the entry has no effect.

const (
	journalRoot    = "claims"
	headName       = "head"
	entryPrefix    = "e-"
	segmentPrefix  = "s-"
	sequenceDigits = 12
)

// grant records that a claim was granted.
type grant struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	Nonce       uint64 `json:"nonce"` // of the caller that may dispatch
	At          int64  `json:"at"`    // Unix time, ms
}

// entry is the value of one journal object.
type entry struct {
	Writer string  `json:"writer"` // member ID
	Nonce  uint64  `json:"nonce"`  // of this write
	Grants []grant `json:"grants"`
}

// head is the value of the shard's head object.
type head struct {
	Through  int64        `json:"through"` // last entry that was merged
	Segments []segmentRef `json:"segments"`
}

// segmentRef refers to a segment.
type segmentRef struct {
	Name   string `json:"name"`
	Newest int64  `json:"newest"` // Unix time of the newest grant, ms
}

// journal reads and writes the objects of one shard's journal.
type journal struct {
	store  objectapi.ObjectStore
	prefix string // ends with "/"
}

func newJournal(store objectapi.ObjectStore, service string, shard int) journal {
	return journal{store: store, prefix: path.Join(journalRoot, service, strconv.Itoa(shard)) + "/"}
}

func (j journal) entryKey(sequence int64) string {
	return fmt.Sprintf("%s%s%0*d", j.prefix, entryPrefix, sequenceDigits, sequence)
}

func (j journal) headKey() string { return j.prefix + headName }

// parseEntryKey returns the number of the entry stored under key.
func (j journal) parseEntryKey(key string) (int64, bool) {
	digits, ok := strings.CutPrefix(key, j.prefix+entryPrefix)
	if !ok {
		return 0, false
	}
	sequence, err := strconv.ParseInt(digits, 10, 64)
	return sequence, err == nil
}

// append creates entry number sequence. It returns fault.Conflict if the entry exists or
// the head covers it, which means that the caller's state is outdated.
func (j journal) append(ctx context.Context, sequence int64, e entry) (objectapi.Object, error) {
	value, err := json.Marshal(e)
	if err != nil {
		return objectapi.Object{}, err
	}
	object, err := objectapi.CreateConfirmed(ctx, j.store, j.entryKey(sequence), value)
	if err != nil {
		return objectapi.Object{}, err
	}
	current, _, err := j.readHead(ctx)
	if err != nil {
		return objectapi.Object{}, err
	}
	if current.Through >= sequence {
		return objectapi.Object{}, fault.New(fault.Conflict, "the journal was compacted past "+j.entryKey(sequence), "load the shard again")
	}
	return object, nil
}

// readHead returns the head and its object version, zero if there is no head.
func (j journal) readHead(ctx context.Context) (head, int64, error) {
	object, err := j.store.Get(ctx, j.headKey())
	if fault.Is(err, fault.NotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	var h head
	err = decode(object, &h)
	return h, object.Version, err
}

// writeHead replaces the head if it still has the given version. It creates the head if
// the version is zero.
func (j journal) writeHead(ctx context.Context, h head, version int64) (objectapi.Object, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return objectapi.Object{}, err
	}
	if version == 0 {
		return objectapi.CreateConfirmed(ctx, j.store, j.headKey(), value)
	}
	return objectapi.UpdateConfirmed(ctx, j.store, j.headKey(), value, version)
}

func decode(object objectapi.Object, into any) error {
	if err := json.Unmarshal(object.Value, into); err != nil {
		return fault.Wrap(err, fault.Internal, "decode "+object.Key, "restore the object or remove the shard's journal")
	}
	return nil
}
