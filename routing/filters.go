package routing

import "slices"

// LeavingFilter drops replicas that take no new work.
type LeavingFilter struct{}

// Keep implements Filter.
func (LeavingFilter) Keep(_ Request, c *Candidate) bool {
	return !c.State.Leaving && !c.State.Replica.Leaving
}

// ExcludeFilter drops the replicas that the request has tried before.
type ExcludeFilter struct{}

// Keep implements Filter.
func (ExcludeFilter) Keep(r Request, c *Candidate) bool {
	return !slices.Contains(r.Exclude, c.State.Replica.ID)
}

// WholeFilter drops replicas that report no whole weight version: after a partial
// swap their answers are of mixed weights, whatever version they name.
type WholeFilter struct{}

// Keep implements Filter.
func (WholeFilter) Keep(_ Request, c *Candidate) bool { return c.State.Whole }

// SuspendedFilter keeps sample work off suspended replicas.
type SuspendedFilter struct{}

// Keep implements Filter.
func (SuspendedFilter) Keep(r Request, c *Candidate) bool {
	return !r.Sample || !c.State.Suspended
}

// SwitchingFilter drops suspended replicas for all work.
type SwitchingFilter struct{}

// Keep implements Filter.
func (SwitchingFilter) Keep(_ Request, c *Candidate) bool { return !c.State.Suspended }

// FullFilter drops replicas with as many requests of this daemon as they may have.
type FullFilter struct{}

// Keep implements Filter.
func (FullFilter) Keep(r Request, c *Candidate) bool {
	return r.MaxInFlight <= 0 || c.State.InFlight < r.MaxInFlight
}

// FailingFilter drops replicas whose requests and fresh connections failed, but for
// one trial request once a probe succeeded.
type FailingFilter struct{}

// Keep implements Filter.
func (FailingFilter) Keep(_ Request, c *Candidate) bool {
	return !c.State.Failing || c.ProbeDue
}

// SlowFilter drops replicas that are several times slower than their pool, but for
// probes.
type SlowFilter struct{}

// Keep implements Filter.
func (SlowFilter) Keep(_ Request, c *Candidate) bool { return !c.State.Slow || c.ProbeDue }

// SlowStartFilter lets a replica of unknown speed have one request of this daemon at a
// time, so that a slow one shows before it holds many.
type SlowStartFilter struct{}

// Keep implements Filter.
func (SlowStartFilter) Keep(_ Request, c *Candidate) bool {
	return !c.State.Unproven || c.State.InFlight == 0
}

// BusyFilter drops replicas that just refused a request because of their load.
type BusyFilter struct{}

// Keep implements Filter.
func (BusyFilter) Keep(_ Request, c *Candidate) bool { return !c.State.Busy }
