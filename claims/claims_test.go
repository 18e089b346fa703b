package claims

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

func isClaimed(err error) bool {
	return fault.Is(err, fault.Claimed) && fault.OutcomeOf(err) == fault.Unknown
}

func isUnavailableNotRun(err error) bool {
	return fault.Is(err, fault.Unavailable) && fault.OutcomeOf(err) == fault.NotRun
}

func TestKeyIsGrantedOnceAcrossDaemons(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	if err := c.claim(t, "b", "order-1"); err != nil {
		t.Fatal(err)
	}
	for _, daemon := range []string{"a", "b", "c"} {
		if err := c.claim(t, daemon, "order-1"); !isClaimed(err) {
			t.Errorf("copy through %s: %v", daemon, err)
		}
	}
	err := c.managers["c"].Claim(t.Context(), Claim{Service: "orders", Key: "order-1", Fingerprint: 2})
	if !fault.Is(err, fault.Conflict) || fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("another request with the same key: %v", err)
	}
	if err := c.claim(t, "c", "order-2"); err != nil {
		t.Errorf("another key: %v", err)
	}
}

func TestGrantSurvivesARestartOfAllDaemons(t *testing.T) {
	c := newCluster(t, "a")
	if err := c.claim(t, "a", "order-1"); err != nil {
		t.Fatal(err)
	}
	restarted := newCluster(t, "a")
	restarted.store = c.store
	restarted.managers["a"].store = c.store
	if err := restarted.claim(t, "a", "order-1"); !isClaimed(err) {
		t.Errorf("after a restart between claim and dispatch: %v", err)
	}
}

func TestAtMostOneGrantUnderFaultsAndTwoOwners(t *testing.T) {
	property := func(seed uint64, percent int) bool {
		c := newCluster(t, "a", "b", "c")
		c.setOwner("b", "b") // a and b both act as owner
		c.store.failRandomly(seed, percent)
		var granted [12]atomic.Int32
		var group sync.WaitGroup
		for i := range 72 {
			group.Go(func() {
				if c.claim(t, string(rune('a'+i%3)), fmt.Sprint("key", i%12)) == nil {
					granted[i%12].Add(1)
				}
			})
		}
		group.Wait()
		for i := range granted {
			if granted[i].Load() > 1 {
				return false
			}
		}
		return true
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 12
	properties := gopter.NewProperties(parameters)
	properties.Property("each key at most once", prop.ForAll(property, gen.UInt64(), gen.IntRange(0, 25)))
	properties.TestingRun(t)
}

func TestPausedOwnerGrantsNothingAfterATakeover(t *testing.T) {
	c := newCluster(t, "a", "b")
	if err := c.claim(t, "a", "first"); err != nil { // loads the shard on a
		t.Fatal(err)
	}
	paused, resume := make(chan struct{}), make(chan struct{})
	var firstCreate atomic.Bool
	c.store.setBeforeCall(func(call, key string) error {
		if call == "create" && firstCreate.CompareAndSwap(false, true) {
			close(paused)
			<-resume
		}
		return nil
	})
	result := make(chan error, 1)
	go func() { result <- c.claim(t, "a", "order-1") }()
	<-paused
	c.setOwner("b", "b")
	if err := c.claim(t, "b", "order-1"); err != nil {
		t.Fatal(err)
	}
	close(resume)
	if err := <-result; !isClaimed(err) {
		t.Errorf("the resumed owner returned %v, want claimed", err)
	}
}

func TestOwnerWithOutdatedStateGrantsNothingAfterACompaction(t *testing.T) {
	c := newCluster(t, "a", "b")
	if err := c.claim(t, "a", "first"); err != nil { // a would append entry 2 next
		t.Fatal(err)
	}
	c.setOwner("b", "b")
	if err := c.claim(t, "b", "order-1"); err != nil { // entry 2
		t.Fatal(err)
	}
	for i := range 2 * compactionThreshold {
		if err := c.claim(t, "b", fmt.Sprint("later", i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.store.Get(t.Context(), "claims/orders/0/e-000000000002"); !fault.Is(err, fault.NotFound) {
		t.Fatal("entry 2 was not compacted")
	}
	if err := c.claim(t, "a", "order-1"); !isClaimed(err) {
		t.Errorf("the owner with the outdated state returned %v, want claimed", err)
	}
	if err := c.claim(t, "a", "order-2"); err != nil {
		t.Errorf("a new key: %v", err)
	}
}

func TestAppendWithLostResponseIsGrantedOnce(t *testing.T) {
	c := newCluster(t, "a")
	lost := 0
	c.store.loseResponse = func(key string) bool {
		if strings.Contains(key, "/e-") {
			lost++
		}
		return lost == 1 && strings.Contains(key, "/e-")
	}
	if err := c.claim(t, "a", "order-1"); err != nil {
		t.Errorf("granted claim reported as %v", err)
	}
	if n := c.store.count("/e-"); n != 1 {
		t.Errorf("%d journal entries, want 1", n)
	}
	if err := c.claim(t, "a", "order-1"); !isClaimed(err) {
		t.Errorf("copy: %v", err)
	}
}

func TestLostResponseOfTheOwnerIsResolvedByTheNonce(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.callFault = func(_ string, response bool) error {
		if response {
			return fault.New(fault.Unavailable, "connection timed out", "")
		}
		return nil
	}
	if err := c.claim(t, "b", "order-1"); err != nil {
		t.Errorf("the claim's own grant was not recognized: %v", err)
	}
	if err := c.claim(t, "b", "order-1"); !isClaimed(err) {
		t.Errorf("copy: %v", err)
	}
}

func TestClaimsBypassAnUnreachableOwner(t *testing.T) {
	c := newCluster(t, "a", "b")
	calls := 0
	c.callFault = func(string, bool) error { calls++; return errors.New("connection refused") }
	for i := range 3 {
		if err := c.claim(t, "b", fmt.Sprint("order", i)); err != nil {
			t.Error(err)
		}
	}
	if calls != 1 {
		t.Errorf("%d calls to an unreachable owner, want 1", calls)
	}
}

func TestNoGrantWithoutThePlatform(t *testing.T) {
	c := newCluster(t, "a")
	down := func(call, _ string) error { return fault.New(fault.Unavailable, call, "") }
	c.store.setBeforeCall(down)
	if err := c.claim(t, "a", "order-1"); !isUnavailableNotRun(err) {
		t.Errorf("first claim of a service: %v", err)
	}
	c.store.setBeforeCall(nil)
	if err := c.claim(t, "a", "order-1"); err != nil {
		t.Errorf("a refused key after the outage: %v", err)
	}
	c.store.setBeforeCall(down)
	if err := c.claim(t, "a", "order-2"); !isUnavailableNotRun(err) {
		t.Errorf("with the shard loaded: %v", err)
	}
}

func TestGrantExpiresAfterItsRetention(t *testing.T) {
	c := newCluster(t, "a")
	m, clock := c.managers["a"], atomic.Int64{}
	m.now = func() time.Time { return time.Unix(clock.Load(), 0) }
	if err := c.claim(t, "a", "order-1"); err != nil {
		t.Fatal(err)
	}
	for i := range 2 * compactionThreshold {
		clock.Add(10)
		if err := c.claim(t, "a", fmt.Sprint("later", i)); err != nil {
			t.Fatal(err)
		}
	}
	clock.Store(int64(m.config.Retention.Seconds()))
	if err := c.claim(t, "a", "order-1"); !isClaimed(err) {
		t.Errorf("within the retention, after compactions: %v", err)
	}
	clock.Add(int64((2 * clockSkew).Seconds()))
	if err := c.claim(t, "a", "order-1"); err != nil {
		t.Errorf("after the retention: %v", err)
	}
}

func TestShardCountIsFixedByTheFirstClaim(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.managers["b"].config.Shards = 64
	for i := range 20 {
		key := fmt.Sprint("order", i)
		if err := c.claim(t, "a", key); err != nil {
			t.Fatal(err)
		}
		if err := c.claim(t, "b", key); !isClaimed(err) {
			t.Fatalf("copy through a daemon with another shard count: %v", err)
		}
	}
}
