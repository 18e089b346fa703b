package fault

import (
	"encoding/json"
	"net/http"
)

// Body is the JSON body of every error response.
type Body struct {
	Kind         Kind    `json:"kind"`
	Outcome      Outcome `json:"outcome"`
	Message      string  `json:"message"`
	Remedy       string  `json:"remedy"`
	RetryAfterMS int64   `json:"retry_after_ms"`
}

// BodyOf returns the response body for err.
func BodyOf(err error) Body {
	return Body{
		Kind:         KindOf(err),
		Outcome:      OutcomeOf(err),
		Message:      err.Error(),
		Remedy:       RemedyOf(err),
		RetryAfterMS: RetryAfterOf(err).Milliseconds(),
	}
}

// StatusOf returns the HTTP status code for err.
func StatusOf(err error) int {
	switch KindOf(err) {
	case Invalid, Unrecognized, Unsupported:
		return http.StatusBadRequest
	case NotFound:
		return http.StatusNotFound
	case Conflict, Claimed, Fenced, Stale:
		return http.StatusConflict
	case Overloaded:
		return http.StatusTooManyRequests
	case Deadline:
		return http.StatusGatewayTimeout
	case Unavailable, Draining, Isolated:
		return http.StatusServiceUnavailable
	case Truncated, Mismatched, Untagged, Ambiguous:
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}

// HeaderKind is the response header with the error kind. It distinguishes errors of the
// system from error responses of a backend server.
const HeaderKind = "X-Error-Kind"

// WriteHTTP writes err as an error response.
func WriteHTTP(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderKind, string(KindOf(err)))
	w.WriteHeader(StatusOf(err))
	_ = json.NewEncoder(w).Encode(BodyOf(err))
}
