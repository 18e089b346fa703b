// Package upstream defines the request to a backend server, its response, and what is known
// about whether the server ran the request. Package platform implements it.
package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Call is one request to one replica.
type Call struct {
	Replica       catalog.Replica // the incarnation that must respond
	RequestID     string
	Method        string
	Target        string // path and query, unchanged from the caller
	Host          string
	Header        http.Header // end-to-end headers of the caller
	Body          []byte
	RemainingTime time.Duration // the replica stops work on the request after this time
	// ResumeAfter is the ID of the last stream event that the caller received, 0 for none.
	ResumeAfter int64
	// Retryable allows the backend to send the request again if its connection fails.
	Retryable bool
	// Deferrable means that the request can wait; others are sent first.
	Deferrable bool
	// Organisation is the one for which the replica runs the request, "" for none.
	Organisation string
}

// Response is a replica's response. Body must be closed. Reading a truncated body returns an
// error, so a partial body never looks complete.
type Response struct {
	Status  int
	Header  http.Header // end-to-end headers
	Body    io.ReadCloser
	Length  int64  // of Body, -1 when unknown
	Signed  bool   // the replica signed it; a success status without a signature is not a success
	Score   string // the signature, which is the score if the request asked for one
	NotRun  bool   // the replica reported that it did not run the request
	Load    *Load
	Version int64 // weight version, 0 if none was reported
	// RequestLimit is the number of requests per second that the replica accepts from all daemons
	// together, 0 if it named none.
	RequestLimit float64
}

// Load is the load that a replica reports with a response: running and waiting requests, and
// the number of requests that it runs at once.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes there at this moment relative to usual: 1 is as usual, 2 twice
	// as long. It changes many times a second. 0 if the replica does not report it.
	Slowdown float64
}

// ErrRateLimited means that the request was not sent, since the replica accepts only so many
// requests per second.
var ErrRateLimited = fault.New(fault.Overloaded, "the replica's request limit is used up", "send it again later", fault.WithOutcome(fault.NotRun))

// BrokenError means that no valid head of a response arrived after a request was written, most often since
// the connection broke. The replica may have ended.
type BrokenError struct {
	Sends int // number of connections to which the request was written
	Cause error
}

func (e *BrokenError) Error() string {
	return "no valid response after the request was sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Backend sends calls. An error has outcome fault.NotRun if no byte of the request was sent to
// the replica; otherwise the replica may have run it.
type Backend interface {
	Send(ctx context.Context, call Call) (*Response, error)
	// Events returns the reader of a streamed response.
	Events(resp *Response) EventReader
}

// Event is one event of a stream.
type Event struct {
	ID      int64 // starts at 1 and increases by 1
	Data    string
	Version int64 // weight version that generated it, 0 if none was reported
}

// EventReader reads the events of a response. Next returns io.EOF only after a complete stream.
type EventReader interface {
	Next() (Event, error)
}
