package admission

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
)

// Limits of the queues.
const (
	drainRetry      = time.Second            // before a draining daemon's callers try elsewhere
	minRetry        = 100 * time.Millisecond // shortest advice to wait
	shedLogInterval = time.Second            // between two log entries about refusals
	runMargin       = 1.5                    // times the mean duration that a request is expected to run
	guardTurns      = 8                      // each so many starts one goes to a less important class first
)

const classes = int(backend.PriorityInteractive) + 1

// reservedShare is the share of the limit, by class, that more important classes keep
// for themselves, as a divisor; 0 for none.
var reservedShare = [classes]int{
	backend.PrioritySample:      8,
	backend.PriorityBackground:  16,
	backend.PriorityInteractive: 0,
}

// service is the state of one service, guarded by Controller.mu.
type service struct {
	name     string
	document *document.Document
	now      func() time.Time
	limit    limit
	paces    [classes]pace
	inFlight int
	waiting  int
	starts   int // since the start, for the guard against starvation
	teams    map[string]*team
	virtual  float64                // virtual time of the weighted fair order
	duration [classes]time.Duration // mean of ended requests
	lastShed time.Time
}

// team is one team's share of a service.
type team struct {
	name     string
	inFlight int
	virtual  float64 // virtual time at which its next request starts
	queues   [classes][]*waiter
}

// waiter is a request in a queue or in progress.
type waiter struct {
	service  *service
	team     string
	class    int
	deadline time.Time // zero for none
	enqueued time.Time
	calm     bool       // nothing waited or little ran when it started
	started  time.Time  // zero when it did not run
	ready    chan error // buffered: nil when it may start
}

func newService(name string, now func() time.Time) *service {
	return &service{name: name, now: now, teams: make(map[string]*team)}
}

func newWaiter(ctx context.Context, t Ticket, s *service, now time.Time) *waiter {
	class := min(max(int(t.Priority), 0), classes-1)
	w := &waiter{service: s, team: t.Team, class: class, enqueued: now, ready: make(chan error, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = deadline
	}
	return w
}

// add puts w at the end of its team's queue. A team that was idle starts at the
// present virtual time: it saves up nothing.
func (s *service) add(w *waiter) {
	t := s.teams[w.team]
	if t == nil {
		t = &team{name: w.team}
		s.teams[w.team] = t
	}
	if t.idle() {
		t.virtual = max(t.virtual, s.virtual)
	}
	t.queues[w.class] = append(t.queues[w.class], w)
	s.waiting++
}

func (t *team) idle() bool {
	for _, queue := range t.queues {
		if len(queue) > 0 {
			return false
		}
	}
	return t.inFlight == 0
}

// remove takes a waiting request out of its queue.
func (s *service) remove(w *waiter) {
	t := s.teams[w.team]
	if t == nil {
		return
	}
	queue := t.queues[w.class]
	for i := range queue {
		if queue[i] == w {
			t.queues[w.class] = append(queue[:i:i], queue[i+1:]...)
			s.waiting--
			break
		}
	}
	s.forget(t)
}

// forget drops a team without requests whose share is not overdrawn.
func (s *service) forget(t *team) {
	if t.idle() && t.virtual <= s.virtual {
		delete(s.teams, t.name)
	}
}

// next takes the request that starts next out of its queue, or returns nil. More
// important classes go first, but every guardTurns-th turn begins with the least
// important one, so that none starves.
func (s *service) next() *waiter {
	if s.waiting == 0 {
		return nil
	}
	guard := s.starts%guardTurns == guardTurns-1
	for i := range classes {
		class := classes - 1 - i
		if guard {
			class = i
		}
		if w := s.nextOf(class); w != nil {
			return w
		}
	}
	return nil
}

// nextOf takes the first request of the team with the lowest virtual time.
func (s *service) nextOf(class int) *waiter {
	if !s.hasRoom(class) {
		return nil
	}
	var best *team
	for _, t := range s.teams {
		if len(t.queues[class]) == 0 || s.full(t) {
			continue
		}
		if best == nil || t.virtual < best.virtual || (t.virtual == best.virtual && t.name < best.name) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	w := best.queues[class][0]
	best.queues[class] = best.queues[class][1:]
	s.waiting--
	return w
}

// hasRoom reports whether another request of the class may start. More important
// classes keep a reserve.
func (s *service) hasRoom(class int) bool {
	allowed := s.limit.value()
	if allowed == 0 {
		return true
	}
	if paced, ok := s.paces[class].allowed(s.now(), s.limit.floor); ok && s.paces[class].inFlight >= paced {
		return false
	}
	if divisor := reservedShare[class]; divisor > 0 {
		allowed -= allowed / divisor
	}
	return s.inFlight < max(allowed, 1)
}

func (s *service) full(t *team) bool {
	_, limit := s.share(t.name)
	return limit > 0 && t.inFlight >= limit
}

// share returns the team's weight and limit by the document.
func (s *service) share(name string) (weight, limit int) {
	for _, share := range s.document.Teams {
		if share.Team == name {
			return max(share.Weight, 1), share.Limit
		}
	}
	return 1, 0
}

func (s *service) mayStart(w *waiter) bool {
	t := s.teams[w.team]
	return s.hasRoom(w.class) && (t == nil || !s.full(t))
}

// begin counts a request in that was taken out of its queue.
func (s *service) begin(w *waiter, now time.Time) {
	t := s.teams[w.team]
	weight, _ := s.share(w.team)
	s.virtual = max(s.virtual, t.virtual)
	t.virtual += 1 / float64(weight)
	t.inFlight++
	w.calm = s.waiting == 0 || s.inFlight <= floorAllowance*s.limit.floor
	s.inFlight++
	s.paces[w.class].inFlight++
	s.starts++
	w.started = now
}

// end counts a request out. late says that its deadline passed while it ran.
func (s *service) end(w *waiter, now time.Time, late bool) {
	t := s.teams[w.team]
	t.inFlight--
	s.forget(t)
	saturated := s.waiting > 0 || !s.hasRoom(0)
	s.inFlight--
	s.paces[w.class].inFlight--
	if w.started.IsZero() {
		return
	}
	s.limit.ended(late, saturated)
	took := now.Sub(w.started)
	s.duration[w.class] = mean(s.duration[w.class], took)
	if !late {
		s.paces[w.class].ends(now, took, w.calm)
	}
}

// tooLate reports whether a request that waited would end after its deadline.
func (s *service) tooLate(w *waiter, now time.Time) bool {
	if w.deadline.IsZero() {
		return false
	}
	needed := time.Duration(0)
	if now.After(w.enqueued) {
		needed = time.Duration(runMargin * float64(s.duration[w.class]))
	}
	return !now.Add(needed).Before(w.deadline)
}

// estimate returns how long w would wait and run, 0 when it may start at once.
func (s *service) estimate(w *waiter) time.Duration {
	if s.waiting == 0 && s.mayStart(w) {
		return 0
	}
	ahead := 1
	for _, t := range s.teams {
		for class := w.class; class < classes; class++ {
			ahead += len(t.queues[class])
		}
	}
	run := s.duration[w.class]
	limit := s.limit.value()
	if paced, ok := s.paces[w.class].allowed(s.now(), s.limit.floor); ok {
		limit = min(limit, paced)
	}
	return time.Duration(ahead)*run/time.Duration(max(limit, 1)) + time.Duration(runMargin*float64(run))
}

// leastImportant returns the newest waiting request of the least important class,
// from the team with most of them waiting.
func (s *service) leastImportant() *waiter {
	for class := range classes {
		var longest []*waiter
		for _, t := range s.teams {
			if len(t.queues[class]) > len(longest) {
				longest = t.queues[class]
			}
		}
		if len(longest) > 0 {
			return longest[len(longest)-1]
		}
	}
	return nil
}
