// Package admission limits the requests in progress and queues the others:
// bounded, aware of deadlines, weighted fair between teams.
package admission

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
)

// Ticket describes a request that wants to start.
type Ticket struct {
	Document *document.Document
	Team     string
	Priority backend.Priority
}

// Admitter lets requests start. Errors are fault.Overloaded, fault.Deadline,
// fault.Canceled or fault.Draining, all not run.
type Admitter interface {
	// Admit blocks until the request may start. release must be called once when it ended.
	Admit(ctx context.Context, t Ticket) (release func(), err error)
}
