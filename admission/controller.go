package admission

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// Controller implements Admitter for all services of a daemon.
type Controller struct {
	log  *event.Logger
	view fleet.View
	now  func() time.Time

	mu       sync.Mutex
	draining bool
	services map[string]*service // by name
	counters Counters
}

// Option configures a Controller.
type Option func(*Controller)

// WithView sizes the limits by the replicas of view. Without it there is no limit.
func WithView(view fleet.View) Option { return func(c *Controller) { c.view = view } }

// NewController returns a Controller without requests.
func NewController(log *event.Logger, options ...Option) *Controller {
	c := &Controller{log: log, now: time.Now, services: make(map[string]*service)}
	for _, option := range options {
		option(c)
	}
	return c
}

// Admit implements Admitter.
func (c *Controller) Admit(ctx context.Context, t Ticket) (func(), error) {
	w, err := c.enqueue(ctx, t)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-w.ready:
		if err != nil {
			return nil, err
		}
		return sync.OnceFunc(func() { c.release(ctx, w) }), nil
	case <-ctx.Done():
		return nil, c.abandon(ctx, w)
	}
}

// enqueue puts a request in its queue and starts what may start. It refuses at once
// a request that can't start in time.
func (c *Controller) enqueue(ctx context.Context, t Ticket) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.draining {
		c.counters.Draining++
		return nil, fault.New(fault.Draining, "the daemon stops", "send the request to another daemon",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(drainRetry))
	}
	s := c.service(t)
	w := newWaiter(ctx, t, s, now)
	if !w.deadline.IsZero() {
		s.paces[w.class].arrived(w.deadline.Sub(now))
	}
	if err := c.checkDeadline(s, w, now); err != nil {
		return nil, err
	}
	if err := c.makeRoom(s, w); err != nil {
		return nil, err
	}
	s.add(w)
	c.start(s, now)
	return w, nil
}

// service returns the service's state, sized by its document in force.
func (c *Controller) service(t Ticket) *service {
	s := c.services[t.Document.Service]
	if s == nil {
		s = newService(t.Document.Service, func() time.Time { return c.now() })
		c.services[t.Document.Service] = s
	}
	s.document = t.Document
	s.limit.resize(c.ceiling(t), c.replicas(t))
	return s
}

// ceiling is the number of requests that the service's servers may have from this
// daemon, 0 for no limit.
func (c *Controller) ceiling(t Ticket) int {
	return t.Document.Servers.MaxInFlight * c.replicas(t)
}

func (c *Controller) replicas(t Ticket) int {
	if c.view == nil {
		return 0
	}
	live := 0
	for _, replica := range c.view.Replicas(t.Document.Pool) {
		if !replica.Leaving {
			live++
		}
	}
	return max(live, 1)
}

// checkDeadline refuses a request whose estimated wait and run pass its deadline.
func (c *Controller) checkDeadline(s *service, w *waiter, now time.Time) error {
	if w.deadline.IsZero() {
		return nil
	}
	wait := s.estimate(w)
	if wait == 0 || !now.Add(wait).After(w.deadline) {
		return nil
	}
	c.counters.Late++
	return c.shed(s, "the deadline would pass in the queue", wait)
}

// makeRoom refuses the request when the queue is full of others at least as
// important, else takes the least important out.
func (c *Controller) makeRoom(s *service, w *waiter) error {
	if s.waiting < s.document.Requests.QueueLimit || (s.waiting == 0 && s.mayStart(w)) {
		return nil
	}
	victim := s.leastImportant()
	if victim == nil || victim.class >= w.class {
		c.counters.Full++
		return c.shed(s, "the queue is full", s.estimate(w))
	}
	s.remove(victim)
	c.counters.Displaced++
	victim.ready <- c.shed(s, "more important requests fill the queue", s.estimate(victim))
	return nil
}

// start lets waiting requests start while the limits allow.
func (c *Controller) start(s *service, now time.Time) {
	for {
		w := s.next()
		if w == nil {
			return
		}
		if s.tooLate(w, now) {
			c.counters.Expired++
			s.forget(s.teams[w.team])
			w.ready <- expired()
			continue
		}
		s.begin(w, now)
		c.counters.Admitted++
		w.ready <- nil
	}
}

// release takes the end of a started request in.
func (c *Controller) release(ctx context.Context, w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	late := ctx.Err() != nil && !w.deadline.IsZero() && !now.Before(w.deadline)
	w.service.end(w, now, late)
	c.start(w.service, now)
}

// abandon takes a request whose caller or deadline is gone out of the queue.
func (c *Controller) abandon(ctx context.Context, w *waiter) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case err := <-w.ready:
		// It started or was refused in this moment.
		if err != nil {
			return err
		}
		w.started = time.Time{}
		w.service.end(w, c.now(), false)
		c.start(w.service, c.now())
	default:
		w.service.remove(w)
	}
	if ctx.Err() == context.DeadlineExceeded {
		c.counters.Expired++
		return expired()
	}
	c.counters.Canceled++
	return fault.Wrap(ctx.Err(), fault.Canceled, "the caller went away while the request waited", "", fault.WithOutcome(fault.NotRun))
}

func expired() error {
	return fault.New(fault.Deadline, "the deadline passed in the queue", "allow more time or retry later",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(minRetry))
}

// shed returns the refusal of a request because of the load.
func (c *Controller) shed(s *service, reason string, wait time.Duration) error {
	if now := c.now(); now.Sub(s.lastShed) >= shedLogInterval {
		s.lastShed = now
		c.log.Log(event.AdmissionShedding, event.F("service", s.name), event.F("waiting", s.waiting))
	}
	return fault.New(fault.Overloaded, reason, "retry later",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(max(wait, minRetry)))
}

// Drain refuses new requests from now on; those that wait may still start.
func (c *Controller) Drain() {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.log.Log(event.AdmissionDraining)
}
