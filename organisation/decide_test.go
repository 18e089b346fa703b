package organisation

import (
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Each row is a daemon in a state in which keys may have been withdrawn or added since it last heard of
// the store.
func TestDecide(t *testing.T) {
	const withdrawal = 5 * time.Second
	for name, row := range map[string]struct {
		known      bool
		age        time.Duration
		withdrawal time.Duration
		want       verdict
	}{
		"in contact, valid key":                      {true, time.Second, withdrawal, admitted},
		"in contact, withdrawn key":                  {false, time.Second, withdrawal, unauthorized},
		"cut off for a moment, key may be withdrawn": {true, 4 * time.Second, withdrawal, admitted},
		"cut off for too long":                       {true, 4900 * time.Millisecond, withdrawal, unproven},
		"cut off or suspended for a minute":          {true, time.Minute, withdrawal, unproven},
		"just started, no proof yet":                 {true, time.Hour, withdrawal, unproven},
		"cut off, key may be new":                    {false, 3 * time.Second, withdrawal, unproven},
		"no bound for withdrawals, cut off":          {true, time.Minute, 0, admitted},
		"no bound for withdrawals, unknown key":      {false, time.Second, 0, unauthorized},
		"no bound, cut off, key may be new":          {false, time.Minute, 0, unproven},
	} {
		if got := decide(row.known, row.age, row.withdrawal); got != row.want {
			t.Errorf("%s: got %v, want %v", name, got, row.want)
		}
	}
}

func testGate(age time.Duration) (*Gate, View) {
	configuration := catalog.NewConfiguration(1, nil, nil, catalog.Limits{},
		catalog.Organisation{Name: "north", KeyDigests: []string{Digest("key-1"), Digest("key-2")}},
		catalog.Organisation{Name: "south", KeyDigests: []string{Digest("key-3")}})
	g := NewGate(Config{
		WithdrawalTime: 5 * time.Second, Configuration: func() *catalog.Configuration { return configuration },
		Age: func() time.Duration { return age },
	})
	return g, g.View()
}

func TestKeysBelongToOrganisations(t *testing.T) {
	g, view := testGate(time.Second)
	for key, want := range map[string]string{"key-1": "north", "key-2": "north", "key-3": "south"} {
		if got, err := g.Admit(view, false, Digest(key)); err != nil || got != want {
			t.Errorf("%s: organisation %q, error %v; want %q", key, got, err, want)
		}
	}
	for _, key := range []string{"", "key-4", "KEY-1", Digest("key-1"), "key-1 "} {
		_, err := g.Admit(view, false, Digest(key))
		if !fault.Is(err, fault.Unauthorized) || fault.OutcomeOf(err) != fault.NotRun {
			t.Errorf("%q: error %v", key, err)
		}
		if key != "" && strings.Contains(err.Error(), key) {
			t.Errorf("the error contains the key: %v", err)
		}
	}
	if got, err := g.Admit(view, true, Digest("key-1")); err != nil || got != "" {
		t.Errorf("public route: organisation %q, error %v; want none", got, err)
	}
}

// Results can be read while the store is unavailable, and nothing runs with the same key then.
func TestOutdatedConfigurationAllowsReadsOnly(t *testing.T) {
	g, view := testGate(time.Minute)
	if _, err := g.Admit(view, false, Digest("key-1")); !fault.Is(err, fault.Isolated) || fault.RetryAfterOf(err) == 0 {
		t.Errorf("a request may run with an outdated configuration: %v", err)
	}
	if got, err := g.Identify(view, Digest("key-1")); err != nil || got != "north" {
		t.Errorf("organisation %q, error %v", got, err)
	}
	if _, err := g.Identify(view, Digest("key-4")); !fault.Is(err, fault.Isolated) {
		t.Errorf("a key that may be new is refused as unknown: %v", err)
	}
}

func TestBatchesBelongToOrganisations(t *testing.T) {
	g, _ := testGate(0)
	if g.CheckOwner("north", "north") != nil || g.CheckOwner("", "south") != nil {
		t.Error("a call of the owner, or for a batch without one, is refused")
	}
	if err := g.CheckOwner("north", "south"); !fault.Is(err, fault.Forbidden) {
		t.Errorf("a call of another organisation: %v", err)
	}
}

func TestDeploymentWithoutOrganisationsNeedsNoKeys(t *testing.T) {
	configuration := catalog.NewConfiguration(1, nil, nil, catalog.Limits{})
	g := NewGate(Config{Configuration: func() *catalog.Configuration { return configuration }, Age: func() time.Duration { return time.Hour }})
	if name, err := g.Admit(g.View(), false, Digest("")); name != "" || err != nil {
		t.Errorf("organisation %q, error %v", name, err)
	}
}

func BenchmarkAdmit(b *testing.B) {
	g, view := testGate(time.Second)
	for b.Loop() {
		_, _ = g.Admit(view, false, Digest("key-2"))
	}
}
