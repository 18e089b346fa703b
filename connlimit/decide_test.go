package connlimit

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// at returns a load whose last byte arrived some seconds after start.
func at(state State, charge int64, seconds int) Load {
	return Load{State: state, Raw: charge, Charge: charge, Began: start, LastByte: start.Add(time.Duration(seconds) * time.Second)}
}

// A client that sends a small head must not be closed for the large heads of others, nor must a
// request that may run.
func TestLargestUnfinishedRequestIsClosed(t *testing.T) {
	table := []struct {
		name  string
		loads []Load
		want  int
	}{
		{"no connection", nil, -1},
		{"nothing unfinished", []Load{at(Waiting, 0, 0), at(Running, 0, 0)}, -1},
		{"largest head", []Load{at(Head, 10, 0), at(Head, 30, 5), at(Head, 20, 0)}, 1},
		{"a head whose body is missing", []Load{at(Head, 10, 0), at(Body, 20, 0)}, 1},
		{"never a running request", []Load{at(Running, 50, 0), at(Head, 1, 0)}, 1},
		{"the longest idle of equal ones", []Load{at(Head, 10, 2), at(Head, 10, 1)}, 1},
	}
	for _, row := range table {
		if got := largestUnfinished(row.loads); got != row.want {
			t.Errorf("%s: %d, want %d", row.name, got, row.want)
		}
	}
}

// A client that has just connected must not be closed for those that send nothing, nor must a
// request that may run.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	table := []struct {
		name  string
		loads []Load
		want  int
	}{
		{"no connection", nil, -1},
		{"only running requests", []Load{at(Running, 0, 0), at(Running, 0, 1)}, -1},
		{"the earliest last byte", []Load{at(Waiting, 0, 3), at(Head, 9, 1), at(Body, 0, 2)}, 1},
		{"never a running request", []Load{at(Running, 0, 0), at(Waiting, 0, 9)}, 1},
	}
	for _, row := range table {
		if got := longestIdle(row.loads); got != row.want {
			t.Errorf("%s: %d, want %d", row.name, got, row.want)
		}
	}
}

// A head within the bounds must be accepted until the last byte and the last moment, and one beyond
// them must not be.
func TestBoundsOfAConnection(t *testing.T) {
	bounds := Bounds{HeadBytes: 100, HeadTime: 5 * time.Second, IdleTime: time.Minute}
	peer := Bounds{HeadBytes: 100, HeadTime: 5 * time.Second, FirstOnly: true}
	served := func(l Load) Load { l.Served = true; return l }
	table := []struct {
		name   string
		load   Load
		bounds Bounds
		after  time.Duration
		long   bool
		reason Reason
	}{
		{"head at the bounds", at(Head, 100, 0), bounds, 5 * time.Second, false, ""},
		{"head too long", at(Head, 101, 0), bounds, 0, true, ""},
		{"head too late", at(Head, 1, 5), bounds, 5*time.Second + 1, false, HeadTime},
		{"second head too late", served(at(Head, 1, 5)), bounds, 5*time.Second + 1, false, HeadTime},
		{"nothing sent", at(Waiting, 0, 0), bounds, 5*time.Second + 1, false, HeadTime},
		{"idle between requests", served(at(Waiting, 0, 0)), bounds, time.Minute, false, ""},
		{"idle for too long", served(at(Waiting, 0, 0)), bounds, time.Minute + 1, false, IdleTime},
		{"running", served(at(Running, 0, 0)), bounds, time.Hour, false, ""},
		{"body under way", served(at(Body, 0, 0)), bounds, time.Minute, false, ""},
		{"body without a byte for too long", served(at(Body, 0, 0)), bounds, time.Minute + 1, false, IdleTime},
		{"first frame of a peer", at(Head, 101, 0), peer, 5*time.Second + 1, true, HeadTime},
		{"later frame of a peer", served(at(Head, 101, 0)), peer, time.Hour, false, ""},
		{"idle peer", served(at(Waiting, 0, 0)), peer, time.Hour, false, ""},
	}
	for _, row := range table {
		if got := exceedsHead(row.load, row.bounds); got != row.long {
			t.Errorf("%s: too long is %v", row.name, got)
		}
		if got := expired(row.load, row.bounds, start.Add(row.after)); got != row.reason {
			t.Errorf("%s: expired is %q, want %q", row.name, got, row.reason)
		}
	}
}

// The bounds must leave room above the configuration's limits, and stay where it names none.
func TestBoundsFollowTheConfiguration(t *testing.T) {
	defaults := Bounds{HeadBytes: 64 << 10, HeadTime: 10 * time.Second}
	if got := defaults.Within(0, 0); got != defaults {
		t.Errorf("without limits: %+v", got)
	}
	for _, size := range []int64{1, 16384, 1 << 20} {
		if got := defaults.Within(size, time.Second); got.HeadBytes < size+8<<10 || got.HeadTime <= time.Second {
			t.Errorf("limit %d: %+v", size, got)
		}
	}
}

// What clients may take must fit in the smallest instance and leave descriptors for replicas.
func TestSharesOfTheProcess(t *testing.T) {
	const memory = 184 << 20
	connections := MaxConnections(memory, 4100)
	if connections > 4100*5/8 || connections*connMemory > memory/8 {
		t.Errorf("%d connections", connections)
	}
	if total := HeadMemory(memory) + BodyMemory(memory) + int64(connections)*connMemory; total > memory*6/10 {
		t.Errorf("clients may take %d bytes together", total)
	}
	if HeadMemory(0) != defaultHeadMemory || BodyMemory(0) != 64<<20 || MaxConnections(0, 800) != 500 {
		t.Error("shares without a memory setting")
	}
	sum := 0
	for _, address := range []Address{Front, Ready, Metric, Peer} {
		sum += share(connections, address)
	}
	if sum > connections {
		t.Errorf("the addresses have %d connections of %d", sum, connections)
	}
}

// Many bodies together must stay within the budget, and a single one must be read whatever the budget.
func TestBudgetAdmitsASingleLargeBody(t *testing.T) {
	const mb = 1 << 20
	b := NewBudget(8 * mb)
	ordinary, first, second := b.Holder(12*mb), b.Holder(12*mb), b.Holder(12*mb)
	if !ordinary.Take(smallBody) || !first.Take(5*mb) || !first.Take(7*mb) || first.Take(1) {
		t.Error("a single large body may take 12 MB, also beside a small one")
	}
	if second.Take(2 * smallBody) {
		t.Error("a second large body was admitted beside one over the budget")
	}
	first.Release()
	first.Release()
	ordinary.Release()
	if !second.Take(4*mb) || !first.Take(3*mb) || first.Take(mb) || second.Take(mb) || b.Used() != 7*mb || b.Refused() != 4 {
		t.Errorf("used %d, refused %d", b.Used(), b.Refused())
	}
}

// Clients that begin large bodies and do not end them must not keep ordinary requests from being
// served, and clients with many small bodies must stay within the budget.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const mb = 1 << 20
	b := NewBudget(8 * mb)
	for b.Holder(8 * mb).Take(mb) {
	}
	if b.Used() != 7*mb {
		t.Errorf("large bodies took %d bytes", b.Used())
	}
	small := 0
	for ; b.Holder(8 * mb).Take(smallBody); small++ {
	}
	if small != mb/smallBody || b.Used() != 8*mb {
		t.Errorf("%d small bodies, %d bytes", small, b.Used())
	}
	grown := NewBudget(8 * mb)
	h := grown.Holder(0)
	for range 2 {
		if !h.Take(smallBody) {
			t.Error("a body alone can't grow")
		}
	}
	if grown.used != (usage{large: 2 * smallBody}) {
		t.Errorf("a body that grew is counted as %+v", grown.used)
	}
	if h.Release(); grown.used != (usage{}) {
		t.Errorf("%+v after the release", grown.used)
	}
	many := NewBudget(8 * mb)
	for many.Holder(0).Take(smallBody) {
	}
	if many.Used() != 8*mb || many.Holder(0).Take(2*smallBody) {
		t.Errorf("small bodies took %d bytes", many.Used())
	}
}
