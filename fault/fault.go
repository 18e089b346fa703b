// Package fault defines the error kinds that every hornbeamtide package returns.
//
// An error carries a kind for programs, a remedy for people and the outcome of the
// request that it ended.
package fault

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind classifies an error. Kinds are stable and appear in response bodies.
type Kind string

// The error kinds.
const (
	Invalid      Kind = "invalid"       // the input is malformed or out of range
	Unauthorized Kind = "unauthorized"  // the caller has no valid API key
	Forbidden    Kind = "forbidden"     // the object belongs to another organisation
	NotFound     Kind = "not_found"     // the named object does not exist
	Conflict     Kind = "conflict"      // a conditional update lost against another writer
	Unavailable  Kind = "unavailable"   // the peer, server or platform did not respond
	Ambiguous    Kind = "ambiguous"     // a write was sent and its response was lost
	Overloaded   Kind = "overloaded"    // a limit or a queue is full
	Deadline     Kind = "deadline"      // the deadline passed
	Canceled     Kind = "canceled"      // the caller canceled the request or disconnected
	Fenced       Kind = "fenced"        // a newer lease holder, session or epoch exists
	Truncated    Kind = "truncated"     // a stream ended without its end marker
	Mismatched   Kind = "mismatched"    // a response belongs to another request
	Untagged     Kind = "untagged"      // a stream chunk has no weight version
	Stale        Kind = "stale"         // a sample exceeds the staleness bound
	Draining     Kind = "draining"      // this daemon or server accepts no new work
	Isolated     Kind = "isolated"      // neither the platform nor any peer is reachable
	Claimed      Kind = "claimed"       // the request key is already claimed
	Unrecognized Kind = "unrecognized"  // an unknown section, key or value
	Internal     Kind = "internal"      // a bug in this program
	Unsupported  Kind = "not_supported" // the operation is not available for this kind of service
)

// Kinds returns all error kinds.
func Kinds() []Kind {
	return []Kind{
		Invalid, Unauthorized, Forbidden, NotFound, Conflict, Unavailable, Ambiguous, Overloaded, Deadline, Canceled, Fenced,
		Truncated, Mismatched, Untagged, Stale, Draining, Isolated, Claimed, Unrecognized, Internal, Unsupported,
	}
}

// Outcome reports whether a request ran on a backend server.
type Outcome string

// The outcomes of a request that ended with an error.
const (
	NotRun  Outcome = "not_run" // no backend server started it
	Unknown Outcome = "unknown" // a backend server may have started it
	Failed  Outcome = "failed"  // a backend server started it and reported its failure
)

type valueKey int

const (
	kindKey valueKey = iota
	remedyKey
	outcomeKey
	retryAfterKey
)

// Option sets an optional property of an error that New or Wrap creates.
type Option = merry.Wrapper

// WithOutcome records the outcome of the request that the error ended.
func WithOutcome(o Outcome) Option { return merry.WithValue(outcomeKey, o) }

// WithRetryAfter records the delay after which the caller should retry.
func WithRetryAfter(d time.Duration) Option { return merry.WithValue(retryAfterKey, d) }

// New returns an error of the given kind. Its message is "message; remedy".
func New(kind Kind, message, remedy string, options ...Option) error {
	return build(merry.New(appendRemedy(message, remedy), merry.NoCaptureStack()), kind, remedy, options)
}

// Wrap returns an error of the given kind whose message is "message: cause; remedy".
// errors.Is and errors.As match the cause too. Without a cause it is the same as New, since a
// caller that failed must not go on as if it had succeeded.
func Wrap(cause error, kind Kind, message, remedy string, options ...Option) error {
	if cause == nil {
		return New(kind, message, remedy, options...)
	}
	text := appendRemedy(message+": "+messageWithoutRemedy(cause), remedy)
	err := merry.Wrap(cause, merry.NoCaptureStack(), merry.WithMessage(text))
	return build(err, kind, remedy, options)
}

func build(err error, kind Kind, remedy string, options []Option) error {
	wrappers := append([]Option{merry.NoCaptureStack(), merry.WithValue(kindKey, kind), merry.WithValue(remedyKey, remedy)}, options...)
	return merry.Wrap(err, wrappers...)
}

func appendRemedy(message, remedy string) string {
	if remedy == "" {
		return message
	}
	return message + "; " + remedy
}

// messageWithoutRemedy returns the message of err without the remedy at its end.
func messageWithoutRemedy(err error) string {
	message, remedy := err.Error(), RemedyOf(err)
	suffix := "; " + remedy
	if remedy != "" && len(message) > len(suffix) && message[len(message)-len(suffix):] == suffix {
		return message[:len(message)-len(suffix)]
	}
	return message
}

// KindOf returns the kind of err. Errors of the context package map to Deadline
// and Canceled, other errors of foreign packages to Internal; a nil error has no kind.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if kind, ok := merry.Value(err, kindKey).(Kind); ok {
		return kind
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Deadline
	case errors.Is(err, context.Canceled):
		return Canceled
	}
	return Internal
}

// Is reports whether err has the given kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// RemedyOf returns the recorded remedy, or "".
func RemedyOf(err error) string {
	remedy, _ := merry.Value(err, remedyKey).(string)
	return remedy
}

// OutcomeOf returns the recorded outcome, or Unknown if none is recorded, since then
// nothing proves that the request did not run.
func OutcomeOf(err error) Outcome {
	if outcome, ok := merry.Value(err, outcomeKey).(Outcome); ok {
		return outcome
	}
	return Unknown
}

// RetryAfterOf returns the recorded retry delay, or zero.
func RetryAfterOf(err error) time.Duration {
	wait, _ := merry.Value(err, retryAfterKey).(time.Duration)
	return wait
}
