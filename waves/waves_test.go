package waves

import (
	"fmt"
	"sort"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

func replicas(n int) []catalog.Replica {
	var all []catalog.Replica
	for i := range n {
		all = append(all, catalog.Replica{ID: fmt.Sprint("r", i)})
	}
	return all
}

func TestApportionment(t *testing.T) {
	models := []string{"a", "b", "c"}
	table := []struct {
		name   string
		n      int
		demand map[string]float64
		before map[string]int
		want   map[string]int
	}{
		{"unknown demand", 9, nil, nil, map[string]int{"a": 3, "b": 3, "c": 3}},
		{"by demand", 8, map[string]float64{"a": 504, "b": 1056, "c": 864}, nil, map[string]int{"a": 2, "b": 3, "c": 3}},
		{"no model is starved", 8, map[string]float64{"a": 1, "b": 1000, "c": 1000}, nil, map[string]int{"a": 1, "b": 4, "c": 3}},
		{"small changes keep the previous counts", 8, map[string]float64{"a": 700, "b": 900, "c": 900}, map[string]int{"a": 2, "b": 3, "c": 3}, map[string]int{"a": 2, "b": 3, "c": 3}},
		{"fewer replicas than models", 2, nil, nil, map[string]int{"a": 1, "b": 1, "c": 0}},
	}
	for _, row := range table {
		got := apportion(row.n, models, row.demand, row.before)
		if fmt.Sprint(got) != fmt.Sprint(row.want) {
			t.Errorf("%s: %v, want %v", row.name, got, row.want)
		}
	}
}

func TestRemovedReplicaReassignsFewOthers(t *testing.T) {
	models := []string{"a", "b", "c"}
	all := replicas(12)
	counts := map[string]int{"a": 4, "b": 4, "c": 4}
	before := assignReplicas(all, models, counts)
	after := assignReplicas(all[1:], models, apportion(11, models, nil, counts))
	modelOf := map[string]string{}
	for model, part := range before {
		for _, r := range part {
			modelOf[r.ID] = model
		}
	}
	moved, total := 0, 0
	for model, part := range after {
		for _, r := range part {
			total++
			if modelOf[r.ID] != model {
				moved++
			}
		}
	}
	if total != 11 || moved > 2 {
		t.Errorf("%d replicas assigned, want 11; %d changed their model, want at most 2", total, moved)
	}
}

// The load pattern behind canDeferLoad: steps every few seconds on busy replicas, and two loads
// at a time. Replicas of a busy service load half as often, and half of them can start each step.
func TestBusyPoolLoadsEachVersionOnHalfOfItsReplicas(t *testing.T) {
	for _, row := range []struct{ replicas, running, maxLoads int }{{8, 8, 4}, {3, 8, 2}, {1, 8, 1}, {8, 0, 8}} {
		versions := make([]int64, row.replicas)
		for newest := int64(1); newest <= 12; newest++ {
			loads, usable := 0, 0
			for _, v := range versions {
				if v >= newest-1 {
					usable++
				}
			}
			if newest > 3 && usable < row.replicas/2 {
				t.Errorf("%+v: only %d replicas can start step %d", row, usable, newest)
			}
			sort.Slice(versions, func(a, b int) bool { return versions[a] < versions[b] }) // the order of moreUrgent
			for i := range versions {
				has := 0
				for _, v := range versions {
					if v == newest {
						has++
					}
				}
				if !canDeferLoad(newest-versions[i], has >= row.replicas/2, row.running, 8) {
					versions[i], loads = newest, loads+1
				}
			}
			if newest > 3 && loads > row.maxLoads {
				t.Errorf("%+v: %d loads of version %d", row, loads, newest)
			}
		}
	}
}

func TestMoreUrgent(t *testing.T) {
	replica := func(id string, version int64) catalog.Replica {
		return catalog.Replica{ID: id, Versions: map[string]int64{"m": version}}
	}
	first := workItem{replica: replica("a", 1), model: "m", version: 5, usableShare: 0.5}
	starved := workItem{replica: replica("b", 3), model: "m", version: 5, usableShare: 0}
	fresh := workItem{replica: replica("c", 4), model: "m", version: 5, usableShare: 0}
	for _, row := range []struct {
		name string
		a, b workItem
	}{
		{"model without usable replicas before one with some", starved, first},
		{"too old before lagging by one", first, fresh},
		{"too old before lagging by one in a starved model", starved, fresh},
	} {
		if !moreUrgent(row.a, row.b) || moreUrgent(row.b, row.a) {
			t.Error(row.name)
		}
	}
}
