package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// Limits of compaction.
const (
	compactEntries   = 64   // entries that start a compaction
	maxSegmentGrants = 2000 // keeps a segment below objectapi.MaxValueBytes
	deletesAtOnce    = 4    // deletions after one batch of claims
)

// compact merges the oldest entries into a segment. The new head is conditional on
// the one that the ledger was read with, so of two compactions one has no effect.
func (l *ledger) compact(ctx context.Context, j journal, writer string, now time.Time, retention time.Duration) error {
	last, grants := l.oldest(now, retention)
	next := head{Through: last}
	for _, ref := range l.head.Segments {
		if !expired(ref.Newest, now, retention) {
			next.Segments = append(next.Segments, ref)
		}
	}
	var added []objectapi.Object
	if len(grants) > 0 {
		ref, object, err := j.createSegment(ctx, last, entry{Writer: writer, Nonce: rand.Uint64(), Grants: grants})
		if err != nil {
			return err
		}
		next.Segments = append(next.Segments, ref)
		added = append(added, object)
	}
	object, err := j.writeHead(ctx, next, l.headVersion)
	if err != nil {
		return err
	}
	l.compacted(j, next, object.Version, added)
	l.forgetExpired(now, retention)
	return nil
}

// oldest returns the grants of the oldest entries that fit into one segment, and the
// last of these entries.
func (l *ledger) oldest(now time.Time, retention time.Duration) (last int64, grants []grant) {
	bySequence := make(map[int64][]grant)
	for _, r := range l.grants {
		if r.sequence > 0 && !expired(r.At, now, retention) {
			bySequence[r.sequence] = append(bySequence[r.sequence], r.grant)
		}
	}
	last = l.head.Through
	for _, e := range l.entries {
		more := bySequence[e.sequence]
		if len(grants) > 0 && len(grants)+len(more) > maxSegmentGrants {
			break
		}
		grants = append(grants, more...)
		last = e.sequence
	}
	return last, grants
}

func (j journal) createSegment(ctx context.Context, last int64, segment entry) (segmentRef, objectapi.Object, error) {
	ref := segmentRef{Name: fmt.Sprintf("%s%0*d-%016x", segmentPrefix, sequenceDigits, last, segment.Nonce)}
	for _, g := range segment.Grants {
		ref.Newest = max(ref.Newest, g.At)
	}
	value, err := json.Marshal(segment)
	if err != nil {
		return ref, objectapi.Object{}, err
	}
	object, err := objectapi.CreateSettled(ctx, j.store, j.prefix+ref.Name, value)
	object.Value = nil
	return ref, object, err
}

// segmentLast returns the last entry that a segment holds.
func segmentLast(name string) (int64, bool) {
	digits, _, ok := strings.Cut(strings.TrimPrefix(name, segmentPrefix), "-")
	if !ok {
		return 0, false
	}
	last, err := strconv.ParseInt(digits, 10, 64)
	return last, err == nil
}

// compacted takes the new head in and collects what it does not need any more.
func (l *ledger) compacted(j journal, h head, version int64, added []objectapi.Object) {
	l.head, l.headVersion = h, version
	l.entries = slices.DeleteFunc(l.entries, func(e stored) bool {
		if e.sequence > h.Through {
			return false
		}
		l.garbage = append(l.garbage, e.object)
		return true
	})
	l.segments = slices.DeleteFunc(append(l.segments, added...), func(object objectapi.Object) bool {
		if h.names(strings.TrimPrefix(object.Key, j.prefix)) {
			return false
		}
		l.garbage = append(l.garbage, object)
		return true
	})
	for key, r := range l.grants {
		if r.sequence > 0 && r.sequence <= h.Through {
			r.sequence = 0
			l.grants[key] = r
		}
	}
}

func (l *ledger) forgetExpired(now time.Time, retention time.Duration) {
	for key, r := range l.grants {
		if expired(r.At, now, retention) {
			delete(l.grants, key)
		}
	}
}

// sweep deletes a few objects that the head made superfluous. What is left is found
// again when the journal is loaded.
func (l *ledger) sweep(ctx context.Context, j journal) {
	count := min(deletesAtOnce, len(l.garbage))
	for _, object := range l.garbage[:count] {
		_ = j.store.Delete(ctx, object.Key, object.Version)
	}
	l.garbage = l.garbage[count:]
}
