package claims

import (
	"context"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// clockSkew is allowed for between the daemons that write a journal.
const clockSkew = time.Minute

// ledger is a keeper's copy of a shard's journal. It holds all entries up to next-1.
type ledger struct {
	grants      map[string]record // by key
	next        int64             // number of the next entry
	head        head
	headVersion int64
	entries     []stored           // not merged yet, in order
	segments    []objectapi.Object // named by the head, without values
	garbage     []objectapi.Object // merged entries and unused segments, without values
}

// record is a grant and the entry that holds it.
type record struct {
	grant
	sequence int64 // 0 when it was read from a segment
}

// stored is an entry's object.
type stored struct {
	sequence int64
	object   objectapi.Object // without its value
}

// loadLedger reads the whole journal at one revision.
func loadLedger(ctx context.Context, j journal) (*ledger, error) {
	snapshot, err := j.store.List(ctx, j.prefix)
	if err != nil {
		return nil, err
	}
	l := &ledger{grants: make(map[string]record), next: 1}
	for _, object := range snapshot.Objects {
		if object.Key != j.headKey() {
			continue
		}
		if err := decode(object, &l.head); err != nil {
			return nil, err
		}
		l.headVersion = object.Version
		l.next = l.head.Through + 1
	}
	if err := l.loadSegments(j, snapshot.Objects); err != nil {
		return nil, err
	}
	return l, l.loadEntries(j, snapshot.Objects)
}

func (l *ledger) loadSegments(j journal, objects []objectapi.Object) error {
	found := 0
	for _, object := range objects {
		name, ok := strings.CutPrefix(object.Key, j.prefix)
		if !ok || !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		if !l.head.names(name) {
			l.addUnused(object, name)
			continue
		}
		found++
		var segment entry
		if err := decode(object, &segment); err != nil {
			return err
		}
		l.take(segment.Grants, 0)
		object.Value = nil
		l.segments = append(l.segments, object)
	}
	if found != len(l.head.Segments) {
		return fault.New(fault.Internal, "a segment of "+j.prefix+" is missing", "restore it from a backup of the object API")
	}
	return nil
}

// addUnused collects a segment that no head names and none can name later: whoever
// wrote it held a head that is not the current one any more.
func (l *ledger) addUnused(object objectapi.Object, name string) {
	last, ok := segmentLast(name)
	if !ok || last > l.head.Through {
		return
	}
	object.Value = nil
	l.garbage = append(l.garbage, object)
}

func (h head) names(segment string) bool {
	for _, ref := range h.Segments {
		if ref.Name == segment {
			return true
		}
	}
	return false
}

func (l *ledger) loadEntries(j journal, objects []objectapi.Object) error {
	for _, object := range objects {
		sequence, ok := j.sequenceOf(object.Key)
		switch {
		case !ok:
		case sequence <= l.head.Through:
			object.Value = nil
			l.garbage = append(l.garbage, object)
		case sequence != l.next:
			return fault.New(fault.Internal, "entry "+j.entryKey(l.next)+" is missing", "restore it from a backup of the object API")
		default:
			if err := l.replay(object); err != nil {
				return err
			}
		}
	}
	return nil
}

// replay takes entry number next in.
func (l *ledger) replay(object objectapi.Object) error {
	var e entry
	if err := decode(object, &e); err != nil {
		return err
	}
	l.appended(object, e.Grants)
	return nil
}

// appended records the grants of entry number next.
func (l *ledger) appended(object objectapi.Object, grants []grant) {
	object.Value = nil
	l.take(grants, l.next)
	l.entries = append(l.entries, stored{sequence: l.next, object: object})
	l.next++
}

// take records grants. A later grant of a key follows the expiry of the earlier one.
func (l *ledger) take(grants []grant, sequence int64) {
	for _, g := range grants {
		l.grants[g.Key] = record{grant: g, sequence: sequence}
	}
}

// find returns the grant of key if it still counts.
func (l *ledger) find(key string, now time.Time, retention time.Duration) (grant, bool) {
	r, ok := l.grants[key]
	if !ok || expired(r.At, now, retention) {
		return grant{}, false
	}
	return r.grant, true
}

func expired(at int64, now time.Time, retention time.Duration) bool {
	return now.Sub(time.UnixMilli(at)) > retention+clockSkew
}
