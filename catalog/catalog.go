// Package catalog holds what operators and backend servers say of themselves:
// the configuration in force with its routes and services, and the replicas.
package catalog

import (
	"sort"
	"strings"
	"time"
)

// RequestKind says what may be repeated on a route.
type RequestKind string

// The request kinds. One that is not known is treated as NonIdempotent.
const (
	Idempotent    RequestKind = "idempotent"     // may run more than once
	NonIdempotent RequestKind = "non_idempotent" // runs at most once an attempt of its caller
	Streaming     RequestKind = "streaming"      // events; repeated only if Route.Resumable
	Rollout       RequestKind = "rollout"        // batches whose items run later
)

// Configuration is the whole of one version that operators put in force. It is never
// changed after it was decoded.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]int // indices of Routes, longest prefix first
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Route says where requests of a host and path prefix go.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string // begins and ends with a slash
	Kind          RequestKind
	Timeout       time.Duration // a caller waits no longer
	TargetLatency time.Duration
	Priority      int // 0 is the highest
	MaxAttempts   int // replicas to which one attempt of a caller may be sent
	Split         []Share
	Resumable     bool          // a stream may go on at another replica
	SingleVersion bool          // a sample's text comes from one weight version
	Due           time.Duration // a batch's results are due this long after its submission
	Retention     time.Duration // an item may be given up this long after it
}

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64
}

// Service is a group of like replicas.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections a replica takes from all callers together
	Engine     *Engine // nil for plain services
}

// Engine is what model replicas of a service have in common.
type Engine struct {
	Slots         int // requests that run at once
	KVCacheTokens int // memory of one replica
	Models        []string
}

// NewConfiguration indexes the routes.
func NewConfiguration(version int64, routes []Route, services map[string]Service, limits Limits) *Configuration {
	c := &Configuration{Version: version, Routes: routes, Services: services, Limits: limits, byHost: map[string][]int{}}
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

// Match returns the route of the host with the longest prefix of path.
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

// ReplicaState is what a replica says of itself.
type ReplicaState string

// The replica states.
const (
	Ready    ReplicaState = "ready"
	Draining ReplicaState = "draining" // takes no new work
)

// Replica is one backend server in one incarnation.
type Replica struct {
	ID            string
	Service       string
	Address       string // host:port
	FailureDomain string
	Region        string // "" where only the failure domain is told
	Slots         int
	State         ReplicaState
	Versions      map[string]int64 // weight version by model, model replicas only
	Started       int64            // ms since the Unix epoch; tells incarnations apart
}

// ModelVersion is the newest version of a model that its trainer named.
type ModelVersion struct {
	Model   string
	Version int64
}
