package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// leavingTest is a tracker whose time the test sets.
type leavingTest struct {
	*Tracker

	at   time.Time
	told int // calls of the function of OnLeaving
}

func newLeavingTest() *leavingTest {
	l := &leavingTest{Tracker: NewTracker(nil), at: time.Unix(1000, 0)}
	l.bootNow = func() time.Time { return l.at }
	l.OnLeaving(func() { l.told++ })
	return l
}

func (l *leavingTest) isPicked() bool { return l.Pick(Request{Service: "s"}) != nil }

// Guards against work that is placed on a replica after it announced that it is leaving, and against
// a new incarnation that gets none because of its predecessor, for each order of events.
func TestNothingIsPlacedOnLeavingReplica(t *testing.T) {
	replica := catalog.Replica{ID: "r", Service: "s", Address: "a:1", StartedMs: 5, State: catalog.Ready, Slots: 4}
	changed := func(change func(r *catalog.Replica)) catalog.Replica {
		r := replica
		change(&r)
		return r
	}
	draining := changed(func(r *catalog.Replica) { r.State = catalog.Draining })
	reborn := changed(func(r *catalog.Replica) { r.StartedMs = 6 })
	moved := changed(func(r *catalog.Replica) { r.Address = "a:2" })
	type step func(l *leavingTest)
	set := func(r catalog.Replica) step { return func(l *leavingTest) { l.Set(r) } }
	mark := func(r catalog.Replica) step { return func(l *leavingTest) { l.MarkLeaving(r) } }
	remove := func(l *leavingTest) { l.Remove("r") }
	after := func(d time.Duration) step { return func(l *leavingTest) { l.at = l.at.Add(d) } }
	for name, row := range map[string]struct {
		steps  []step
		picked bool
	}{
		"no mark":                                 {[]step{set(replica)}, true},
		"mark":                                    {[]step{set(replica), mark(replica)}, false},
		"mark before the entry":                   {[]step{mark(replica), set(replica)}, false},
		"older entry after the mark":              {[]step{set(replica), mark(replica), set(draining), set(replica)}, false},
		"later entry, ready, after the mark":      {[]step{set(draining), mark(replica), set(replica)}, false},
		"ready again and again":                   {[]step{set(replica), mark(replica), set(replica), after(time.Hour), set(replica)}, false},
		"listed for long after the mark":          {[]step{set(replica), mark(replica), after(24 * time.Hour)}, false},
		"removed and back":                        {[]step{set(replica), mark(replica), remove, set(replica)}, false},
		"removed and back within the retention":   {[]step{set(replica), mark(replica), after(time.Hour), remove, after(markRetention), set(replica)}, false},
		"removed twice within the retention":      {[]step{set(replica), mark(replica), remove, after(markRetention), set(replica), remove, after(markRetention), set(replica)}, false},
		"removed and back after the retention":    {[]step{set(replica), mark(replica), remove, after(markRetention + 1), set(replica)}, true},
		"mark long before the entry":              {[]step{mark(replica), after(markRetention + 1), set(replica)}, true},
		"marked again after the retention":        {[]step{mark(replica), after(markRetention + 1), set(replica), mark(replica)}, false},
		"new incarnation":                         {[]step{set(replica), mark(replica), set(reborn)}, true},
		"new address":                             {[]step{set(replica), mark(replica), set(moved)}, true},
		"new incarnation after a removal":         {[]step{set(replica), mark(replica), remove, set(reborn)}, true},
		"entry of the old incarnation after that": {[]step{set(replica), mark(replica), set(reborn), set(replica)}, false},
		"new incarnation is marked too":           {[]step{set(replica), mark(replica), set(reborn), mark(reborn)}, false},
		"late mark of the old incarnation":        {[]step{set(replica), set(reborn), mark(replica)}, true},
		"late mark of the old address":            {[]step{set(moved), mark(replica)}, true},
	} {
		l := newLeavingTest()
		for _, s := range row.steps {
			s(l)
		}
		if got := l.isPicked(); got != row.picked {
			t.Errorf("%s: picked %t, want %t", name, got, row.picked)
		}
	}
}

// Guards against a leaving replica that is used because no other one is left, or counts as one that
// takes requests again later.
func TestLeavingReplicaIsNotUsedEvenIfItIsTheOnlyOne(t *testing.T) {
	l := newLeavingTest()
	r := catalog.Replica{ID: "r", Service: "s", Address: "a:1", State: catalog.Ready}
	l.Set(r)
	l.Defer("r", time.Hour, false)
	l.MarkLeaving(r)
	l.MarkLeaving(r)
	if _, limited := l.UntilDeferredEnd("s"); limited {
		t.Error("requests wait for the request limit of a replica that is leaving")
	}
	l.Defer("r", 0, false)
	for _, request := range []Request{{Service: "s"}, {Service: "s", RequireFreeSlot: true}, {Service: "s", AffinityKey: "k"}} {
		if l.Pick(request) != nil {
			t.Errorf("%+v was placed on the replica", request)
		}
	}
	if healthy, listed := l.Healthy(Request{Service: "s"}); len(healthy) != 0 || listed != 1 {
		t.Errorf("%d healthy replicas of %d, want 0 of 1", len(healthy), listed)
	}
	if l.told != 1 || l.LeavingCount() != 1 {
		t.Errorf("other daemons were told %d times, %d replicas are marked, want 1 of each", l.told, l.LeavingCount())
	}
	l.Remove("r")
	if l.LeavingCount() != 0 {
		t.Error("a replica without an entry counts")
	}
}

// Guards against marks that grow without bound, and against a listed replica that gets work again
// because of them.
func TestNumberOfMarksIsBounded(t *testing.T) {
	l := newLeavingTest()
	listed := catalog.Replica{ID: "r", Service: "s", Address: "a:1", State: catalog.Ready}
	l.Set(listed)
	l.MarkLeaving(listed)
	for i := range maxMarks + 100 {
		l.at = l.at.Add(time.Millisecond)
		l.MarkLeaving(catalog.Replica{ID: fmt.Sprint("x", i), Address: "a:1"})
	}
	if len(l.leaving) != maxMarks {
		t.Errorf("%d marks, want %d", len(l.leaving), maxMarks)
	}
	l.Set(listed)
	if l.isPicked() {
		t.Error("the mark of a listed replica was forgotten before those of others")
	}
	if got := len(l.LeavingTopic().Facts()); got != maxMarkFacts {
		t.Errorf("%d facts, want %d", got, maxMarkFacts)
	}
}

// Guards against a daemon that places work on a replica whose announcement other daemons got, against
// telling it without end, and against facts that mark other replicas.
func TestLeavingReplicasAreToldToOtherDaemons(t *testing.T) {
	first, second := newLeavingTest(), newLeavingTest()
	r := catalog.Replica{ID: "r@x", Service: "s", Address: "a:1", StartedMs: 5, State: catalog.Ready}
	for _, l := range []*leavingTest{first, second} {
		l.Set(r)
	}
	if first.LeavingTopic().Digest() != 0 {
		t.Error("a digest without facts is not 0")
	}
	first.MarkLeaving(r)
	first.at = first.at.Add(time.Minute)
	facts := first.LeavingTopic().Facts()
	if len(facts) != 1 || facts[0].Key != "r@x@5" || facts[0].Age != time.Minute {
		t.Fatalf("facts %+v", facts)
	}
	if !second.LeavingTopic().Merge(facts) || second.isPicked() {
		t.Error("the mark did not reach the other daemon")
	}
	if second.LeavingTopic().Merge(facts) {
		t.Error("a known mark counts as news")
	}
	if a, b := first.LeavingTopic().Digest(), second.LeavingTopic().Digest(); a != b || a == 0 {
		t.Errorf("digests %d and %d", a, b)
	}
	second.at = second.at.Add(markFactLifetime - time.Minute)
	if len(second.LeavingTopic().Facts()) != 1 {
		t.Error("the fact was dropped too early")
	}
	second.at = second.at.Add(1)
	if len(second.LeavingTopic().Facts()) != 0 || second.LeavingTopic().Digest() != 0 {
		t.Error("the fact is told for too long: its age at the first daemon must count")
	}
	if second.isPicked() {
		t.Error("the mark ended with the fact")
	}
	third := newLeavingTest()
	third.Set(r)
	facts[0].Age = markFactLifetime + 1
	bad := append(facts, facts[0], facts[0], facts[0])
	bad[1].Key, bad[2].Key, bad[3].Key = "r@x", "@5", "r@x@five"
	for i := range bad[1:] {
		bad[i+1].Age = 0
	}
	if third.LeavingTopic().Merge(bad) || !third.isPicked() {
		t.Error("an old or unreadable fact marked a replica")
	}
}
