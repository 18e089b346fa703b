// Package claims grants each request key once, so that a non-idempotent request
// with a key is dispatched at most once whichever daemons its copies reach.
package claims

import (
	"context"
)

// Claim names a request by its key.
type Claim struct {
	Service     string
	Key         string // chosen by the caller, unique per intended effect
	Fingerprint uint64 // hash of method, path and body
}

// Claimer grants claims. A nil error means that this call, and no other anywhere,
// may dispatch the request once. Errors: fault.Claimed when the key was granted
// before (outcome unknown), fault.Conflict when it was granted for another
// fingerprint (not run), fault.Unavailable when the journal can't be written (not run).
type Claimer interface {
	Claim(ctx context.Context, c Claim) error
}
