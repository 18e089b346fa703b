// Package catalog defines the configuration that operators put in force, with its routes and
// services, and the replicas that backend servers report.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// RequestKind determines whether requests of a route may be repeated.
type RequestKind string

// The request kinds. An unknown kind is treated as NonIdempotent.
const (
	Idempotent    RequestKind = "idempotent"     // may run more than once
	NonIdempotent RequestKind = "non_idempotent" // runs at most once per attempt of its caller
	Streaming     RequestKind = "streaming"      // events; repeated only if Route.Resumable
	Rollout       RequestKind = "rollout"        // batches whose items run later
)

// Configuration is one complete version of the configuration in force. It is immutable once
// decoded.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Organisations own the API keys with which callers send requests; nil if requests need none. If the
	// list is empty but not nil, no key is valid.
	Organisations []Organisation

	byHost map[string][]int  // indices of Routes, longest prefix first
	byKey  map[string]string // names of organisations by the digest of an API key
}

// Organisation is a customer whose callers send requests with its API keys.
type Organisation struct {
	Name string
	// KeyDigests are the digests of its API keys. The keys themselves are not kept.
	KeyDigests []string
}

// Limits restrict the size of a caller's requests and the time that the caller may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route defines to which services requests of a host and path prefix are sent.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          RequestKind
	Timeout       time.Duration // maximum duration of a request
	TargetLatency time.Duration
	Priority      int  // 0 is the highest
	MaxAttempts   int  // maximum number of replicas to which one attempt of a caller is sent
	Public        bool // requests need no API key
	Split         []Share
	Resumable     bool          // a stream may be resumed on another replica
	SingleVersion bool          // a sample's completion comes from a single weight version
	BatchTimeout  time.Duration // time from a batch's submission to the deadline of its results
	Retention     time.Duration // time from a batch's submission after which its items may be abandoned
}

// Share is the share of a route's requests that is sent to a service.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of identical replicas.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // maximum number of connections that a replica accepts from all clients together
	Engine     *Engine // nil for plain services
	// Autoscale says how many replicas may be ordered, nil if the number is fixed.
	Autoscale *Autoscale
}

// Autoscale holds the bounds and prices of the replicas of a service that can be ordered.
type Autoscale struct {
	Min, Max int           // replicas in each failure domain, of both kinds together
	BootTime time.Duration // from the order of a replica until it serves
	// SpotPrice is the price of a replica that may be reclaimed, as a share of the price of others; 0
	// if there are none.
	SpotPrice float64
	Prices    map[string]float64 // of a replica and second, by failure domain
}

// Engine holds the properties shared by the model replicas of a service.
type Engine struct {
	Slots         int // number of requests that run at once
	KVCacheTokens int // KV cache size of one replica
	Models        []string
}

// NewConfiguration returns a Configuration and indexes its routes and API keys.
func NewConfiguration(version int64, routes []Route, services map[string]Service, limits Limits, organisations ...Organisation) *Configuration {
	c := &Configuration{
		Version: version, Routes: routes, Services: services, Limits: limits, Organisations: organisations,
		byHost: map[string][]int{}, byKey: map[string]string{},
	}
	for _, o := range organisations {
		for _, digest := range o.KeyDigests {
			c.byKey[digest] = o.Name
		}
	}
	for i, r := range routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], i)
	}
	for _, indices := range c.byHost {
		sort.SliceStable(indices, func(a, b int) bool {
			return len(routes[indices[a]].PathPrefix) > len(routes[indices[b]].PathPrefix)
		})
	}
	return c
}

// Match returns the route of host with the longest path prefix that matches path. A port in host
// is ignored.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	if h, _, found := strings.Cut(host, ":"); found {
		host = h
	}
	for _, i := range c.byHost[host] {
		if strings.HasPrefix(path, c.Routes[i].PathPrefix) {
			return &c.Routes[i], true
		}
	}
	return nil, false
}

// RequiresKeys reports whether requests need an API key, but for those of public routes.
func (c *Configuration) RequiresKeys() bool { return c.Organisations != nil }

// OrganisationOf returns the name of the organisation that holds the API key with a digest.
func (c *Configuration) OrganisationOf(keyDigest string) (string, bool) {
	name, found := c.byKey[keyDigest]
	return name, found
}

// ReplicaState is the state that a replica reports.
type ReplicaState string

// The replica states.
const (
	Ready    ReplicaState = "ready"
	Draining ReplicaState = "draining" // accepts no new work
)

// Replica is one incarnation of a backend server.
type Replica struct {
	ID            string
	Service       string
	Address       string // host:port
	FailureDomain string
	Region        string // "" if only the failure domain is reported
	Slots         int
	State         ReplicaState
	Versions      map[string]int64 // weight version by model, model replicas only
	StartedMs     int64            // ms since the Unix epoch; distinguishes incarnations
	IsSpot        bool             // may be reclaimed, together with all others in its failure domain
}

// ModelVersion is the newest weight version of a model that its trainer reported.
type ModelVersion struct {
	Model   string
	Version int64
}
