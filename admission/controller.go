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

// WithView sizes the limits by the number of replicas in view. Without a view there is
// no limit.
func WithView(view fleet.View) Option { return func(c *Controller) { c.view = view } }

// NewController returns a Controller with empty queues.
func NewController(log *event.Logger, options ...Option) *Controller {
	c := &Controller{log: log, now: time.Now, services: make(map[string]*service)}
	for _, option := range options {
		option(c)
	}
	return c
}

// Admit implements Admitter.
func (c *Controller) Admit(ctx context.Context, r Request) (func(), error) {
	w, err := c.enqueue(ctx, r)
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
		return nil, c.cancelWaiting(ctx, w)
	}
}

// enqueue adds a request to its queue and starts the requests that the limits allow.
// It immediately refuses a request that cannot meet its deadline.
func (c *Controller) enqueue(ctx context.Context, r Request) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.draining {
		c.counters.Draining++
		return nil, fault.New(fault.Draining, "daemon is draining", "send the request to another daemon",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(drainRetryAfter))
	}
	s := c.service(r)
	w := newWaiter(ctx, r, s, now)
	if !w.deadline.IsZero() {
		s.throughput[w.class].recordArrival(w.deadline.Sub(now))
	}
	if err := c.checkDeadline(s, w, now); err != nil {
		return nil, err
	}
	if err := c.makeRoom(s, w); err != nil {
		return nil, err
	}
	s.add(w)
	c.startWaiting(s, now)
	return w, nil
}

// service returns the service's state, resized to the document and replicas in force.
func (c *Controller) service(r Request) *service {
	s := c.services[r.Document.Service]
	if s == nil {
		s = newService(r.Document.Service, func() time.Time { return c.now() })
		c.services[r.Document.Service] = s
	}
	s.document = r.Document
	s.limit.resize(c.ceiling(r), c.replicas(r))
	return s
}

// ceiling returns the maximum number of requests that this daemon may have in flight at
// the service's replicas, 0 for no limit.
func (c *Controller) ceiling(r Request) int {
	return r.Document.Servers.MaxInFlight * c.replicas(r)
}

// replicas returns the number of replicas in the pool that are not leaving, at least 1.
// Without a view it returns 0.
func (c *Controller) replicas(r Request) int {
	if c.view == nil {
		return 0
	}
	live := 0
	for _, replica := range c.view.Replicas(r.Document.Pool) {
		if !replica.Leaving {
			live++
		}
	}
	return max(live, 1)
}

// checkDeadline refuses a request whose estimated wait and run time exceed its deadline.
func (c *Controller) checkDeadline(s *service, w *waiter, now time.Time) error {
	if w.deadline.IsZero() {
		return nil
	}
	latency := s.estimateLatency(w)
	if latency == 0 || !now.Add(latency).After(w.deadline) {
		return nil
	}
	c.counters.DeadlineUnreachable++
	return c.shed(s, "estimated latency exceeds the request deadline", latency)
}

// makeRoom ensures that the queue has a place for w. In a full queue it displaces the
// waiting request of the lowest priority, or refuses w if none has a lower priority.
func (c *Controller) makeRoom(s *service, w *waiter) error {
	if s.waiting < s.document.Requests.QueueLimit || (s.waiting == 0 && s.canStart(w)) {
		return nil
	}
	displaced := s.lowestPriorityWaiter()
	if displaced == nil || displaced.class >= w.class {
		c.counters.QueueFull++
		return c.shed(s, "request queue is full", s.estimateLatency(w))
	}
	s.remove(displaced)
	c.counters.Displaced++
	displaced.ready <- c.shed(s, "displaced from the full queue by a higher-priority request", s.estimateLatency(displaced))
	return nil
}

// startWaiting starts queued requests as long as the limits allow.
func (c *Controller) startWaiting(s *service, now time.Time) {
	for {
		w := s.dequeue()
		if w == nil {
			return
		}
		if s.wouldMissDeadline(w, now) {
			c.counters.Expired++
			s.removeIfIdle(s.teams[w.team])
			w.ready <- expiredError()
			continue
		}
		s.markStarted(w, now)
		c.counters.Admitted++
		w.ready <- nil
	}
}

// release records the end of an admitted request and starts queued ones.
func (c *Controller) release(ctx context.Context, w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	late := ctx.Err() != nil && !w.deadline.IsZero() && !now.Before(w.deadline)
	w.service.markFinished(w, now, late)
	c.startWaiting(w.service, now)
}

// cancelWaiting removes a request from the queue after its context has ended.
func (c *Controller) cancelWaiting(ctx context.Context, w *waiter) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case err := <-w.ready:
		// The request was admitted or refused concurrently with the end of ctx.
		if err != nil {
			return err
		}
		w.started = time.Time{}
		w.service.markFinished(w, c.now(), false)
		c.startWaiting(w.service, c.now())
	default:
		w.service.remove(w)
	}
	if ctx.Err() == context.DeadlineExceeded {
		c.counters.Expired++
		return expiredError()
	}
	c.counters.Canceled++
	return fault.Wrap(ctx.Err(), fault.Canceled, "caller canceled the request while it was queued", "", fault.WithOutcome(fault.NotRun))
}

// expiredError returns the error for a queued request whose deadline has passed or can no
// longer be met.
func expiredError() error {
	return fault.New(fault.Deadline, "the request was queued too long to meet its deadline", "set a longer deadline or retry later",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(minRetryAfter))
}

// shed returns the error for a request refused because of load. It logs at most one
// entry per service in shedLogInterval.
func (c *Controller) shed(s *service, reason string, retryAfter time.Duration) error {
	if now := c.now(); now.Sub(s.lastShed) >= shedLogInterval {
		s.lastShed = now
		c.log.Log(event.AdmissionShedding, event.F("service", s.name), event.F("waiting", s.waiting))
	}
	return fault.New(fault.Overloaded, reason, "retry later",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(max(retryAfter, minRetryAfter)))
}

// Drain refuses new requests from now on; queued requests may still start.
func (c *Controller) Drain() {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.log.Log(event.AdmissionDraining)
}
