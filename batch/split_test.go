package batch

import (
	"fmt"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

// splitRun returns a run without goroutines whose items are split between two services, 90 to 10,
// and the number of its items that belong to the smaller service.
func splitRun(tracker *placement.Tracker, items int) (r *run, small int) {
	route := catalog.Route{
		Name: "drafts", Host: "h", PathPrefix: "/", Kind: catalog.Rollout,
		Split: []catalog.Share{{Service: "large", Weight: 90}, {Service: "small", Weight: 10}},
	}
	configuration := catalog.NewConfiguration(1, []catalog.Route{route}, nil, catalog.Limits{})
	r = &run{
		Manager:   &Manager{tracker: tracker, configuration: func() *catalog.Configuration { return configuration }},
		job:       Job{ID: "b", Host: "h"},
		queueGrew: make(chan struct{}, 1),
	}
	var others []*task
	for i := range items {
		item := &Item{ID: fmt.Sprint("item-", i), Path: "/x"}
		if chooseService(&route, item.ID) == "small" {
			r.queue = append(r.queue, &task{item: item}) // at the front, like tasks that came back
			small++
		} else {
			others = append(others, &task{item: item})
		}
	}
	r.queue = append(r.queue, others...)
	return r, small
}

func addReplicas(tracker *placement.Tracker, service string, count, slots int) {
	for i := range count {
		tracker.Set(catalog.Replica{ID: fmt.Sprint(service, "-", i), Service: service, State: catalog.Ready, Slots: slots})
	}
}

// placeAll starts tasks until next returns none, and returns their number by service.
func placeAll(r *run) map[string]int {
	placed := map[string]int{}
	for {
		t, lease := r.next()
		if t == nil {
			return placed
		}
		placed[lease.Service]++
	}
}

// Guards against a step that hangs beside free slots (found in a review, case 3): tasks of the
// smaller service of a split stand at the front of the queue and its only replica is gone.
func TestTasksOfServiceWithoutReplicasRunOnOtherServiceOfSplit(t *testing.T) {
	tracker := placement.NewTracker(nil)
	addReplicas(tracker, "large", 6, 32)
	r, small := splitRun(tracker, 160)
	if small < 4 {
		t.Fatalf("only %d items belong to the smaller service", small)
	}
	if placed := placeAll(r); placed["large"] != 160 {
		t.Errorf("placed %v, want all 160 on the larger service", placed)
	}
}

// Guards against the same hang where the smaller service has a replica that is full: its tasks wait
// for it, and those behind them start.
func TestTasksBehindThoseOfFullServiceAreStarted(t *testing.T) {
	tracker := placement.NewTracker(nil)
	addReplicas(tracker, "large", 6, 32)
	addReplicas(tracker, "small", 1, 2)
	r, small := splitRun(tracker, 160)
	if placed := placeAll(r); placed["large"] != 160-small || placed["small"] != 2 {
		t.Errorf("placed %v, want %d and 2", placed, 160-small)
	}
	if len(r.queue) != small-2 {
		t.Errorf("%d tasks wait, want %d", len(r.queue), small-2)
	}
}
