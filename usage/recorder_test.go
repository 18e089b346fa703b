package usage

import (
	"fmt"
	"testing"
	"time"
)

const testWindow = 5 * time.Second

// newTestRecorder returns a Recorder whose clock can be set.
func newTestRecorder(now *time.Time) *Recorder {
	c := NewClock(nil, nil, "self", nil)
	start := *now
	c.boot = func() time.Duration { return now.Sub(start) }
	c.wall = func() time.Time { return *now }
	c.since = func(t time.Time) time.Duration { return now.Sub(t) }
	return NewRecorder(c, testWindow, nil)
}

func TestRecordUsesTheWindowOfTheBegin(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newTestRecorder(&now)
	r.Record("a", now)
	r.Record("a", now.Add(-time.Millisecond))
	r.Record("", now)
	if r.of(200)["a"] != 1 || r.of(199)["a"] != 1 || len(r.of(200)) != 1 {
		t.Errorf("counts %v and %v", r.of(199), r.of(200))
	}
}

// Guards against the wall-clock reading of a time that was taken while the wall clock was wrong.
func TestRecordUsesTheMonotonicReading(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newTestRecorder(&now)
	r.clock.since = func(time.Time) time.Duration { return 3 * time.Second }
	r.Record("a", now.Add(-time.Hour))
	r.Record("a", now.Add(time.Hour))
	if r.of(199)["a"] != 2 {
		t.Errorf("windows %+v", r.Windows())
	}
}

// Guards against an attack or a defect that uses ever new names, and against windows that stay.
func TestRecorderIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newTestRecorder(&now)
	for i := range 2 * maxOrganisations {
		r.Record(fmt.Sprint(i), now)
	}
	r.Record("0", now)
	if counts := r.of(200); len(counts) != maxOrganisations || counts["0"] != 2 {
		t.Errorf("%d organisations, %d requests of the first", len(counts), counts["0"])
	}
	r.Record("a", now.Add(-time.Hour))
	for range 100 {
		now = now.Add(testWindow)
		r.Record("a", now)
	}
	windows := r.Windows()
	if len(windows) != windowsKept || windows[0].Window != 300-windowsKept+1 || windows[len(windows)-1].Window != 300 {
		t.Errorf("%d windows are kept: %+v", len(windows), windows)
	}
}

// Guards against a state dump of megabytes.
func TestStateShowsTheLargestOrganisations(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newTestRecorder(&now)
	for i := range 100 {
		for range 1 + i {
			r.Record(fmt.Sprint(i), now)
		}
	}
	state := r.Windows()[0]
	if state.Total != 5050 || len(state.Counts) != maxOrganisationsShown || state.Omitted != 100-maxOrganisationsShown || state.Counts["99"] != 100 {
		t.Errorf("state %+v", state)
	}
}

// Guards against windows that a temporarily wrong clock left and that displace the actual ones.
func TestWindowsAheadAreDropped(t *testing.T) {
	now := time.Unix(5000, 0)
	r := newTestRecorder(&now)
	r.Record("a", now)
	now = time.Unix(1000, 0)
	r.Record("a", now)
	if windows := r.Windows(); len(windows) != 1 || windows[0].Window != 200 {
		t.Errorf("windows %+v", windows)
	}
}

func TestOnlyChangedCountsAreSent(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newTestRecorder(&now)
	r.Record("a", now)
	r.Record("b", now)
	_, sequence := r.changedSince(0)
	r.Record("b", now)
	changed, _ := r.changedSince(sequence)
	if len(changed) != 1 || len(changed[200]) != 1 || changed[200]["b"] != 2 {
		t.Errorf("changed counts %v", changed)
	}
	now = now.Add(sendPeriod + 2*testWindow)
	if changed, _ := r.changedSince(0); len(changed) != 0 || r.hasRecent() {
		t.Errorf("old counts %v are sent", changed)
	}
}
