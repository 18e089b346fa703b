package admission

import (
	"cmp"
	"slices"
)

// Counters count since the daemon's start. All but Admitted ended as not run.
type Counters struct {
	Admitted  int64 `json:"admitted"`  // requests that started
	Full      int64 `json:"full"`      // refused, queue full
	Late      int64 `json:"late"`      // refused, their deadline would have passed
	Displaced int64 `json:"displaced"` // refused, more important ones took their place
	Expired   int64 `json:"expired"`   // deadline passed in the queue
	Canceled  int64 `json:"canceled"`  // caller gone while they waited
	Draining  int64 `json:"draining"`  // refused, the daemon stops
}

// Counters returns the counts so far.
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
	Limit    int         `json:"limit"`   // requests in progress, 0 for none
	Ceiling  int         `json:"ceiling"` // the limit without adaptation
	InFlight int         `json:"in_flight"`
	Waiting  int         `json:"waiting"`
	Teams    []TeamState `json:"teams"` // with requests, ordered by name
}

// State is the module's state dump.
type State struct {
	Draining bool           `json:"draining"`
	Counters Counters       `json:"counters"`
	Services []ServiceState `json:"services"` // ordered by name
}

// Dump returns the module's state.
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
