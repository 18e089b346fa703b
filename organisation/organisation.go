// Package organisation decides whether a request with an API key may run, and for which organisation.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// digestBytes is the length of a digest before it is encoded. Collisions of 128 bits are out of reach.
const digestBytes = 16

// Digest returns the digest of an API key, by which configurations and daemons know it.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:digestBytes])
}

// View is a configuration with the age of the proof that it was the newest one.
type View struct {
	Configuration *catalog.Configuration // nil if none is known yet
	Age           time.Duration          // the configuration was the newest one this long ago, or later
}

// Config configures a Gate.
type Config struct {
	// WithdrawalTime is the time after which no request with a withdrawn key may run; 0 if only the
	// general bound for changes of the configuration holds.
	WithdrawalTime time.Duration
	Configuration  func() *catalog.Configuration
	// Age returns how long ago this daemon's configuration was the newest for certain.
	Age func() time.Duration
}

// Gate admits requests.
type Gate struct {
	cfg    Config
	counts counters
}

type counters struct{ admitted, unauthorized, unproven, forbidden atomic.Int64 }

// Counts are the decisions of a Gate since the start.
type Counts struct {
	Admitted     int64 `json:"admitted"`     // requests with a key
	Unauthorized int64 `json:"unauthorized"` // no key, or one that no configuration holds
	Unproven     int64 `json:"unproven"`     // the configuration may be outdated
	Forbidden    int64 `json:"forbidden"`    // calls for a batch of another organisation
}

// NewGate returns a gate.
func NewGate(cfg Config) *Gate { return &Gate{cfg: cfg} }

// Counts returns the counts.
func (g *Gate) Counts() Counts {
	return Counts{
		Admitted: g.counts.admitted.Load(), Unauthorized: g.counts.unauthorized.Load(),
		Unproven: g.counts.unproven.Load(), Forbidden: g.counts.forbidden.Load(),
	}
}

// View returns the configuration in force. Its age is taken first, so that the configuration is at
// least as new as the proof.
func (g *Gate) View() View {
	age := g.cfg.Age()
	return View{Configuration: g.cfg.Configuration(), Age: age}
}

// Admit returns the organisation for which a request with an API key may run now, "" for requests that
// belong to none, or an error with outcome fault.NotRun. isPublic is set for routes that need no key.
func (g *Gate) Admit(v View, isPublic bool, keyDigest string) (string, error) {
	if isPublic {
		return "", nil
	}
	return g.resolve(v, keyDigest, g.cfg.WithdrawalTime)
}

// Identify returns the organisation of an API key for calls that run nothing, such as reading results.
// It accepts keys of an outdated configuration: results that are ready can be read in an outage.
func (g *Gate) Identify(v View, keyDigest string) (string, error) { return g.resolve(v, keyDigest, 0) }

func (g *Gate) resolve(v View, keyDigest string, withdrawalTime time.Duration) (string, error) {
	if !v.Configuration.RequiresKeys() {
		return "", nil
	}
	name, known := v.Configuration.OrganisationOf(keyDigest)
	switch decide(known, v.Age, withdrawalTime) {
	case admitted:
		g.counts.admitted.Add(1)
		return name, nil
	case unproven:
		g.counts.unproven.Add(1)
		return "", fault.New(fault.Isolated, "this daemon can't prove that its configuration is the newest", "send the request to another daemon",
			fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(unprovenRetryDelay))
	}
	g.counts.unauthorized.Add(1)
	return "", fault.New(fault.Unauthorized, "the API key is missing or unknown", "send a valid key of your organisation", fault.WithOutcome(fault.NotRun))
}

// CheckOwner returns an error if a batch of one organisation is called with a key of another. Batches
// without an organisation may be called by anyone.
func (g *Gate) CheckOwner(owner, caller string) error {
	if owner == "" || owner == caller {
		return nil
	}
	g.counts.forbidden.Add(1)
	return fault.New(fault.Forbidden, "the batch belongs to another organisation", "send a key of the organisation that submitted it", fault.WithOutcome(fault.NotRun))
}
