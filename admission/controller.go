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

	mu       sync.Mutex
	draining bool
	inFlight map[string]int // by service
}

// Option configures a Controller.
type Option func(*Controller)

// WithView sizes the limits by the replicas of view.
func WithView(view fleet.View) Option { return func(c *Controller) { c.view = view } }

// NewController returns a Controller without requests.
func NewController(log *event.Logger, options ...Option) *Controller {
	c := &Controller{log: log, inFlight: make(map[string]int)}
	for _, option := range options {
		option(c)
	}
	return c
}

// Admit implements Admitter.
func (c *Controller) Admit(_ context.Context, t Ticket) (func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return nil, fault.New(fault.Draining, "the daemon stops", "send the request to another daemon",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
	}
	service := t.Document.Service
	if limit := c.limit(t); limit > 0 && c.inFlight[service] >= limit {
		return nil, fault.New(fault.Overloaded, "too many requests in progress", "retry later",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
	}
	c.inFlight[service]++
	return sync.OnceFunc(func() { c.release(service) }), nil
}

func (c *Controller) limit(t Ticket) int {
	if c.view == nil {
		return 0
	}
	return t.Document.Servers.MaxInFlight * len(c.view.Replicas(t.Document.Pool))
}

func (c *Controller) release(service string) {
	c.mu.Lock()
	c.inFlight[service]--
	c.mu.Unlock()
}

// Drain refuses new requests from now on.
func (c *Controller) Drain() {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.log.Log(event.AdmissionDraining)
}
