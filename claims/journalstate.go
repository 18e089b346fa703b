package claims

import (
	"context"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// clockSkew is the clock difference that is tolerated between daemons that write to the
// same journal.
const clockSkew = time.Minute

// journalState is this daemon's copy of a shard's journal up to entry next-1.
type journalState struct {
	grants      map[string]recordedGrant // by key
	next        int64                    // number of the next entry
	head        head
	headVersion int64
	entries     []storedEntry      // not merged yet, in order
	segments    []objectapi.Object // listed by the head, without values
	obsolete    []objectapi.Object // merged entries and unused segments, without values
}

// recordedGrant is a grant with the number of its entry.
type recordedGrant struct {
	grant
	sequence int64 // 0 for a grant in a segment
}

// storedEntry is the object of an entry.
type storedEntry struct {
	sequence int64
	object   objectapi.Object // without its value
}

// loadJournalState reads the whole journal at one revision of the store.
func loadJournalState(ctx context.Context, j journal) (*journalState, error) {
	snapshot, err := j.store.List(ctx, j.prefix)
	if err != nil {
		return nil, err
	}
	s := &journalState{grants: make(map[string]recordedGrant), next: 1}
	for _, object := range snapshot.Objects {
		if object.Key != j.headKey() {
			continue
		}
		if err := decode(object, &s.head); err != nil {
			return nil, err
		}
		s.headVersion = object.Version
		s.next = s.head.Through + 1
	}
	if err := s.loadSegments(j, snapshot.Objects); err != nil {
		return nil, err
	}
	return s, s.loadEntries(j, snapshot.Objects)
}

func (s *journalState) loadSegments(j journal, objects []objectapi.Object) error {
	found := 0
	for _, object := range objects {
		name, ok := strings.CutPrefix(object.Key, j.prefix)
		if !ok || !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		if !s.head.contains(name) {
			s.addObsoleteSegment(object, name)
			continue
		}
		found++
		var segment entry
		if err := decode(object, &segment); err != nil {
			return err
		}
		s.addGrants(segment.Grants, 0)
		object.Value = nil
		s.segments = append(s.segments, object)
	}
	if found != len(s.head.Segments) {
		return fault.New(fault.Internal, "a segment of "+j.prefix+" is missing", "restore it from a backup of the object API")
	}
	return nil
}

// addObsoleteSegment adds a segment that the head does not list to the obsolete objects if
// no later head can list it: its last entry is already merged, so its writer compacted
// from a head that has been replaced.
func (s *journalState) addObsoleteSegment(object objectapi.Object, name string) {
	last, ok := parseSegmentName(name)
	if !ok || last > s.head.Through {
		return
	}
	object.Value = nil
	s.obsolete = append(s.obsolete, object)
}

func (h head) contains(segment string) bool {
	for _, ref := range h.Segments {
		if ref.Name == segment {
			return true
		}
	}
	return false
}

func (s *journalState) loadEntries(j journal, objects []objectapi.Object) error {
	for _, object := range objects {
		sequence, ok := j.parseEntryKey(object.Key)
		switch {
		case !ok:
		case sequence <= s.head.Through:
			object.Value = nil
			s.obsolete = append(s.obsolete, object)
		case sequence != s.next:
			return fault.New(fault.Internal, "entry "+j.entryKey(s.next)+" is missing", "restore it from a backup of the object API")
		default:
			if err := s.replayEntry(object); err != nil {
				return err
			}
		}
	}
	return nil
}

// replayEntry adds the entry number next from its object.
func (s *journalState) replayEntry(object objectapi.Object) error {
	var e entry
	if err := decode(object, &e); err != nil {
		return err
	}
	s.addEntry(object, e.Grants)
	return nil
}

// addEntry adds the entry number next and its grants.
func (s *journalState) addEntry(object objectapi.Object, grants []grant) {
	object.Value = nil
	s.addGrants(grants, s.next)
	s.entries = append(s.entries, storedEntry{sequence: s.next, object: object})
	s.next++
}

// addGrants records grants. A later grant of a key replaces the earlier one: it was made
// after the earlier one had expired.
func (s *journalState) addGrants(grants []grant, sequence int64) {
	for _, g := range grants {
		s.grants[g.Key] = recordedGrant{grant: g, sequence: sequence}
	}
}

// findGrant returns the grant of key if there is one that has not expired.
func (s *journalState) findGrant(key string, now time.Time, retention time.Duration) (grant, bool) {
	r, ok := s.grants[key]
	if !ok || expired(r.At, now, retention) {
		return grant{}, false
	}
	return r.grant, true
}

func expired(at int64, now time.Time, retention time.Duration) bool {
	return now.Sub(time.UnixMilli(at)) > retention+clockSkew
}
