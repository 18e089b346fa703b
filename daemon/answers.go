package daemon

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// countAnswer counts answered and unanswered requests of known services. An error
// counts as unanswered unless the caller canceled the request, the request was invalid
// or the daemon is draining, since these are no failures of the system.
func (d *Daemon) countAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		service := chi.URLParam(r, "service")
		if _, known := d.modules.Documents.Document(service); !known {
			return
		}
		kind := fault.Kind(w.Header().Get(fault.HeaderKind))
		switch {
		case kind == "":
			d.modules.Answers.Answered(service)
		case countsAsUnanswered(kind) && r.Context().Err() == nil && !d.gate.draining():
			d.modules.Answers.Unanswered(service, r.Header.Get(backend.HeaderRequestID), string(kind))
		}
	})
}

// countsAsUnanswered reports whether an error of this kind is a failure of the system.
func countsAsUnanswered(kind fault.Kind) bool {
	switch kind {
	case fault.Unavailable, fault.Ambiguous, fault.Overloaded, fault.Deadline, fault.Truncated,
		fault.Mismatched, fault.Untagged, fault.Draining, fault.Internal:
		return true
	}
	return false
}
