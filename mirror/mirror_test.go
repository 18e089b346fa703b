package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

func testMirror() *Mirror {
	return New(Config{Self: "d1", Kinds: []Kind{{Name: "servers", Wait: time.Second}}}, nil, nil, func() []Member { return nil }, nil)
}

func object(key string, version int64) objectapi.Object {
	return objectapi.Object{Key: "servers/" + key, Version: version}
}

func has(m *Mirror, key string) bool {
	for _, o := range m.Objects("servers") {
		if o.Key == "servers/"+key {
			return true
		}
	}
	return false
}

func TestEntriesThatLapsedInAnOutageAreDoubtedFirst(t *testing.T) {
	m := testMirror()
	m.replace("servers", objectapi.Snapshot{Revision: 2, Objects: []objectapi.Object{object("a", 1), object("b", 2)}})
	m.fresh = time.Now().Add(-time.Minute) // an outage
	m.replace("servers", objectapi.Snapshot{Revision: 5})
	if !has(m, "a") || !has(m, "b") {
		t.Fatal("entries are gone right after the outage")
	}
	m.apply("servers", objectapi.Change{Revision: 6, Object: object("b", 6)}) // b is back
	m.kinds["servers"].doubted["servers/a"] = time.Now().Add(-time.Millisecond)
	m.settleDoubts()
	if has(m, "a") || !has(m, "b") {
		t.Errorf("a: %t, b: %t; want only b", has(m, "a"), has(m, "b"))
	}
}

// A collector that was cut off a short time ago must believe a deletion that it hears of
// now (hunt-cff0-27 of conchilla-hub).
func TestDeletionAfterAnOutageIsBelievedAtOnce(t *testing.T) {
	m := testMirror()
	m.replace("servers", objectapi.Snapshot{Revision: 2, Objects: []objectapi.Object{object("a", 1)}})
	m.fresh = time.Now().Add(-time.Minute)
	m.apply("servers", objectapi.Change{Revision: 3, Bookmark: true}) // the outage is over
	m.apply("servers", objectapi.Change{Revision: 4, Object: object("a", 4), Deleted: true})
	if has(m, "a") {
		t.Error("a deleted entry is still there")
	}
}

func TestNewsBringAnotherMirrorToTheSameState(t *testing.T) {
	source, target := testMirror(), testMirror()
	source.replace("servers", objectapi.Snapshot{Revision: 3, Objects: []objectapi.Object{object("a", 1), object("b", 2)}})
	pass := func() int {
		answer, _ := source.newsFor(target.question(0))
		for _, n := range answer.News {
			target.take(n, "other", false)
		}
		return len(answer.News)
	}
	if pass() != 1 || !has(target, "a") || !has(target, "b") {
		t.Fatal("the first news are not whole")
	}
	if pass() != 0 {
		t.Error("there are news although nothing changed")
	}
	source.apply("servers", objectapi.Change{Revision: 4, Bookmark: true})
	if pass() != 0 {
		t.Error("a revision without a change is told as news")
	}
	source.apply("servers", objectapi.Change{Revision: 5, Object: object("a", 5), Deleted: true})
	if pass() != 1 || has(target, "a") {
		t.Error("a deletion is not passed on")
	}
}

func TestOlderNewsAreIgnored(t *testing.T) {
	m := testMirror()
	m.replace("servers", objectapi.Snapshot{Revision: 9, Objects: []objectapi.Object{object("a", 8)}})
	if m.take(&mirrorpb.News{Kind: "servers", Revision: 7}, "other", false) || !has(m, "a") {
		t.Error("an older state replaced a newer one")
	}
}

func TestMirrorThatTheStoreTurnsAwayIsNoSource(t *testing.T) {
	m := testMirror()
	if answer, _ := m.newsFor(&mirrorpb.SyncRequest{}); answer.AgeMs < noAge.Milliseconds() {
		t.Error("a mirror that knows nothing offers news")
	}
	m.watching = allKinds
	m.replace("servers", objectapi.Snapshot{Revision: 2})
	if answer, _ := m.newsFor(&mirrorpb.SyncRequest{}); answer.AgeMs >= staleAge.Milliseconds() {
		t.Error("a fresh mirror offers no news")
	}
	m.storeFailed("servers", fmt.Errorf("refused"))
	if answer, _ := m.newsFor(&mirrorpb.SyncRequest{}); answer.AgeMs < staleAge.Milliseconds() {
		t.Error("a mirror that the store turns away still offers news")
	}
}

func fleet(n, domains int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{ID: fmt.Sprint("d", i), Address: fmt.Sprint("10.0.0.", i), FailureDomain: fmt.Sprint("x", i%domains)})
	}
	return members
}

func noneBad(string) bool { return false }

func TestFewCollectorsServeAllDomains(t *testing.T) {
	for _, row := range []struct{ n, domains, want int }{{1, 1, 1}, {9, 3, 2}, {70, 3, 2}, {120, 4, 4}, {360, 6, 6}} {
		chosen := collectors(order(fleet(row.n, row.domains)), noneBad)
		domains := map[string]bool{}
		for _, m := range chosen {
			domains[m.FailureDomain] = true
		}
		if len(chosen) != row.want || row.n > fewMembers && len(domains) != row.domains {
			t.Errorf("%d daemons: %d collectors in %d domains, want %d", row.n, len(chosen), len(domains), row.want)
		}
	}
}

// Daemons that know the seeds by address only must agree with those that know their IDs,
// or nobody watches (fresh-74ca of ksfh-tide).
func TestFirstCollectorIsTheSameByAddressAndByID(t *testing.T) {
	members := fleet(3, 2)
	first := order(members)[0].Address
	for self := range members {
		seen := []Member{}
		for i, m := range members {
			if i != self {
				m = Member{ID: m.Address, Address: m.Address}
			}
			seen = append(seen, m)
		}
		if got := order(seen)[0].Address; got != first {
			t.Errorf("daemon %d takes %s for the first, not %s", self, got, first)
		}
	}
}

func TestNextInOrderStepsInForBadCollectors(t *testing.T) {
	ordered := order(fleet(9, 3))
	bad := map[string]bool{ordered[0].ID: true, ordered[1].ID: true}
	chosen := collectors(ordered, func(id string) bool { return bad[id] })
	if len(chosen) != 2 || chosen[0].ID != ordered[2].ID {
		t.Errorf("collectors %v", chosen)
	}
	from := sources(ordered[5], ordered, chosen)
	if len(from) != 8 || from[0].ID != chosen[0].ID && from[0].ID != chosen[1].ID {
		t.Errorf("sources %v", from)
	}
}
