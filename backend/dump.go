package backend

import (
	"sort"
	"sync/atomic"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// counters count the calls of a Client.
type counters struct {
	requests, connections, notRun, unknown, stalls, mismatched atomic.Int64
}

// count counts a request that failed before response headers came.
func (c *counters) count(outcome fault.Outcome) {
	if outcome == fault.NotRun {
		c.notRun.Add(1)
		return
	}
	c.unknown.Add(1)
}

// Counters returns the package's metrics: requests sent, connections opened, requests
// that failed with the outcomes not_run and unknown before response headers came,
// stalls, and answers that belonged to other requests.
func (c *Client) Counters() map[string]int64 {
	return map[string]int64{
		"requests":    c.counters.requests.Load(),
		"connections": c.counters.connections.Load(),
		"not_run":     c.counters.notRun.Load(),
		"unknown":     c.counters.unknown.Load(),
		"stalls":      c.counters.stalls.Load(),
		"mismatched":  c.counters.mismatched.Load(),
	}
}

// State is the package's part of the state dump.
type State struct {
	Servers []ServerState `json:"servers"` // ordered by address
}

// ServerState is what a Client knows of one server.
type ServerState struct {
	Address     string `json:"address"`
	Connections int64  `json:"connections"` // open now
	InProgress  int64  `json:"in_progress"` // requests whose response is not read to its end
}

// Dump returns the state of all servers.
func (c *Client) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := State{Servers: []ServerState{}}
	for _, s := range c.servers {
		state.Servers = append(state.Servers, ServerState{
			Address: s.address, Connections: s.open.Load(), InProgress: s.inProgress.Load(),
		})
	}
	sort.Slice(state.Servers, func(i, j int) bool { return state.Servers[i].Address < state.Servers[j].Address })
	return state
}
