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

// Parts are what a Manager works with.
type Parts struct {
	View     fleet.View
	Docs     fleet.Documents
	Picker   routing.Picker
	Admitter admission.Admitter
	Claimer  claims.Claimer
	Backends backend.Dialer
	Recorder alarm.Recorder
	Log      *event.Logger
}

// writeGrace is the time after a request's deadline in which the caller may still read
// its error. A caller that reads nothing for longer holds no replica.
const writeGrace = 5 * time.Second

// Manager dispatches the requests of callers and implements Generator.
type Manager struct {
	parts Parts
	now   func() time.Time

	mu       sync.Mutex
	budgets  map[string]*retryBudget // by service
	leaving  map[string]time.Time    // first refusal of a leaving server, by replica ID
	counters Counters
}

// NewManager returns a Manager.
func NewManager(parts Parts) *Manager {
	return &Manager{parts: parts, now: time.Now, budgets: make(map[string]*retryBudget), leaving: make(map[string]time.Time)}
}

// ServeHTTP serves /v1/services/{service}/*: the path below the service's root goes
// to a backend server. See docs/API.md for the request headers.
func (m *Manager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := m.now()
	m.count(func(c *Counters) { c.Requests++ })
	c, err := m.accept(r)
	if err != nil {
		m.refuse(w, r.Header.Get(headerRequestID), err)
		return
	}
	w.Header().Set(headerRequestID, c.requestID)
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(arrived.Add(c.deadline + writeGrace))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline-m.now().Sub(arrived))
	defer cancel()
	if err := m.serve(ctx, w, c); err != nil {
		m.noteNotRun(c, err)
		m.refuse(w, c.requestID, err)
	}
}

// accept turns the HTTP request into a call, or refuses it as not run.
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

func (m *Manager) checkIsolation() error {
	if _, isolated := m.parts.View.Isolated(); !isolated {
		return nil
	}
	return fault.New(fault.Isolated, "this daemon reaches neither the platform nor any other daemon",
		"send the request to another daemon", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

func (m *Manager) document(service string) (*document.Document, error) {
	versioned, ok := m.parts.Docs.Document(service)
	if !ok {
		return nil, fault.New(fault.NotFound, "no document for service "+service,
			"apply a document for it", fault.WithOutcome(fault.NotRun))
	}
	return versioned.Document, nil
}

// serve admits the call and runs its attempts until one answered the caller.
func (m *Manager) serve(ctx context.Context, w http.ResponseWriter, c *call) error {
	exchange, err := m.exchangeFor(c)
	if err != nil {
		return err
	}
	release, err := m.parts.Admitter.Admit(ctx, admission.Ticket{Document: c.document, Team: c.team, Priority: c.priority})
	if err != nil {
		return err
	}
	defer release()
	return m.runAttempts(ctx, w, c, exchange)
}

// noteNotRun records a refusal whose outcome was decided where the request could
// still not have reached a server.
func (m *Manager) noteNotRun(c *call, err error) {
	if fault.OutcomeOf(err) == fault.NotRun {
		m.parts.Recorder.Kept(alarm.NotRunTruth, c.document.Service)
	}
}

// refuse ends the request with an error response.
func (m *Manager) refuse(w http.ResponseWriter, requestID string, err error) {
	outcome := fault.OutcomeOf(err)
	m.count(func(c *Counters) { c.countOutcome(outcome) })
	m.parts.Log.Log(event.RequestFailed, event.F("request", requestID), event.F("outcome", outcome), event.Err(err))
	fault.WriteHTTP(w, err)
}
