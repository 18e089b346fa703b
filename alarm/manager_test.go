package alarm

import (
	"fmt"
	"testing"
	"time"
)

type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

func newTestManager() (*Manager, *fakeClock) {
	c := &fakeClock{time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	return NewManager(Config{ClearAfter: 30 * time.Second, Now: c.now}, nil), c
}

func TestAlarmHasEvidenceAndRemedyAndClears(t *testing.T) {
	for _, promise := range Promises() {
		t.Run(string(promise), func(t *testing.T) {
			m, c := newTestManager()
			m.Broken(promise, Evidence{Service: "draftpool", Subject: "s1", Detail: "first"})
			c.at = c.at.Add(20 * time.Second)
			m.Broken(promise, Evidence{Service: "draftpool", Subject: "s2", Detail: "second"})
			raised := m.Raised()
			if len(raised) != 1 {
				t.Fatalf("alarms: %+v", raised)
			}
			a := raised[0]
			if a.Count != 2 || len(a.Evidence) != 2 || a.Evidence[1].Subject != "s2" || a.Evidence[0].At.IsZero() {
				t.Errorf("alarm %+v", a)
			}
			if a.Remedy == "" || a.Remedy == RemedyFor("other") {
				t.Errorf("remedy %q", a.Remedy)
			}
			c.at = c.at.Add(29 * time.Second)
			if len(m.Raised()) != 1 {
				t.Error("alarm cleared before ClearAfter has passed")
			}
			c.at = c.at.Add(time.Second)
			if remaining := m.Raised(); len(remaining) != 0 {
				t.Errorf("alarm not cleared: %+v", remaining)
			}
			if n := m.Counters(); n.Raised != 1 || n.Cleared != 1 || n.Broken[promise] != 2 {
				t.Errorf("counters %+v", n)
			}
		})
	}
}

func TestKeptPromisesRaiseNothing(t *testing.T) {
	m, _ := newTestManager()
	for _, promise := range Promises() {
		for range 100 {
			m.Kept(promise, "draftpool")
		}
	}
	if raised := m.Raised(); len(raised) != 0 {
		t.Errorf("alarms: %+v", raised)
	}
}

func TestOneAlarmPerPromiseAndServiceWithBoundedEvidence(t *testing.T) {
	m, _ := newTestManager()
	for i := range 1000 {
		m.Broken(AtMostOnce, Evidence{Service: fmt.Sprintf("s%d", i%2), Subject: fmt.Sprint(i)})
	}
	raised := m.Raised()
	if len(raised) != 2 || raised[0].Count != 500 || len(raised[0].Evidence) != maxEvidence {
		t.Fatalf("alarms: %+v", raised)
	}
	if newest := raised[1].Evidence[maxEvidence-1].Subject; newest != "999" {
		t.Errorf("newest evidence is about subject %s, want 999", newest)
	}
}
