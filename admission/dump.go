package admission

import (
	"cmp"
	"slices"
)

// Counters holds totals since the daemon started. All except Admitted count requests that
// ended with outcome fault.NotRun.
type Counters struct {
	Admitted            int64 `json:"admitted"`  // admitted requests
	QueueFull           int64 `json:"full"`      // refused: queue full
	DeadlineUnreachable int64 `json:"late"`      // refused: estimated latency exceeds the deadline
	Displaced           int64 `json:"displaced"` // removed from a full queue for a higher-priority request
	Expired             int64 `json:"expired"`   // deadline passed, or could no longer be met, while queued
	Canceled            int64 `json:"canceled"`  // canceled by the caller while queued
	Draining            int64 `json:"draining"`  // refused: daemon is draining
}

// Counters returns a copy of the current totals.
func (c *Controller) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters
}

// TeamState is one team's use of a service.
type TeamState struct {
	Team     string `json:"team"`
	InFlight int    `json:"in_flight"`
	Waiting  int    `json:"waiting"`
}

// ServiceState is the state of one service's queues.
type ServiceState struct {
	Service  string      `json:"service"`
	Limit    int         `json:"limit"`   // maximum requests in flight, 0 for no limit
	Ceiling  int         `json:"ceiling"` // upper bound of the adaptive limit
	InFlight int         `json:"in_flight"`
	Waiting  int         `json:"waiting"`
	Teams    []TeamState `json:"teams"` // teams with state in this service, ordered by name
}

// State is the package's state dump.
type State struct {
	Draining bool           `json:"draining"`
	Counters Counters       `json:"counters"`
	Services []ServiceState `json:"services"` // ordered by name
}

// Dump returns a snapshot of the package's state.
func (c *Controller) Dump() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := State{Draining: c.draining, Counters: c.counters}
	for _, s := range c.services {
		state.Services = append(state.Services, s.dump())
	}
	slices.SortFunc(state.Services, func(a, b ServiceState) int { return cmp.Compare(a.Service, b.Service) })
	return state
}

func (s *service) dump() ServiceState {
	state := ServiceState{
		Service: s.name, Limit: s.limit.value(), Ceiling: s.limit.ceiling, InFlight: s.inFlight, Waiting: s.waiting,
	}
	for _, t := range s.teams {
		waiting := 0
		for _, queue := range t.queues {
			waiting += len(queue)
		}
		state.Teams = append(state.Teams, TeamState{Team: t.name, InFlight: t.inFlight, Waiting: waiting})
	}
	slices.SortFunc(state.Teams, func(a, b TeamState) int { return cmp.Compare(a.Team, b.Team) })
	return state
}
