package admission

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
)

// Parameters of the queues.
const (
	drainRetryAfter        = time.Second            // retry-after value while the daemon is draining
	minRetryAfter          = 100 * time.Millisecond // smallest retry-after value
	shedLogInterval        = time.Second            // minimum interval between log entries about shed requests
	durationMargin         = 1.5                    // expected run time as a multiple of the mean duration
	antiStarvationInterval = 8                      // one in this many starts serves the lowest-priority class first
)

// classCount is the number of priority classes; a request's class is the value of its
// priority.
const classCount = int(backend.PriorityInteractive) + 1

// reserveDivisor holds, by class, the divisor d for which 1/d of the limit is reserved
// for higher-priority classes; 0 reserves nothing.
var reserveDivisor = [classCount]int{
	backend.PrioritySample:      8,
	backend.PriorityBackground:  16,
	backend.PriorityInteractive: 0,
}

// service is the state of one service, guarded by Controller.mu.
type service struct {
	name         string
	document     *document.Document
	now          func() time.Time
	limit        adaptiveLimit
	throughput   [classCount]throughputLimit
	inFlight     int
	waiting      int
	startCount   int // total starts, for antiStarvationInterval
	teams        map[string]*team
	virtualTime  float64                   // virtual clock of the weighted fair queue
	meanDuration [classCount]time.Duration // moving average of finished requests, by class
	lastShed     time.Time
}

// team is the state of one team in a service.
type team struct {
	name        string
	inFlight    int
	virtualTime float64 // virtual time at which its next request starts
	queues      [classCount][]*waiter
}

// waiter is a queued or started request.
type waiter struct {
	service  *service
	team     string
	class    int
	deadline time.Time // zero for none
	enqueued time.Time
	unloaded bool       // the queue was empty or few requests were in flight when it started
	started  time.Time  // zero if it has not run
	ready    chan error // buffered; receives nil when the request may start, or its refusal
}

func newService(name string, now func() time.Time) *service {
	return &service{name: name, now: now, teams: make(map[string]*team)}
}

func newWaiter(ctx context.Context, r Request, s *service, now time.Time) *waiter {
	class := min(max(int(r.Priority), 0), classCount-1)
	w := &waiter{service: s, team: r.Team, class: class, enqueued: now, ready: make(chan error, 1)}
	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = deadline
	}
	return w
}

// add appends w to its team's queue. An idle team resumes at the current virtual time,
// so that it accumulates no credit while idle.
func (s *service) add(w *waiter) {
	t := s.teams[w.team]
	if t == nil {
		t = &team{name: w.team}
		s.teams[w.team] = t
	}
	if t.idle() {
		t.virtualTime = max(t.virtualTime, s.virtualTime)
	}
	t.queues[w.class] = append(t.queues[w.class], w)
	s.waiting++
}

// idle reports whether the team has no queued or started requests.
func (t *team) idle() bool {
	for _, queue := range t.queues {
		if len(queue) > 0 {
			return false
		}
	}
	return t.inFlight == 0
}

// remove deletes a waiting request from its queue.
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
	s.removeIfIdle(t)
}

// removeIfIdle deletes the state of an idle team, unless its virtual time is ahead of the
// service's: deleting it then would reset the share that the team has already used.
func (s *service) removeIfIdle(t *team) {
	if t.idle() && t.virtualTime <= s.virtualTime {
		delete(s.teams, t.name)
	}
}

// dequeue removes and returns the request to start next, nil if none may start.
// Higher-priority classes go first, but every antiStarvationInterval-th start tries the
// lowest class first so that no class starves.
func (s *service) dequeue() *waiter {
	if s.waiting == 0 {
		return nil
	}
	lowestFirst := s.startCount%antiStarvationInterval == antiStarvationInterval-1
	for i := range classCount {
		class := classCount - 1 - i
		if lowestFirst {
			class = i
		}
		if w := s.dequeueClass(class); w != nil {
			return w
		}
	}
	return nil
}

// dequeueClass removes and returns the oldest request of the class from the team with
// the lowest virtual time among the teams below their limit.
func (s *service) dequeueClass(class int) *waiter {
	if !s.classHasRoom(class) {
		return nil
	}
	var best *team
	for _, t := range s.teams {
		if len(t.queues[class]) == 0 || s.teamAtLimit(t) {
			continue
		}
		if best == nil || t.virtualTime < best.virtualTime || (t.virtualTime == best.virtualTime && t.name < best.name) {
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

// classHasRoom reports whether the service's limits allow another request of the class
// to start. Part of the limit is reserved for higher-priority classes.
func (s *service) classHasRoom(class int) bool {
	allowed := s.limit.value()
	if allowed == 0 {
		return true
	}
	if throughputMax, ok := s.throughput[class].maxInFlight(s.now(), s.limit.floor); ok && s.throughput[class].inFlight >= throughputMax {
		return false
	}
	if divisor := reserveDivisor[class]; divisor > 0 {
		allowed -= allowed / divisor
	}
	return s.inFlight < max(allowed, 1)
}

func (s *service) teamAtLimit(t *team) bool {
	_, limit := s.teamShare(t.name)
	return limit > 0 && t.inFlight >= limit
}

// teamShare returns the team's weight and in-flight limit (0 for none) from the document.
func (s *service) teamShare(name string) (weight, limit int) {
	for _, share := range s.document.Teams {
		if share.Team == name {
			return max(share.Weight, 1), share.Limit
		}
	}
	return 1, 0
}

// canStart reports whether the limits of the service and of w's team allow w to start.
func (s *service) canStart(w *waiter) bool {
	t := s.teams[w.team]
	return s.classHasRoom(w.class) && (t == nil || !s.teamAtLimit(t))
}

// markStarted records the start of a request that was removed from its queue.
func (s *service) markStarted(w *waiter, now time.Time) {
	t := s.teams[w.team]
	weight, _ := s.teamShare(w.team)
	s.virtualTime = max(s.virtualTime, t.virtualTime)
	t.virtualTime += 1 / float64(weight)
	t.inFlight++
	w.unloaded = s.waiting == 0 || s.inFlight <= floorFactor*s.limit.floor
	s.inFlight++
	s.throughput[w.class].inFlight++
	s.startCount++
	w.started = now
}

// markFinished records the end of a started request. late means that its deadline passed
// while it ran.
func (s *service) markFinished(w *waiter, now time.Time, late bool) {
	t := s.teams[w.team]
	t.inFlight--
	s.removeIfIdle(t)
	saturated := s.waiting > 0 || !s.classHasRoom(0)
	s.inFlight--
	s.throughput[w.class].inFlight--
	if w.started.IsZero() {
		return
	}
	s.limit.record(late, saturated)
	duration := now.Sub(w.started)
	s.meanDuration[w.class] = movingAverage(s.meanDuration[w.class], duration)
	if !late {
		s.throughput[w.class].recordCompletion(now, duration, w.unloaded)
	}
}

// wouldMissDeadline reports whether w, if started now, is expected to finish after its
// deadline. A request that did not wait is only checked against the deadline itself.
func (s *service) wouldMissDeadline(w *waiter, now time.Time) bool {
	if w.deadline.IsZero() {
		return false
	}
	expectedDuration := time.Duration(0)
	if now.After(w.enqueued) {
		expectedDuration = time.Duration(durationMargin * float64(s.meanDuration[w.class]))
	}
	return !now.Add(expectedDuration).Before(w.deadline)
}

// estimateLatency returns the estimated wait and run time of w, 0 if it may start
// immediately.
func (s *service) estimateLatency(w *waiter) time.Duration {
	if s.waiting == 0 && s.canStart(w) {
		return 0
	}
	ahead := 1
	for _, t := range s.teams {
		for class := w.class; class < classCount; class++ {
			ahead += len(t.queues[class])
		}
	}
	run := s.meanDuration[w.class]
	limit := s.limit.value()
	if throughputMax, ok := s.throughput[w.class].maxInFlight(s.now(), s.limit.floor); ok {
		limit = min(limit, throughputMax)
	}
	return time.Duration(ahead)*run/time.Duration(max(limit, 1)) + time.Duration(durationMargin*float64(run))
}

// lowestPriorityWaiter returns the newest waiting request of the lowest non-empty class
// from the team with the most requests waiting in that class, nil if none waits.
func (s *service) lowestPriorityWaiter() *waiter {
	for class := range classCount {
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
