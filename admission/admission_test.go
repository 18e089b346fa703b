package admission

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// oneReplica is a view with a single replica.
type oneReplica struct{ fleet.View }

func (oneReplica) Replicas(string) []fleet.Replica { return []fleet.Replica{{ID: "r1"}} }

// controllerFixture is a Controller with a fake clock and one replica.
type controllerFixture struct {
	*Controller
	t     *testing.T
	doc   *document.Document
	clock time.Time
}

// newControllerFixture limits the requests in flight to limit and those waiting to queue.
func newControllerFixture(t *testing.T, limit, queue int) *controllerFixture {
	f := &controllerFixture{Controller: NewController(nil, WithView(oneReplica{})), t: t, clock: time.Unix(1000, 0)}
	f.now = func() time.Time { return f.clock }
	f.doc = &document.Document{Service: "s", Requests: document.Requests{QueueLimit: queue}, Servers: document.Servers{MaxInFlight: limit}}
	return f
}

// submit enqueues a request whose deadline is the given time away, 0 for none.
func (f *controllerFixture) submit(team string, p backend.Priority, deadline time.Duration) (*waiter, error) {
	ctx := context.Context(f.t.Context())
	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, f.clock.Add(deadline))
		defer cancel()
	}
	return f.enqueue(ctx, Request{Document: f.doc, Team: team, Priority: p})
}

// mustSubmit enqueues a request without a deadline and fails the test if it is refused.
func (f *controllerFixture) mustSubmit(team string, p backend.Priority) *waiter {
	f.t.Helper()
	w, err := f.submit(team, p, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	return w
}

// started reports whether w was admitted. It returns true only once per request.
func started(w *waiter) bool {
	select {
	case err := <-w.ready:
		return err == nil
	default:
		return false
	}
}

// finish advances the clock by after and ends w.
func (f *controllerFixture) finish(w *waiter, after time.Duration) {
	f.clock = f.clock.Add(after)
	f.release(f.t.Context(), w)
}

func TestRefusalsAreNotRun(t *testing.T) {
	table := []struct {
		name   string
		kind   fault.Kind
		submit func(f *controllerFixture) error
	}{
		{"queue full", fault.Overloaded, func(f *controllerFixture) error {
			f.mustSubmit("a", backend.PriorityInteractive)
			_, err := f.submit("a", backend.PriorityInteractive, 0)
			return err
		}},
		{"deadline would pass", fault.Overloaded, func(f *controllerFixture) error {
			_, err := f.submit("a", backend.PriorityInteractive, time.Second)
			return err
		}},
		{"displaced", fault.Overloaded, func(f *controllerFixture) error {
			victim := f.mustSubmit("a", backend.PrioritySample)
			f.mustSubmit("a", backend.PriorityInteractive)
			return <-victim.ready
		}},
		{"expired in the queue", fault.Deadline, func(f *controllerFixture) error {
			w, err := f.submit("a", backend.PriorityInteractive, 30*time.Second)
			if err != nil {
				return err
			}
			f.clock = f.clock.Add(time.Minute)
			f.startWaiting(f.services["s"], f.clock)
			f.services["s"].limit.ceiling = 2
			f.startWaiting(f.services["s"], f.clock)
			return <-w.ready
		}},
		{"canceled by the caller", fault.Canceled, func(f *controllerFixture) error {
			ctx, cancel := context.WithCancel(f.t.Context())
			cancel()
			_, err := f.Admit(ctx, Request{Document: f.doc, Team: "a", Priority: backend.PriorityInteractive})
			return err
		}},
		{"draining", fault.Draining, func(f *controllerFixture) error {
			f.Drain()
			_, err := f.submit("a", backend.PriorityInteractive, 0)
			return err
		}},
	}
	for _, row := range table {
		f := newControllerFixture(t, 1, 1)
		f.finish(f.mustSubmit("a", backend.PriorityInteractive), 10*time.Second) // sets the mean duration to 10 s
		f.mustSubmit("a", backend.PriorityInteractive)                           // in flight, so that later requests wait
		err := row.submit(f)
		if !fault.Is(err, row.kind) || fault.OutcomeOf(err) != fault.NotRun {
			t.Errorf("%s: %v", row.name, err)
		}
		if row.kind == fault.Overloaded && fault.RetryAfterOf(err) == 0 {
			t.Errorf("%s: no retry-after value", row.name)
		}
	}
}

func TestHigherPriorityStartsFirstWithoutStarvation(t *testing.T) {
	f := newControllerFixture(t, 1, 1000)
	running := f.mustSubmit("a", backend.PriorityInteractive)
	var waiting [classCount][]*waiter
	for range 40 {
		for _, p := range []backend.Priority{backend.PrioritySample, backend.PriorityBackground, backend.PriorityInteractive} {
			waiting[p] = append(waiting[p], f.mustSubmit("a", p))
		}
	}
	var counts [classCount]int
	for range 40 {
		f.finish(running, time.Millisecond)
		for class := range waiting {
			if len(waiting[class]) > 0 && started(waiting[class][0]) {
				running, waiting[class] = waiting[class][0], waiting[class][1:]
				counts[class]++
				break
			}
		}
	}
	if counts[backend.PriorityInteractive] < 30 || counts[backend.PrioritySample] == 0 {
		t.Errorf("starts by class %v", counts)
	}
}

func TestInteractiveRequestsHaveReservedCapacity(t *testing.T) {
	f := newControllerFixture(t, 16, 100)
	for range 40 {
		f.mustSubmit("a", backend.PrioritySample)
	}
	if !started(f.mustSubmit("a", backend.PriorityInteractive)) {
		t.Error("interactive request not started: samples use the whole limit")
	}
}

func TestTeamsShareCapacityByWeight(t *testing.T) {
	property := func(weightA, weightB, limit int) bool {
		f := newControllerFixture(t, limit, 50)
		f.doc.Teams = []document.TeamShare{{Team: "a", Weight: weightA}, {Team: "b", Weight: weightB}}
		waiting := map[string][]*waiter{}
		var running []*waiter
		counts := map[string]int{}
		for range 400 {
			for _, name := range []string{"a", "b"} {
				for len(waiting[name]) < 10 { // both teams always have requests waiting
					w, err := f.submit(name, backend.PriorityInteractive, 0)
					if err != nil {
						return false
					}
					waiting[name] = append(waiting[name], w)
				}
				for len(waiting[name]) > 0 && started(waiting[name][0]) {
					running = append(running, waiting[name][0])
					waiting[name] = waiting[name][1:]
					counts[name]++
				}
			}
			state := f.Dump().Services[0]
			if state.InFlight > limit || state.Waiting > 50 {
				return false
			}
			if len(running) > 0 {
				f.finish(running[0], time.Millisecond)
				running = running[1:]
			}
		}
		want := float64(weightA) / float64(weightA+weightB)
		got := float64(counts["a"]) / float64(counts["a"]+counts["b"])
		return math.Abs(got-want) < 0.08
	}
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("shares follow the weights", prop.ForAll(property, gen.IntRange(1, 5), gen.IntRange(1, 5), gen.IntRange(1, 12)))
	properties.TestingRun(t)
}

func TestTeamLimitDoesNotBlockOtherTeams(t *testing.T) {
	f := newControllerFixture(t, 10, 100)
	f.doc.Teams = []document.TeamShare{{Team: "a", Weight: 1, Limit: 2}}
	first, second := f.mustSubmit("a", backend.PriorityInteractive), f.mustSubmit("a", backend.PriorityInteractive)
	third := f.mustSubmit("a", backend.PriorityInteractive)
	if !started(first) || !started(second) || started(third) {
		t.Error("team limit 2: want the first two requests started and the third waiting")
	}
	if !started(f.mustSubmit("b", backend.PriorityInteractive)) {
		t.Error("request of another team not started")
	}
	f.finish(first, time.Millisecond)
	if !started(third) {
		t.Error("waiting request not started after another of its team finished")
	}
}

// TestGoodputAtTwiceTheSustainableLoad guards against a collapse of goodput under
// overload: at twice the sustainable load at least 90% of the peak must complete in time.
func TestGoodputAtTwiceTheSustainableLoad(t *testing.T) {
	peak, overload := goodput(t, 1), goodput(t, 2)
	t.Logf("requests in time: %d at the sustainable load, %d at twice that", peak, overload)
	if float64(overload) < 0.9*float64(peak) {
		t.Errorf("goodput fell from %d to %d", peak, overload)
	}
}

// goodput returns the number of requests that complete in time during 12000 simulated
// steps. The server does capacity units of work per second, shared equally by the requests
// in flight; load 1 offers exactly that much.
func goodput(t *testing.T, load int) (inTime int) {
	const capacity, work, deadline = 100.0, 1.0, 2 * time.Second
	type running struct {
		w        *waiter
		workLeft float64
	}
	f := newControllerFixture(t, 1000, 1000)
	var active []running
	var queued []*waiter
	for step := range 12000 { // of 10 ms
		f.clock = f.clock.Add(10 * time.Millisecond)
		for range load {
			if w, err := f.submit(fmt.Sprint("team", step%3), backend.PriorityInteractive, deadline); err == nil {
				queued = append(queued, w)
			}
		}
		var waiting []*waiter
		for _, w := range queued {
			select {
			case err := <-w.ready:
				if err == nil {
					active = append(active, running{w, work})
				}
			default:
				waiting = append(waiting, w)
			}
		}
		queued = waiting
		share := capacity / 100 / float64(max(len(active), 1))
		var unfinished []running
		for _, r := range active {
			r.workLeft -= share
			late := !f.clock.Before(r.w.deadline)
			switch {
			case late:
				ctx, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
				f.release(ctx, r.w)
				cancel()
			case r.workLeft <= 0:
				f.release(t.Context(), r.w)
				inTime++
			default:
				unfinished = append(unfinished, r)
			}
		}
		active = unfinished
	}
	return inTime
}

// TestServersThatNeedMostOfTheDeadlineAreUtilized guards against a throughput limit that
// is too low for slow servers: it offers 40 requests per second with a deadline of 2.5 s
// to servers that take 1.5 s for each, independent of the number in flight.
func TestServersThatNeedMostOfTheDeadlineAreUtilized(t *testing.T) {
	const duration, deadline = 1500 * time.Millisecond, 2500 * time.Millisecond
	f := newControllerFixture(t, 1000, 1000)
	ends := map[*waiter]time.Time{}
	var queued []*waiter
	inTime := 0
	for step := range 4000 { // of 25 ms
		f.clock = f.clock.Add(25 * time.Millisecond)
		if w, err := f.submit("a", backend.PriorityInteractive, deadline); err == nil {
			queued = append(queued, w)
		}
		queued = slices.DeleteFunc(queued, func(w *waiter) bool {
			if len(w.ready) == 0 {
				return false
			}
			if err := <-w.ready; err == nil {
				ends[w] = f.clock.Add(duration)
			}
			return true
		})
		for w, end := range ends {
			if f.clock.Before(end) {
				continue
			}
			delete(ends, w)
			f.release(t.Context(), w)
			if step >= 2000 {
				inTime++
			}
		}
	}
	if inTime < 1800 {
		t.Errorf("%d of 2000 requests in time", inTime)
	}
}
