package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// tableKey is the store key of the reports.
	tableKey = "duties/usage"
	// storeTimeout bounds one read or one confirmed write of the reports.
	storeTimeout = 2 * time.Second
)

// storedReport is the report of one window. Its body never changes once it is stored.
type storedReport struct {
	Window   int64  `json:"window"`
	Body     string `json:"body"` // JSON text, sent byte for byte
	Accepted bool   `json:"accepted,omitempty"`
}

// tableValue is the stored value. No two writes are equal, so that a write whose response was lost
// can be recognised.
type tableValue struct {
	Writer  string         `json:"writer"`  // ID and incarnation of the daemon that wrote it
	Write   int64          `json:"write"`   // increases with each write of an incarnation
	Reports []storedReport `json:"reports"` // oldest first, at most keptWindows
}

// table is this daemon's copy of the stored reports. It contains only reports that are known to be in
// the store.
type table struct {
	store   objectapi.ObjectStore
	writer  string
	writes  int64
	fresh   bool  // the copy was the newest when it was read or written
	version int64 // revision of the copy; 0 if there is no object
	reports []storedReport
}

// load reads the stored reports. What this daemon knows to be accepted stays accepted: the store
// learns of it only with the next report.
func (t *table) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := t.store.Get(ctx, tableKey)
	if fault.Is(err, fault.NotFound) {
		t.version, t.reports, t.fresh = 0, nil, true
		return nil
	}
	if err != nil {
		return err
	}
	var value tableValue
	if err := json.Unmarshal(o.Value, &value); err != nil {
		return fault.Wrap(err, fault.Internal, "the object "+tableKey+" can't be read", "report this defect")
	}
	accepted := map[int64]bool{}
	for _, r := range t.reports {
		accepted[r.Window] = r.Accepted
	}
	for i, r := range value.Reports {
		value.Reports[i].Accepted = r.Accepted || accepted[r.Window]
	}
	t.version, t.reports, t.fresh = o.Version, value.Reports, true
	return nil
}

// append stores further reports by a conditional write. After an error, the copy has to be loaded
// again: another holder may have stored reports of the same windows, or the write may have succeeded.
func (t *table) append(ctx context.Context, added []storedReport) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	reports := append(append([]storedReport{}, t.reports...), added...)
	sort.Slice(reports, func(a, b int) bool { return reports[a].Window < reports[b].Window })
	reports = reports[max(len(reports)-keptWindows, 0):]
	t.writes++
	value, err := json.Marshal(tableValue{Writer: t.writer, Write: t.writes, Reports: reports})
	if err != nil {
		return err
	}
	t.fresh = false
	var o objectapi.Object
	if t.version == 0 {
		o, err = objectapi.CreateConfirmed(ctx, t.store, tableKey, value)
	} else {
		o, err = objectapi.UpdateConfirmed(ctx, t.store, tableKey, value, t.version)
	}
	if err != nil {
		return err
	}
	t.version, t.reports, t.fresh = o.Version, reports, true
	return nil
}

// markAccepted records that the platform accepted the report of a window.
func (t *table) markAccepted(window int64) {
	for i := range t.reports {
		if t.reports[i].Window == window {
			t.reports[i].Accepted = true
		}
	}
}

// writerName returns the name under which an incarnation of a daemon writes.
func writerName(self string, incarnation int64) string {
	return fmt.Sprintf("%s@%d", self, incarnation)
}
