// Package upstream defines one exchange with a backend server: what is sent, what comes
// back, and what is known about whether the server ran it. Package platform implements it.
package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

// Call is one request to one replica.
type Call struct {
	Replica   catalog.Replica // the incarnation that must answer
	RequestID string
	Method    string
	Target    string // path and query, unchanged from the caller
	Host      string
	Header    http.Header // end-to-end headers of the caller
	Body      []byte
	Left      time.Duration // the replica stops working after this
	// ResumeAfter is the last event that the caller has of a stream, 0 for none.
	ResumeAfter int64
	// MayRepeat says that the request may be sent again on its own connection's failure.
	MayRepeat bool
}

// Answer is a replica's response. Body must be closed; a body that ends early fails with
// an error, it never looks complete.
type Answer struct {
	Status  int
	Header  http.Header // end-to-end headers
	Body    io.ReadCloser
	Length  int64  // of Body, -1 when unknown
	Signed  bool   // the replica signed it; a success without a signature is none
	Score   string // the signature
	NotRun  bool   // the replica says that it did not run the request
	Load    *Load
	Version int64 // weight version, 0 when none was told
}

// Load is what a replica tells of itself beside an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Backend sends calls. An error has outcome fault.NotRun if no byte of the request went
// to the replica; else the replica may have run it.
type Backend interface {
	Send(ctx context.Context, call Call) (*Answer, error)
	// Events reads a streamed answer.
	Events(answer *Answer) Events
}

// Event is one piece of a stream.
type Event struct {
	ID      int64 // grows by one from 1
	Data    string
	Version int64 // weight version that made it, 0 if none was told
}

// Events reads the events of an answer. Next returns io.EOF only after a whole stream.
type Events interface {
	Next() (Event, error)
}
