package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/admission"
	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/claims"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/routing"
)

// Dependencies holds the dependencies of a Manager.
type Dependencies struct {
	View      fleet.View
	Documents fleet.Documents
	Picker    routing.Picker
	Admitter  admission.Admitter
	Claimer   claims.Claimer
	Backends  backend.Dialer
	Recorder  alarm.Recorder
	Log       *event.Logger
}

// writeDeadlineGrace is added to a request's deadline so that the caller can still read its
// error. After that the write fails, so that a caller that does not read occupies no
// replica.
const writeDeadlineGrace = 5 * time.Second

// Manager dispatches the requests of callers and implements Generator.
type Manager struct {
	deps Dependencies
	now  func() time.Time

	mu       sync.Mutex
	budgets  map[string]*retryBudget // by service
	leaving  map[string]time.Time    // first refusal of a leaving server, by replica ID
	counters Counters
}

// NewManager returns a Manager that uses the interfaces in deps.
func NewManager(deps Dependencies) *Manager {
	return &Manager{deps: deps, now: time.Now, budgets: make(map[string]*retryBudget), leaving: make(map[string]time.Time)}
}

// ServeHTTP serves /v1/services/{service}/* and sends the path below the service's root to
// a backend server. See docs/API.md for the request headers.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := m.now()
	m.count(func(c *Counters) { c.Requests++ })
	c, err := m.accept(r)
	if err != nil {
		m.respondError(w, r.Header.Get(headerRequestID), err)
		return
	}
	w.Header().Set(headerRequestID, c.requestID)
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(arrived.Add(c.deadline + writeDeadlineGrace))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline-m.now().Sub(arrived))
	defer cancel()
	if err := m.serve(ctx, w, c); err != nil {
		m.recordNotRun(c, err)
		m.respondError(w, c.requestID, err)
	}
}

// accept converts the HTTP request into a call. Errors have outcome fault.NotRun.
func (m *Manager) accept(r *http.Request) (*call, error) {
	if err := m.checkIsolation(); err != nil {
		return nil, err
	}
	service, path, ok := splitTarget(r.URL.EscapedPath())
	if !ok {
		return nil, fault.New(fault.NotFound, "no such path", "use "+servicesRoot+"{service}/{path}",
			fault.WithOutcome(fault.NotRun))
	}
	d, err := m.document(service)
	if err != nil {
		return nil, err
	}
	return newCall(r, d, path)
}

// checkIsolation returns an error while the daemon is isolated.
func (m *Manager) checkIsolation() error {
	if _, isolated := m.deps.View.Isolated(); !isolated {
		return nil
	}
	return fault.New(fault.Isolated, "this daemon can reach neither the platform nor any other daemon",
		"send the request to another daemon", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

// document returns the service's document in force.
func (m *Manager) document(service string) (*document.Document, error) {
	versioned, ok := m.deps.Documents.Document(service)
	if !ok {
		return nil, fault.New(fault.NotFound, "no document for service "+service,
			"apply a document for it", fault.WithOutcome(fault.NotRun))
	}
	return versioned.Document, nil
}

// serve admits the call and runs its attempts.
func (m *Manager) serve(ctx context.Context, w http.ResponseWriter, c *call) error {
	exchange, err := m.exchangeFor(c)
	if err != nil {
		return err
	}
	release, err := m.deps.Admitter.Admit(ctx, admission.Request{Document: c.document, Team: c.team, Priority: c.priority})
	if err != nil {
		return err
	}
	defer release()
	return m.runAttempts(ctx, w, c, exchange)
}

// recordNotRun records a request with outcome fault.NotRun as reported correctly: the
// outcome is set only where no server can have started the request.
func (m *Manager) recordNotRun(c *call, err error) {
	if fault.OutcomeOf(err) == fault.NotRun {
		m.deps.Recorder.Kept(alarm.NotRun, c.document.Service)
	}
}

// respondError counts and logs a failed request and writes the error response.
func (m *Manager) respondError(w http.ResponseWriter, requestID string, err error) {
	outcome := fault.OutcomeOf(err)
	m.count(func(c *Counters) { c.countOutcome(outcome) })
	m.deps.Log.Log(event.RequestFailed, event.F("request", requestID), event.F("outcome", outcome), event.Err(err))
	fault.WriteHTTP(w, err)
}
