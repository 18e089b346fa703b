// Package document defines service documents: INI texts in which a team configures
// one of its services.
package document

import "time"

// Kind is the kind of backend servers of a service.
type Kind string

// The service kinds.
const (
	KindModel Kind = "model" // model engines
	KindPlain Kind = "plain" // plain services
)

// Preference is the measure that a service optimises first.
type Preference string

// The preferences.
const (
	PreferIdleTime  Preference = "idle_time" // minimise trainer idle time
	PreferStaleness Preference = "staleness" // minimise the staleness of samples
)

// Document is a parsed service document with validated values and applied defaults.
// It is immutable after parsing.
type Document struct {
	Service  string // unique name
	Team     string // team that owns the service
	Region   string // region whose daemons serve it
	Kind     Kind
	Pool     string // pool name in the instance list
	Samples  Samples
	Requests Requests
	Retry    Retry
	Teams    []TeamShare // ordered by name
	Servers  Servers
}

// Samples holds the [samples] section. Only model services have one.
type Samples struct {
	StalenessBound int // weight versions by which a delivered sample may lag its trainer
	Preference     Preference
	GroupSize      int           // default samples per group
	MaxTokens      int           // default maximum tokens per sample
	Hedges         int           // extra attempts per sample, 0 or 1
	HedgeBudget    int           // extra attempts as a percentage of samples
	StepTime       time.Duration // time within which a step must be complete
}

// Requests holds the [requests] section.
type Requests struct {
	Deadline      time.Duration // default deadline of a request
	QueueLimit    int           // waiting requests per daemon
	NonIdempotent []Match       // requests that must run at most once
}

// Match selects requests by method and path prefix.
type Match struct {
	Method string // upper case, "*" for any
	Path   string // path prefix below the service's root; starts with "/"
}

// Retry holds the [retry] section.
type Retry struct {
	Attempts int // attempts per request, including the first
	Budget   int // retries as a percentage of requests from callers
}

// TeamShare holds a [team "name"] section.
type TeamShare struct {
	Team   string
	Weight int // relative share of the service under contention
	Limit  int // requests in flight per daemon, 0 for no limit
}

// Servers holds the [servers] section.
type Servers struct {
	LeaveBound    time.Duration // time after which a leaving server gets no new work
	DrainTime     time.Duration // time that requests in flight may take at a planned stop
	MaxInFlight   int           // requests in flight from one daemon to one server
	ChecksFencing bool          // the servers reject orders with an outdated fencing token
}

// VersionedDocument is a document with its object version.
type VersionedDocument struct {
	Document *Document
	Version  int64  // object version in the platform's object API
	Source   []byte // INI text
}
