package alarm

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// fakeFleet is the fleet as seen by daemon "d1". The test sets its contents.
type fakeFleet struct {
	fleet.View
	fleet.Documents
	fleet.DocumentAdmin
	owner    string
	services []fleet.ServiceStatus
	current  []document.VersionedDocument
	err      error
}

func (f *fakeFleet) Self() fleet.Member { return fleet.Member{ID: "d1"} }

func (f *fakeFleet) Owners(string, int) []fleet.Member { return []fleet.Member{{ID: f.owner}} }

func (f *fakeFleet) All() []document.VersionedDocument { return f.current }

func (f *fakeFleet) Status(context.Context) ([]fleet.ServiceStatus, error) { return f.services, f.err }

func newTestWatch() (*InForceWatch, *fakeFleet, *Manager, *fakeClock) {
	m, c := newTestManager()
	f := &fakeFleet{owner: "d1"}
	config := InForceConfig{MaxDelay: 10 * time.Second, Now: c.now}
	return NewInForceWatch(config, f, f, f, m, nil), f, m, c
}

func laggingStatus(c *fakeClock, version int64) []fleet.ServiceStatus {
	return []fleet.ServiceStatus{{
		Service: "ledgerdesk", Version: version, InForce: []string{"d1"},
		Lagging: []fleet.LaggingMember{{Member: "d2", Version: version - 1, Since: c.at}},
	}}
}

func TestDocumentNotInForceInTimeRaisesAlarmThatNamesTheDaemon(t *testing.T) {
	w, f, m, c := newTestWatch()
	f.services = laggingStatus(c, 7)
	c.at = c.at.Add(10 * time.Second)
	w.Check(t.Context())
	if raised := m.Raised(); len(raised) != 0 {
		t.Fatalf("alarm within the limit: %+v", raised)
	}
	c.at = c.at.Add(time.Second)
	w.Check(t.Context())
	raised := m.Raised()
	if len(raised) != 1 || raised[0].Promise != InForce || raised[0].Evidence[0].Subject != "d2" {
		t.Fatalf("alarms %+v", raised)
	}
	f.services[0].Lagging = nil
	c.at = c.at.Add(30 * time.Second)
	w.Check(t.Context())
	if raised := m.Raised(); len(raised) != 0 {
		t.Errorf("alarm not cleared: %+v", raised)
	}
}

func TestDocumentThatRevertsRaisesAlarm(t *testing.T) {
	w, f, m, _ := newTestWatch()
	f.owner = "d2"
	for _, version := range []int64{3, 5, 5, 4} {
		f.current = []document.VersionedDocument{{Document: &document.Document{Service: "ledgerdesk"}, Version: version}}
		w.Check(t.Context())
	}
	raised := m.Raised()
	if len(raised) != 1 || raised[0].Count != 1 || raised[0].Evidence[0].Detail != "version went back from 5 to 4" {
		t.Errorf("alarms %+v", raised)
	}
}

func TestInForceWatchRaisesNothingOnOtherDaemonsOrWithoutStatus(t *testing.T) {
	w, f, m, c := newTestWatch()
	f.services = laggingStatus(c, 7)
	c.at = c.at.Add(time.Minute)
	f.owner = "d2"
	w.Check(t.Context())
	f.owner, f.err = "d1", errors.New("no collector responds")
	w.Check(t.Context())
	if raised := m.Raised(); len(raised) != 0 {
		t.Errorf("alarms %+v", raised)
	}
}
