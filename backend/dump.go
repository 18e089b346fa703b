package backend

import (
	"sort"
	"sync/atomic"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// counters holds the metrics of a Client.
type counters struct {
	requests, connections, failedNotRun, failedUnknown, stalls, mismatches atomic.Int64
}

// countFailure counts a request that failed before the response headers arrived.
func (c *counters) countFailure(outcome fault.Outcome) {
	if outcome == fault.NotRun {
		c.failedNotRun.Add(1)
		return
	}
	c.failedUnknown.Add(1)
}

// Counters returns the package's metrics: requests sent, connections opened, requests
// that failed before the response headers arrived (by outcome: not_run, unknown), stalls,
// and responses that belonged to another request (mismatched).
func (c *Client) Counters() map[string]int64 {
	return map[string]int64{
		"requests":    c.counters.requests.Load(),
		"connections": c.counters.connections.Load(),
		"not_run":     c.counters.failedNotRun.Load(),
		"unknown":     c.counters.failedUnknown.Load(),
		"stalls":      c.counters.stalls.Load(),
		"mismatched":  c.counters.mismatches.Load(),
	}
}

// State is the package's part of the state dump.
type State struct {
	Servers []ServerState `json:"servers"` // ordered by address
}

// ServerState is a Client's state for one server.
type ServerState struct {
	Address     string `json:"address"`
	Connections int64  `json:"connections"` // open connections
	InProgress  int64  `json:"in_progress"` // requests whose response has not been read to its end
}

// Dump returns the state of all servers.
func (c *Client) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := State{Servers: []ServerState{}}
	for _, s := range c.servers {
		state.Servers = append(state.Servers, ServerState{
			Address: s.address, Connections: s.openConns.Load(), InProgress: s.callsInProgress.Load(),
		})
	}
	sort.Slice(state.Servers, func(i, j int) bool { return state.Servers[i].Address < state.Servers[j].Address })
	return state
}
