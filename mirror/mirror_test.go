package mirror

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

func newTestMirror() *Mirror {
	return New(Config{Self: "d1", Kinds: []Kind{{Name: "servers", MaxWatchWait: time.Second}}}, nil, nil, func() []Member { return nil }, nil)
}

func testObject(key string, version int64) objectapi.Object {
	return objectapi.Object{Key: "servers/" + key, Version: version}
}

func hasObject(m *Mirror, key string) bool {
	for _, o := range m.Objects("servers") {
		if o.Key == "servers/"+key {
			return true
		}
	}
	return false
}

func TestObjectsMissingAfterOutageHaveGracePeriod(t *testing.T) {
	m := newTestMirror()
	m.replace("servers", objectapi.Snapshot{Revision: 2, Objects: []objectapi.Object{testObject("a", 1), testObject("b", 2)}})
	m.freshAt = time.Now().Add(-time.Minute) // simulates an outage
	m.replace("servers", objectapi.Snapshot{Revision: 5})
	if !hasObject(m, "a") || !hasObject(m, "b") {
		t.Fatal("missing objects are deleted right after the outage")
	}
	m.apply("servers", objectapi.Change{Revision: 6, Object: testObject("b", 6)}) // b is written again
	m.kinds["servers"].missing["servers/a"] = time.Now().Add(-time.Millisecond)
	m.expireMissing()
	if hasObject(m, "a") || !hasObject(m, "b") {
		t.Errorf("a: %t, b: %t; want only b", hasObject(m, "a"), hasObject(m, "b"))
	}
}

// A collector whose connection to the store has just recovered must apply a deletion that it
// receives now, without a grace period (run hunt-cff0-27 of conchilla-hub).
func TestDeletionAfterOutageIsAppliedAtOnce(t *testing.T) {
	m := newTestMirror()
	m.replace("servers", objectapi.Snapshot{Revision: 2, Objects: []objectapi.Object{testObject("a", 1)}})
	m.freshAt = time.Now().Add(-time.Minute)
	m.apply("servers", objectapi.Change{Revision: 3, Bookmark: true}) // the outage is over
	m.apply("servers", objectapi.Change{Revision: 4, Object: testObject("a", 4), Deleted: true})
	if hasObject(m, "a") {
		t.Error("deleted object is still in the copy")
	}
}

func TestUpdatesBringMirrorToSameState(t *testing.T) {
	source, target := newTestMirror(), newTestMirror()
	source.replace("servers", objectapi.Snapshot{Revision: 3, Objects: []objectapi.Object{testObject("a", 1), testObject("b", 2)}})
	syncOnce := func() int {
		resp, _ := source.updatesFor(target.syncRequest(0))
		for _, update := range resp.News {
			target.applyUpdate(update, "other", false)
		}
		return len(resp.News)
	}
	if syncOnce() != 1 || !hasObject(target, "a") || !hasObject(target, "b") {
		t.Fatal("first update is not complete")
	}
	if syncOnce() != 0 {
		t.Error("got an update although nothing changed")
	}
	source.apply("servers", objectapi.Change{Revision: 4, Bookmark: true})
	if syncOnce() != 0 {
		t.Error("got an update for a revision without a change")
	}
	source.apply("servers", objectapi.Change{Revision: 5, Object: testObject("a", 5), Deleted: true})
	if syncOnce() != 1 || hasObject(target, "a") {
		t.Error("deletion is not passed on")
	}
}

func TestOlderUpdatesAreIgnored(t *testing.T) {
	m := newTestMirror()
	m.replace("servers", objectapi.Snapshot{Revision: 9, Objects: []objectapi.Object{testObject("a", 8)}})
	if m.applyUpdate(&mirrorpb.News{Kind: "servers", Revision: 7}, "other", false) || !hasObject(m, "a") {
		t.Error("older state replaced a newer one")
	}
}

// A daemon restarts, and the first daemon it asks has been cut off since before a server left. The
// server must not be used again while another daemon can send a fresh copy.
func TestRestartedDaemonWaitsForAFreshCopy(t *testing.T) {
	stale := &mirrorpb.SyncAnswer{AgeMs: time.Minute.Milliseconds(), News: []*mirrorpb.News{
		{Kind: "servers", Revision: 5, Keys: []string{"servers/left"}, Changed: []*mirrorpb.Object{{Key: "servers/left", Version: 4}}},
	}}
	fresh := &mirrorpb.SyncAnswer{AgeMs: 10, News: []*mirrorpb.News{
		{Kind: "servers", Revision: 9, Keys: []string{"servers/a"}, Changed: []*mirrorpb.Object{{Key: "servers/a", Version: 8}}},
	}}
	m := newTestMirror()
	if got := m.applyResponse("cut-off", 0, stale); got != staleCopy || m.Known("servers") {
		t.Errorf("result %v, known %t; want a stale copy that is not used", got, m.Known("servers"))
	}
	if got := m.applyResponse("other", 0, fresh); got != freshCopy || hasObject(m, "left") || !hasObject(m, "a") {
		t.Errorf("result %v, left %t, a %t; want only a", got, hasObject(m, "left"), hasObject(m, "a"))
	}

	isolated := newTestMirror()
	isolated.startedAt = time.Now().Add(-staleFallbackDelay)
	isolated.applyResponse("cut-off", 0, stale)
	if !isolated.Known("servers") {
		t.Error("a stale copy is not used although there is no other")
	}
	if resp, _ := isolated.updatesFor(&mirrorpb.SyncRequest{}); resp.AgeMs < staleAge.Milliseconds() {
		t.Error("a restarted daemon passes a stale copy on as fresh")
	}
}

// The store's history expires, so that a collector must list the kind again. Until then it must not
// take an older copy of another daemon, in which servers that have left still stand, and it stays
// ready.
func TestOlderUpdatesAreIgnoredAfterHistoryExpired(t *testing.T) {
	m := newTestMirror()
	m.replace("servers", objectapi.Snapshot{Revision: 9, Objects: []objectapi.Object{testObject("a", 8)}})
	m.requireList("servers")
	m.applyUpdate(&mirrorpb.News{
		Kind: "servers", Revision: 5, Keys: []string{"servers/left"}, Changed: []*mirrorpb.Object{{Key: "servers/left", Version: 4}},
	}, "other", false)
	if hasObject(m, "left") || !hasObject(m, "a") || !m.Known("servers") {
		t.Errorf("left %t, a %t, known %t; want only a", hasObject(m, "left"), hasObject(m, "a"), m.Known("servers"))
	}
}

func TestMirrorWithoutStoreIsNoSource(t *testing.T) {
	m := newTestMirror()
	if resp, _ := m.updatesFor(&mirrorpb.SyncRequest{}); resp.AgeMs < unknownAge.Milliseconds() {
		t.Error("mirror without a complete copy advertises a fresh one")
	}
	m.watching = watchAll
	m.replace("servers", objectapi.Snapshot{Revision: 2})
	if resp, _ := m.updatesFor(&mirrorpb.SyncRequest{}); resp.AgeMs >= staleAge.Milliseconds() {
		t.Error("fresh mirror advertises a stale copy")
	}
	m.storeFailed("servers", fmt.Errorf("refused"))
	if resp, _ := m.updatesFor(&mirrorpb.SyncRequest{}); resp.AgeMs < staleAge.Milliseconds() {
		t.Error("mirror without a response from the store advertises a fresh copy")
	}
}

func testFleet(n, domains int) []Member {
	var members []Member
	for i := range n {
		members = append(members, Member{ID: fmt.Sprint("d", i), Address: fmt.Sprint("10.0.0.", i), FailureDomain: fmt.Sprint("x", i%domains)})
	}
	return members
}

func noneSkipped(string) bool { return false }

func TestFewCollectorsServeAllDomains(t *testing.T) {
	for _, row := range []struct{ n, domains, want int }{{1, 1, 1}, {9, 3, 2}, {70, 3, 2}, {120, 4, 4}, {360, 6, 6}} {
		chosen := collectors(collectorOrder(testFleet(row.n, row.domains)), noneSkipped)
		domains := map[string]bool{}
		for _, m := range chosen {
			domains[m.FailureDomain] = true
		}
		if len(chosen) != row.want || row.n > smallFleetSize && len(domains) != row.domains {
			t.Errorf("%d daemons: %d collectors in %d domains, want %d", row.n, len(chosen), len(domains), row.want)
		}
	}
}

// Daemons that know the seeds only by address must choose the same first collector as those that
// know their IDs; otherwise no daemon watches all kinds (incident fresh-74ca of ksfh-tide).
func TestFirstCollectorIsTheSameByAddressAndByID(t *testing.T) {
	members := testFleet(3, 2)
	first := collectorOrder(members)[0].Address
	for self := range members {
		seen := []Member{}
		for i, m := range members {
			if i != self {
				m = Member{ID: m.Address, Address: m.Address}
			}
			seen = append(seen, m)
		}
		if got := collectorOrder(seen)[0].Address; got != first {
			t.Errorf("first collector according to daemon %d: got %s, want %s", self, got, first)
		}
	}
}

// In a fleet with a collector in each domain only the first one watches the kinds that are not
// urgent. The others must ask it for them: if they ask each other only, those kinds grow old, and
// after 12 s each daemon of their domains watches all kinds in the store (19,198 calls instead of
// some 5,000 on a day of 295 instances).
func TestCollectorsAskTheFirstCollector(t *testing.T) {
	for _, domains := range []int{2, 4, 5, 6} {
		ordered := collectorOrder(testFleet(250, domains))
		chosen := collectors(ordered, noneSkipped)
		for _, self := range chosen[1:] {
			if got := collectorSources(sources(self, ordered, chosen), chosen)[0]; got.ID != chosen[0].ID {
				t.Errorf("%d domains: collector %s asks %s first, want %s", domains, self.ID, got.ID, chosen[0].ID)
			}
		}
		first := collectorSources(sources(chosen[0], ordered, chosen), chosen)
		if contains(first, chosen[0].ID) {
			t.Errorf("%d domains: the first collector asks itself", domains)
		}
	}
}

func TestNextInOrderReplacesSkippedCollectors(t *testing.T) {
	ordered := collectorOrder(testFleet(9, 3))
	skipped := map[string]bool{ordered[0].ID: true, ordered[1].ID: true}
	chosen := collectors(ordered, func(id string) bool { return skipped[id] })
	if len(chosen) != 2 || chosen[0].ID != ordered[2].ID {
		t.Errorf("collectors %v", chosen)
	}
	from := sources(ordered[5], ordered, chosen)
	if len(from) != 8 || from[0].ID != chosen[0].ID && from[0].ID != chosen[1].ID {
		t.Errorf("sources %v", from)
	}
}

// Guards against an object that ends every daemon, and each again after its restart: one without a name,
// whose key is only its kind, or one that an observer can't bear.
func TestOddObjectEndsNoDaemon(t *testing.T) {
	m := newTestMirror()
	var observed []string
	m.Observe("servers", func(c Change) {
		if c.Key == "servers/bad" {
			panic("odd object")
		}
		observed = append(observed, c.Key[len("servers/"):])
	})
	objects := []objectapi.Object{{Key: "servers", Version: 1}, testObject("", 1), testObject("a", 2), testObject("bad", 3), testObject("z", 4)}
	m.replace("servers", objectapi.Snapshot{Revision: 5, Objects: objects})
	m.apply("servers", objectapi.Change{Revision: 6, Object: objectapi.Object{Key: "servers", Version: 6}})
	m.apply("servers", objectapi.Change{Revision: 7, Object: objectapi.Object{Key: "servers", Version: 7}, Deleted: true})
	m.apply("servers", objectapi.Change{Revision: 8, Object: testObject("b", 8)})
	if fmt.Sprint(observed) != "[a z b]" {
		t.Errorf("observed %v, want a, z and b", observed)
	}
}

// serviceConn connects a mirror with the service of another one.
type serviceConn struct {
	drpc.Conn

	service service
	largest int // size of the largest response
	calls   int
}

// serviceConns implements peer.ConnProvider with one connection.
type serviceConns struct{ conn *serviceConn }

// Conn implements peer.ConnProvider.
func (c serviceConns) Conn(context.Context, string) (drpc.Conn, error) { return c.conn, nil }

// Invoke implements drpc.Conn.
func (c *serviceConn) Invoke(ctx context.Context, _ string, _ drpc.Encoding, in, out drpc.Message) error {
	resp, err := c.service.Sync(ctx, in.(*mirrorpb.SyncRequest))
	if err != nil {
		return err
	}
	c.calls++
	c.largest = max(c.largest, proto.Size(resp))
	proto.Merge(out.(proto.Message), resp)
	return nil
}

// Guards against daemons that learn nothing from others any more since a few large objects make the
// response larger than a message may be. The changes then come in parts, and the copy counts as fresh
// only with the last one.
func TestLargeUpdatesComeInParts(t *testing.T) {
	const maxMessage = 4 << 20 // of drpc
	source, target := newTestMirror(), newTestMirror()
	var objects []objectapi.Object
	for n := range 12 {
		o := testObject(fmt.Sprint("large-", n), int64(2*n+1))
		o.Value = make([]byte, 900<<10)
		objects = append(objects, o, testObject(fmt.Sprint("small-", n), int64(2*n+2)))
	}
	source.replace("servers", objectapi.Snapshot{Revision: 40, Objects: objects})
	conn := &serviceConn{service: service{source}}
	target.conns = serviceConns{conn}
	if got := target.applyResponse("d2", 0, firstResponse(t, conn)); got != emptyCopy {
		t.Errorf("the first of several parts counts as %v", got)
	}
	if got := target.syncFrom(t.Context(), Member{ID: "d2", Address: "a"}, 0); got != freshCopy {
		t.Errorf("all parts count as %v", got)
	}
	if conn.largest > maxMessage || conn.calls > 12 {
		t.Errorf("%d responses of up to %d bytes", conn.calls, conn.largest)
	}
	if got, want := len(target.Objects("servers")), len(objects); got != want || target.kinds["servers"].revision != 40 {
		t.Errorf("%d of %d objects up to revision %d", got, want, target.kinds["servers"].revision)
	}
	source.apply("servers", objectapi.Change{Revision: 41, Object: testObject("large-3", 41), Deleted: true})
	if got := target.syncFrom(t.Context(), Member{ID: "d2", Address: "a"}, 0); got != freshCopy || hasObject(target, "large-3") {
		t.Errorf("after a deletion: %v, still there: %v", got, hasObject(target, "large-3"))
	}
}

func firstResponse(t *testing.T, conn *serviceConn) *mirrorpb.SyncAnswer {
	t.Helper()
	resp, err := conn.service.Sync(t.Context(), &mirrorpb.SyncRequest{Known: []*mirrorpb.Known{{Kind: "servers"}}})
	if err != nil {
		t.Fatal(err)
	}
	conn.largest = proto.Size(resp)
	return resp
}
