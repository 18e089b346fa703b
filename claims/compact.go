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
	compactionThreshold = 64   // unmerged entries that start a compaction
	maxSegmentGrants    = 2000 // keeps the value of a segment below objectapi.MaxValueBytes
	maxDeletesPerBatch  = 4    // deletions of obsolete objects after a batch of claims
)

// compact merges the oldest entries into a segment. The head is replaced only if it
// has not changed since the state was loaded, so only one of two concurrent compactions
// takes effect.
func (s *journalState) compact(ctx context.Context, j journal, writer string, now time.Time, retention time.Duration) error {
	last, grants := s.oldestEntries(now, retention)
	next := head{Through: last}
	for _, ref := range s.head.Segments {
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
	object, err := j.writeHead(ctx, next, s.headVersion)
	if err != nil {
		return err
	}
	s.applyCompaction(j, next, object.Version, added)
	s.removeExpired(now, retention)
	return nil
}

// oldestEntries returns the grants of the oldest entries that fit into one segment and
// the number of the last of these entries.
func (s *journalState) oldestEntries(now time.Time, retention time.Duration) (last int64, grants []grant) {
	bySequence := make(map[int64][]grant)
	for _, r := range s.grants {
		if r.sequence > 0 && !expired(r.At, now, retention) {
			bySequence[r.sequence] = append(bySequence[r.sequence], r.grant)
		}
	}
	last = s.head.Through
	for _, e := range s.entries {
		entryGrants := bySequence[e.sequence]
		if len(grants) > 0 && len(grants)+len(entryGrants) > maxSegmentGrants {
			break
		}
		grants = append(grants, entryGrants...)
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
	object, err := objectapi.CreateConfirmed(ctx, j.store, j.prefix+ref.Name, value)
	object.Value = nil
	return ref, object, err
}

// parseSegmentName returns the number of the last entry that a segment holds.
func parseSegmentName(name string) (int64, bool) {
	digits, _, ok := strings.Cut(strings.TrimPrefix(name, segmentPrefix), "-")
	if !ok {
		return 0, false
	}
	last, err := strconv.ParseInt(digits, 10, 64)
	return last, err == nil
}

// applyCompaction updates the state to the new head and collects the objects that are
// obsolete with it.
func (s *journalState) applyCompaction(j journal, h head, version int64, added []objectapi.Object) {
	s.head, s.headVersion = h, version
	s.entries = slices.DeleteFunc(s.entries, func(e storedEntry) bool {
		if e.sequence > h.Through {
			return false
		}
		s.obsolete = append(s.obsolete, e.object)
		return true
	})
	s.segments = slices.DeleteFunc(append(s.segments, added...), func(object objectapi.Object) bool {
		if h.contains(strings.TrimPrefix(object.Key, j.prefix)) {
			return false
		}
		s.obsolete = append(s.obsolete, object)
		return true
	})
	for key, r := range s.grants {
		if r.sequence > 0 && r.sequence <= h.Through {
			r.sequence = 0
			s.grants[key] = r
		}
	}
}

func (s *journalState) removeExpired(now time.Time, retention time.Duration) {
	for key, r := range s.grants {
		if expired(r.At, now, retention) {
			delete(s.grants, key)
		}
	}
}

// deleteObsolete deletes a few obsolete objects. Objects that remain, also after a failed
// deletion, are found again when the journal is loaded.
func (s *journalState) deleteObsolete(ctx context.Context, j journal) {
	count := min(maxDeletesPerBatch, len(s.obsolete))
	for _, object := range s.obsolete[:count] {
		_ = j.store.Delete(ctx, object.Key, object.Version)
	}
	s.obsolete = s.obsolete[count:]
}
