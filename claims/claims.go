// Package claims grants each request key once. A non-idempotent request with a key is
// therefore dispatched at most once, even if copies of it reach several daemons.
//
// The keys of a service are spread over shards. Each shard has a journal of grants in
// the object API and an owner, the daemon that usually writes to this journal.
package claims

import (
	"context"
)

// Claim identifies a request by its key.
type Claim struct {
	Service     string
	Key         string // chosen by the caller, unique per intended effect
	Fingerprint uint64 // hash of method, path and body
}

// Claimer grants claims. A nil error means that the caller, and no other caller on any
// daemon, may dispatch the request once. Errors: fault.Claimed if the key was granted
// before (outcome unknown), fault.Conflict if it was granted for another fingerprint
// (not run), fault.Unavailable if the journal can't be written (not run).
type Claimer interface {
	Claim(ctx context.Context, c Claim) error
}
