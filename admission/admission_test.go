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

type oneReplica struct{ fleet.View }

func (oneReplica) Replicas(string) []fleet.Replica { return []fleet.Replica{{ID: "r1"}} }

// bench is a Controller with a fake clock and one server that takes limit requests.
type bench struct {
	*Controller
	t     *testing.T
	doc   *document.Document
	clock time.Time
}

func newBench(t *testing.T, limit, queue int) *bench {
	b := &bench{Controller: NewController(nil, WithView(oneReplica{})), t: t, clock: time.Unix(1000, 0)}
	b.now = func() time.Time { return b.clock }
	b.doc = &document.Document{Service: "s", Requests: document.Requests{QueueLimit: queue}, Servers: document.Servers{MaxInFlight: limit}}
	return b
}

// ask enqueues a request whose deadline is so far away, 0 for none.
func (b *bench) ask(team string, p backend.Priority, deadline time.Duration) (*waiter, error) {
	ctx := context.Context(b.t.Context())
	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, b.clock.Add(deadline))
		defer cancel()
	}
	return b.enqueue(ctx, Ticket{Document: b.doc, Team: team, Priority: p})
}

func (b *bench) must(team string, p backend.Priority) *waiter {
	b.t.Helper()
	w, err := b.ask(team, p, 0)
	if err != nil {
		b.t.Fatal(err)
	}
	return w
}

// started reports whether w may run.
func started(w *waiter) bool {
	select {
	case err := <-w.ready:
		return err == nil
	default:
		return false
	}
}

func (b *bench) finish(w *waiter, after time.Duration) {
	b.clock = b.clock.Add(after)
	b.release(b.t.Context(), w)
}

func TestRefusalsAreNotRun(t *testing.T) {
	table := []struct {
		name string
		kind fault.Kind
		ask  func(b *bench) error
	}{
		{"queue full", fault.Overloaded, func(b *bench) error {
			b.must("a", backend.PriorityInteractive)
			_, err := b.ask("a", backend.PriorityInteractive, 0)
			return err
		}},
		{"deadline would pass", fault.Overloaded, func(b *bench) error {
			_, err := b.ask("a", backend.PriorityInteractive, time.Second)
			return err
		}},
		{"displaced", fault.Overloaded, func(b *bench) error {
			victim := b.must("a", backend.PrioritySample)
			b.must("a", backend.PriorityInteractive)
			return <-victim.ready
		}},
		{"expired in the queue", fault.Deadline, func(b *bench) error {
			w, err := b.ask("a", backend.PriorityInteractive, 30*time.Second)
			if err != nil {
				return err
			}
			b.clock = b.clock.Add(time.Minute)
			b.start(b.services["s"], b.clock)
			b.services["s"].limit.ceiling = 2
			b.start(b.services["s"], b.clock)
			return <-w.ready
		}},
		{"caller gone", fault.Canceled, func(b *bench) error {
			ctx, cancel := context.WithCancel(b.t.Context())
			cancel()
			_, err := b.Admit(ctx, Ticket{Document: b.doc, Team: "a", Priority: backend.PriorityInteractive})
			return err
		}},
		{"draining", fault.Draining, func(b *bench) error {
			b.Drain()
			_, err := b.ask("a", backend.PriorityInteractive, 0)
			return err
		}},
	}
	for _, row := range table {
		b := newBench(t, 1, 1)
		b.finish(b.must("a", backend.PriorityInteractive), 10*time.Second) // a request takes 10 s
		b.must("a", backend.PriorityInteractive)                           // in progress
		err := row.ask(b)
		if !fault.Is(err, row.kind) || fault.OutcomeOf(err) != fault.NotRun {
			t.Errorf("%s: %v", row.name, err)
		}
		if row.kind == fault.Overloaded && fault.RetryAfterOf(err) == 0 {
			t.Errorf("%s: no advice when to retry", row.name)
		}
	}
}

func TestMoreImportantRequestsGoFirstAndNoneStarves(t *testing.T) {
	b := newBench(t, 1, 1000)
	running := b.must("a", backend.PriorityInteractive)
	var waiting [classes][]*waiter
	for range 40 {
		for _, p := range []backend.Priority{backend.PrioritySample, backend.PriorityBackground, backend.PriorityInteractive} {
			waiting[p] = append(waiting[p], b.must("a", p))
		}
	}
	var counts [classes]int
	for range 40 {
		b.finish(running, time.Millisecond)
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

func TestInteractiveRequestsKeepAReserve(t *testing.T) {
	b := newBench(t, 16, 100)
	for range 40 {
		b.must("a", backend.PrioritySample)
	}
	if !started(b.must("a", backend.PriorityInteractive)) {
		t.Error("samples hold every place")
	}
}

func TestTeamsShareByWeightWithinBounds(t *testing.T) {
	property := func(weightA, weightB, limit int) bool {
		b := newBench(t, limit, 50)
		b.doc.Teams = []document.TeamShare{{Team: "a", Weight: weightA}, {Team: "b", Weight: weightB}}
		waiting := map[string][]*waiter{}
		var running []*waiter
		counts := map[string]int{}
		for range 400 {
			for _, name := range []string{"a", "b"} {
				for len(waiting[name]) < 10 { // both teams always want more
					w, err := b.ask(name, backend.PriorityInteractive, 0)
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
			state := b.Dump().Services[0]
			if state.InFlight > limit || state.Waiting > 50 {
				return false
			}
			if len(running) > 0 {
				b.finish(running[0], time.Millisecond)
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

func TestTeamLimitHoldsWhileOthersGoOn(t *testing.T) {
	b := newBench(t, 10, 100)
	b.doc.Teams = []document.TeamShare{{Team: "a", Weight: 1, Limit: 2}}
	first, second := b.must("a", backend.PriorityInteractive), b.must("a", backend.PriorityInteractive)
	third := b.must("a", backend.PriorityInteractive)
	if !started(first) || !started(second) || started(third) {
		t.Error("team limit not held")
	}
	if !started(b.must("b", backend.PriorityInteractive)) {
		t.Error("another team is held back")
	}
	b.finish(first, time.Millisecond)
	if !started(third) {
		t.Error("a free place is not used")
	}
}

// TestGoodputUnderTwiceTheLoad runs a server that does capacity units of work a
// second, shared by the requests in progress, at twice the load it can sustain.
func TestGoodputUnderTwiceTheLoad(t *testing.T) {
	peak, overload := goodput(t, 1), goodput(t, 2)
	t.Logf("requests in time: %d at the sustainable load, %d at twice that", peak, overload)
	if float64(overload) < 0.9*float64(peak) {
		t.Errorf("goodput fell from %d to %d", peak, overload)
	}
}

func goodput(t *testing.T, load int) (inTime int) {
	const capacity, work, deadline = 100.0, 1.0, 2 * time.Second
	type running struct {
		w    *waiter
		left float64
	}
	b := newBench(t, 1000, 1000)
	var active []running
	var queued []*waiter
	for step := range 12000 { // of 10 ms
		b.clock = b.clock.Add(10 * time.Millisecond)
		for range load {
			if w, err := b.ask(fmt.Sprint("team", step%3), backend.PriorityInteractive, deadline); err == nil {
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
		var still []running
		for _, r := range active {
			r.left -= share
			late := !b.clock.Before(r.w.deadline)
			switch {
			case late:
				ctx, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
				b.release(ctx, r.w)
				cancel()
			case r.left <= 0:
				b.release(t.Context(), r.w)
				inTime++
			default:
				still = append(still, r)
			}
		}
		active = still
	}
	return inTime
}

// TestServersThatNeedMostOfTheDeadlineAreUsed offers 40 requests a second to servers
// that take 1.5 s for each, however many, with a deadline of 2.5 s.
func TestServersThatNeedMostOfTheDeadlineAreUsed(t *testing.T) {
	const took, deadline = 1500 * time.Millisecond, 2500 * time.Millisecond
	b := newBench(t, 1000, 1000)
	ends := map[*waiter]time.Time{}
	var queued []*waiter
	inTime := 0
	for step := range 4000 { // of 25 ms
		b.clock = b.clock.Add(25 * time.Millisecond)
		if w, err := b.ask("a", backend.PriorityInteractive, deadline); err == nil {
			queued = append(queued, w)
		}
		queued = slices.DeleteFunc(queued, func(w *waiter) bool {
			if len(w.ready) == 0 {
				return false
			}
			if err := <-w.ready; err == nil {
				ends[w] = b.clock.Add(took)
			}
			return true
		})
		for w, end := range ends {
			if b.clock.Before(end) {
				continue
			}
			delete(ends, w)
			b.release(t.Context(), w)
			if step >= 2000 {
				inTime++
			}
		}
	}
	if inTime < 1800 {
		t.Errorf("%d of 2000 requests in time", inTime)
	}
}
