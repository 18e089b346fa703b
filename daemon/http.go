package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// maxRequestIDLength is the maximum length of a caller's request ID; a longer one is
// replaced.
const maxRequestIDLength = 200

// handler returns the HTTP interface that docs/API.md describes.
func (d *Daemon) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(withRequestID, d.logRequest, d.recoverPanic, d.withBodyReadTimeout)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		fault.WriteHTTP(w, fault.New(fault.NotFound, "no such path "+r.URL.Path, "see docs/API.md", fault.WithOutcome(fault.NotRun)))
	})
	r.Group(func(workRoutes chi.Router) {
		workRoutes.Use(d.admit)
		workRoutes.Handle("/v1/services/{service}/*", d.countAnswer(d.modules.Dispatch))
		workRoutes.Handle("/v1/services/{service}", d.countAnswer(d.modules.Dispatch))
		workRoutes.Route("/v1/trainers", d.modules.Rollout.Routes)
	})
	r.Get("/v1/documents", d.listDocuments)
	r.Get("/v1/documents/{service}", d.getDocument)
	r.Put("/v1/documents/{service}", d.putDocument)
	r.Get("/v1/status", d.getStatus)
	r.Get("/v1/alarms", d.getAlarms)
	r.Get("/v1/dump", d.getDump)
	r.Get("/health", d.getHealth)
	r.Get("/ready", d.getReady)
	r.Method(http.MethodGet, "/debug/vars", d.metrics())
	return r
}

// withRequestID makes sure that each request has an ID and returns it in the response.
func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(backend.HeaderRequestID)
		if id == "" || len(id) > maxRequestIDLength {
			id = newRequestID()
			r.Header.Set(backend.HeaderRequestID, id)
		}
		w.Header().Set(backend.HeaderRequestID, id)
		next.ServeHTTP(w, r)
	})
}

func newRequestID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

func (d *Daemon) logRequest(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		next.ServeHTTP(w, r)
		d.log.Log(event.DaemonRequestEnded, event.F("request_id", r.Header.Get(backend.HeaderRequestID)),
			event.F("method", r.Method), event.F("path", r.URL.Path), event.F("ms", time.Since(start).Milliseconds()))
	})
}

// recoverPanic logs a panic of the handler and returns an error response. It passes
// http.ErrAbortHandler on, so that the server closes the connection and the caller sees
// a truncated response.
func (d *Daemon) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value == http.ErrAbortHandler {
				panic(value)
			}
			d.log.Log(event.DaemonPanic, event.F("request_id", r.Header.Get(backend.HeaderRequestID)),
				event.F("panic", value), event.F("stack", string(debug.Stack())))
			fault.WriteHTTP(w, fault.New(fault.Internal, "the request handler panicked", "report this defect with the request id"))
		}()
		next.ServeHTTP(w, r)
	})
}

// admit refuses work while the daemon is draining or isolated.
func (d *Daemon) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leave, err := d.gate.enter()
		if err != nil {
			fault.WriteHTTP(w, err)
			return
		}
		defer leave()
		next.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
