// Package document defines the service documents: the INI text in which a team
// states what one of its services needs.
package document

import "time"

// Kind is the kind of backend servers behind a service.
type Kind string

// The service kinds.
const (
	Model Kind = "model" // model engines
	Plain Kind = "plain" // plain services
)

// Preference says which measure the service weighs more.
type Preference string

// The preferences.
const (
	PreferIdleTime  Preference = "idle_time" // least trainer idle time
	PreferStaleness Preference = "staleness" // freshest samples
)

// Document is one parsed service document. Values are validated and defaults are
// applied; a Document is never changed after it was parsed.
type Document struct {
	Service  string // unique name
	Team     string // owner
	Region   string // region whose daemons serve it
	Kind     Kind
	Pool     string // pool name in the instance list
	Samples  Samples
	Requests Requests
	Retry    Retry
	Teams    []TeamShare // ordered by name
	Servers  Servers
}

// Samples holds the [samples] section; model services only.
type Samples struct {
	StalenessBound int // weight versions a delivered sample may be behind
	Preference     Preference
	GroupSize      int           // default samples a group
	MaxTokens      int           // default tokens a sample
	Hedges         int           // extra attempts a sample, 0 or 1
	HedgeBudget    int           // extra attempts as a percentage of samples
	StepTime       time.Duration // time within which a step is whole
}

// Requests holds the [requests] section.
type Requests struct {
	Deadline      time.Duration // default deadline of a request
	QueueLimit    int           // requests waiting a daemon
	NonIdempotent []Match       // requests that must run at most once
}

// Match selects requests by method and path prefix.
type Match struct {
	Method string // upper case, "*" for any
	Path   string // prefix below the service's root, starts with "/"
}

// Retry holds the [retry] section.
type Retry struct {
	Attempts int // attempts a request, the first included
	Budget   int // retries as a percentage of live requests
}

// TeamShare holds one [team "name"] section.
type TeamShare struct {
	Team   string
	Weight int // share of the service when it is contended
	Limit  int // requests in progress a daemon, 0 for none
}

// Servers holds the [servers] section.
type Servers struct {
	LeaveBound    time.Duration // a leaving server gets no new work after this
	DrainTime     time.Duration // requests in progress may take this long at a stop
	MaxInFlight   int           // requests in progress a server from one daemon
	ChecksFencing bool          // the servers refuse orders with an old fencing number
}

// Versioned is a document at an object version.
type Versioned struct {
	Document *Document
	Version  int64  // object version in the platform's object API
	Source   []byte // INI text
}
