package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

func daemonNames(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprint("d", i))
	}
	return all
}

func TestRemovingNameKeepsOrderOfOthers(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	properties := gopter.NewProperties(parameters)
	properties.Property("removing a name keeps the order of the others", prop.ForAll(
		func(size, count, removedIndex int, key string) bool {
			all := daemonNames(size)
			removed := all[removedIndex%size]
			before := rank(all, key, count)
			after := rank(without(all, removed), key, count)
			kept := without(before, removed)
			return len(before) == min(size, count) && slices.Equal(kept, after[:len(kept)])
		},
		gen.IntRange(2, 40), gen.IntRange(1, 5), gen.IntRange(0, 1000), gen.AnyString(),
	))
	properties.TestingRun(t)
}

// managerWithReplicas returns a manager in a failure domain whose instance list contains
// replicas spread over three domains.
func managerWithReplicas(id, domain string, replicas int) *Manager {
	m := NewManager(Config{Self: Member{ID: id, Region: "r", FailureDomain: domain}, Parse: testParse}, nil, nil, nil, nil)
	list := objectapi.InstanceSnapshot{Revision: 1}
	for i := range replicas {
		list.Instances = append(list.Instances, replicaInstance(fmt.Sprintf("s%03d", i), string("xyz"[i%3])))
	}
	m.applyList(list)
	return m
}

func TestSubsetOfSmallPoolIsWholePool(t *testing.T) {
	if got := len(managerWithReplicas("d1", "x", defaultSubsetSize).Subset("p")); got != defaultSubsetSize {
		t.Errorf("%d replicas, want all %d", got, defaultSubsetSize)
	}
}

func TestSubsetOfLargePoolPrefersOwnDomainAndCoversPool(t *testing.T) {
	const replicas = 60
	used := map[string]bool{}
	for i := range 40 {
		domain := string("xyz"[i%3])
		m := managerWithReplicas(fmt.Sprint("d", i), domain, replicas)
		subset := m.Subset("p")
		sameDomain := 0
		for _, replica := range subset {
			used[replica.ID] = true
			if replica.FailureDomain == domain {
				sameDomain++
			}
		}
		if len(subset) != defaultSubsetSize || sameDomain != replicas/3 {
			t.Fatalf("%d replicas, %d of the own domain; want %d and all %d", len(subset), sameDomain, defaultSubsetSize, replicas/3)
		}
		if again := managerWithReplicas(fmt.Sprint("d", i), domain, replicas).Subset("p"); !slices.Equal(subset, again) {
			t.Fatal("two views of the same list have different subsets")
		}
	}
	if len(used) != replicas {
		t.Errorf("40 daemons use %d of %d replicas", len(used), replicas)
	}
}

func TestSubsetOfLargePoolExcludesLeavingReplicas(t *testing.T) {
	m := managerWithReplicas("d1", "x", 60)
	m.MarkLeaving("s000")
	for _, replica := range m.Subset("p") {
		if replica.ID == "s000" {
			t.Error("a leaving replica is in the subset")
		}
	}
}

func TestCollectorsTakeTurnsReadingInstanceList(t *testing.T) {
	const collectorCount = 6
	var all []*collector
	for i := range collectorCount {
		m := NewManager(Config{Self: Member{ID: fmt.Sprint("d", i), Region: "r"}, Parse: testParse}, nil, nil, nil, nil)
		for j := range collectorCount {
			if j != i {
				m.collector.peers[fmt.Sprint("d", j)] = &peerSummary{receivedAt: time.Now()}
			}
		}
		m.collector.recordListRead(time.Now())
		all = append(all, m.collector)
	}
	start := time.Now()
	for slot := range 2 * collectorCount {
		due := 0
		for _, c := range all {
			if c.listDue(start.Add(time.Duration(slot) * c.manager.config.ListInterval)) {
				due++
			}
		}
		if due != 1 {
			t.Errorf("%d collectors read in slot %d, want 1", due, slot)
		}
	}
	all[0].listReadAt = time.Now().Add(-staleListFactor*all[0].manager.config.ListInterval - time.Second)
	if !all[0].listDue(start) || !all[0].listDue(start.Add(time.Second)) {
		t.Error("a collector waits for its turn although no collector reads the list")
	}
}

func TestListChangeIsDifferenceWhileBaseIsKept(t *testing.T) {
	m := managerWithReplicas("d1", "x", 100)
	base, _ := m.listSnapshot()
	for revision := int64(2); revision <= maxRecentLists+2; revision++ {
		list, _ := m.listSnapshot()
		next := objectapi.InstanceSnapshot{Revision: revision, Instances: slices.Clone(list.Instances[1:])}
		next.Instances[0].State = objectapi.Leaving
		m.applyList(next)
		newest, _ := m.listSnapshot()
		change := m.listChangeSince(base.Revision)
		if kept := revision <= maxRecentLists+1; change.Whole == kept || kept && len(change.Changed) != 1 {
			t.Fatalf("revision %d: complete list %t, %d changed", revision, change.Whole, len(change.Changed))
		}
		if got := applyListChange(base, change); got.Revision != newest.Revision || !slices.Equal(got.Instances, newest.Instances) {
			t.Fatalf("revision %d: the change does not produce the current list", revision)
		}
	}
	if m.listChangeSince(maxRecentLists+2) != nil {
		t.Error("got a change for a daemon that has the newest list")
	}
}
