package trace

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// logBuilder builds a log with one line per entry, each with a prefix as log collectors
// add it.
type logBuilder struct {
	t    *testing.T
	text bytes.Buffer
}

var baseTime = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func (l *logBuilder) add(ms int, daemon string, e event.Event, fields string) {
	timestamp := baseTime.Add(time.Duration(ms) * time.Millisecond).Format("2006-01-02T15:04:05.000Z07:00")
	if fields != "" {
		fields = "," + fields
	}
	fmt.Fprintf(&l.text, "   1.5 %s {\"daemon\":%q,\"time\":%q,\"event\":%d,\"level\":%q,\"msg\":%q%s}\n",
		daemon, daemon, timestamp, e.Number, e.Level, e.Text, fields)
}

func (l *logBuilder) timeline(id string) string {
	l.t.Helper()
	entries, err := Read(&l.text)
	if err != nil {
		l.t.Fatal(err)
	}
	var out bytes.Buffer
	if err := BuildTimeline(id, entries).Print(&out); err != nil {
		l.t.Fatal(err)
	}
	return out.String()
}

// firstMissing returns the first of parts that does not occur in text after the parts
// before it, "" if all occur in order.
func firstMissing(text string, parts ...string) string {
	for _, part := range parts {
		_, rest, found := strings.Cut(text, part)
		if !found {
			return part
		}
		text = rest
	}
	return ""
}

func TestItemTimelineIsOrderedAcrossClocks(t *testing.T) {
	l := &logBuilder{t: t}
	// The clock of d1, which forwarded the batch to its owner, is 700 ms slow.
	l.add(-700, "d1", event.BatchForwarded, `"batch":"lot","host":"d2"`)
	l.add(-5, "d2", event.MirrorStoreLost, `"kind":"servers"`)
	l.add(-10, "d2", event.BatchAccepted, `"batch":"lot","items":2`)
	l.add(20, "d2", event.BatchItemPlaced, `"batch":"lot","item":"i1","replica":"e1"`)
	l.add(30, "d2", event.BatchItemPlaced, `"batch":"lot","item":"i2","replica":"e2"`)
	l.add(40, "d2", event.PlacementSuspected, `"replica":"e1","failures":1`)
	l.add(45, "d2", event.PlacementSuspected, `"replica":"e9","failures":1`)
	l.add(50, "d2", event.BatchItemMoved, `"batch":"lot","item":"i1","replica":"e1"`)
	l.add(60, "d2", event.GatewayResponseForwarded, `"request":"unrelated","replica":"e1"`)
	l.add(70, "d2", event.BatchItemScored, `"batch":"lot","item":"i1","request":"s1","replica":"q1"`)
	l.add(65, "d2", event.BatchScoreFailed, `"batch":"lot","request":"s1","replica":"q2"`)
	l.add(80, "d2", event.BatchListed, `"batch":"lot","items":["i2"]`)
	l.add(90, "d2", event.BatchListed, `"batch":"lot","items":["i1"]`)
	l.add(95, "d3", event.EdgeStarted, "")
	l.add(9000, "d2", event.MirrorStoreRegained, "")
	l.text.WriteString("a line without JSON\n{\"event\":broken\n")
	got := l.timeline("i1")
	if missing := firstMissing(got, "clock of d1 adjusted by +691ms",
		"batch accepted", "batch forwarded to its owner", "- d2", "store unreachable", "item placed", "replica suspected", "item moves to another replica",
		"scoring request failed", "item scored", "results listed"); missing != "" {
		t.Errorf("%q is missing or out of order in\n%s", missing, got)
	}
	for _, unwanted := range []string{"i2", "e9", "unrelated", "d3", "reachable again"} {
		if strings.Contains(got, unwanted) {
			t.Errorf("unexpected %s in\n%s", unwanted, got)
		}
	}
}

func TestBatchTimelineShowsOnlyProblemsOfItems(t *testing.T) {
	l := &logBuilder{t: t}
	l.add(0, "d2", event.BatchAccepted, `"batch":"lot"`)
	l.add(1, "d2", event.BatchItemPlaced, `"batch":"lot","item":"i1","replica":"e1"`)
	l.add(2, "d2", event.BatchItemMoved, `"batch":"lot","item":"i1","replica":"e1"`)
	l.add(3, "d2", event.BatchItemErrored, `"batch":"lot","item":"i2"`)
	l.add(4, "d2", event.BatchListed, `"batch":"lot","items":["i1","i3","i4","i5"]`)
	got := l.timeline("lot")
	if missing := firstMissing(got, "batch accepted", "moves to another replica", "item failed permanently", "and 1 more"); missing != "" || strings.Contains(got, "item placed") {
		t.Errorf("%q is missing in\n%s", missing, got)
	}
}

func TestUnknownIDHasEmptyTimeline(t *testing.T) {
	l := &logBuilder{t: t}
	l.add(0, "d2", event.GatewayResponseForwarded, `"request":"r"`)
	if got := l.timeline("r1"); got != "" {
		t.Errorf("unexpected timeline %s", got)
	}
}
