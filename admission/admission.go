// Package admission limits the requests in flight and queues the rest. Queues are
// bounded, deadline-aware and weighted-fair between teams.
package admission

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
)

// Request describes a request that asks for admission.
type Request struct {
	Document *document.Document
	Team     string
	Priority backend.Priority
}

// Admitter admits requests. Errors are fault.Overloaded, fault.Deadline,
// fault.Canceled or fault.Draining, all with outcome fault.NotRun.
type Admitter interface {
	// Admit blocks until the request may start. The caller must call release once
	// when the request has finished.
	Admit(ctx context.Context, r Request) (release func(), err error)
}
