package routing

import "slices"

// LeavingFilter removes leaving replicas, which accept no new work.
type LeavingFilter struct{}

// Keep implements Filter.
func (LeavingFilter) Keep(_ Request, c *Candidate) bool {
	return !c.State.Leaving && !c.State.Replica.Leaving
}

// ExcludeFilter removes the replicas that the request has already tried.
type ExcludeFilter struct{}

// Keep implements Filter.
func (ExcludeFilter) Keep(r Request, c *Candidate) bool {
	return !slices.Contains(r.Exclude, c.State.Replica.ID)
}

// CompleteVersionFilter removes replicas after a partial weight swap: their responses come
// from mixed weights, whatever version they report.
type CompleteVersionFilter struct{}

// Keep implements Filter.
func (CompleteVersionFilter) Keep(_ Request, c *Candidate) bool { return c.State.Whole }

// SampleSuspensionFilter removes suspended replicas for requests that generate samples.
type SampleSuspensionFilter struct{}

// Keep implements Filter.
func (SampleSuspensionFilter) Keep(r Request, c *Candidate) bool {
	return !r.Sample || !c.State.Suspended
}

// AnySuspensionFilter removes suspended replicas for all requests.
type AnySuspensionFilter struct{}

// Keep implements Filter.
func (AnySuspensionFilter) Keep(_ Request, c *Candidate) bool { return !c.State.Suspended }

// InFlightLimitFilter removes replicas that have reached the limit of in-flight requests
// from this daemon.
type InFlightLimitFilter struct{}

// Keep implements Filter.
func (InFlightLimitFilter) Keep(r Request, c *Candidate) bool {
	return r.MaxInFlight <= 0 || c.State.InFlight < r.MaxInFlight
}

// FailingFilter removes failing replicas, except for one trial request after a
// successful probe.
type FailingFilter struct{}

// Keep implements Filter.
func (FailingFilter) Keep(_ Request, c *Candidate) bool {
	return !c.State.Failing || c.ProbeDue
}

// SlowFilter removes replicas that are several times slower than their pool, except
// for probes.
type SlowFilter struct{}

// Keep implements Filter.
func (SlowFilter) Keep(_ Request, c *Candidate) bool { return !c.State.Slow || c.ProbeDue }

// SlowStartFilter limits a replica of unknown latency to one request of this daemon at
// a time, so that a slow replica is detected before it has many requests.
type SlowStartFilter struct{}

// Keep implements Filter.
func (SlowStartFilter) Keep(_ Request, c *Candidate) bool {
	return !c.State.Unproven || c.State.InFlight == 0
}

// BusyFilter removes replicas that recently refused a request because of their load.
type BusyFilter struct{}

// Keep implements Filter.
func (BusyFilter) Keep(_ Request, c *Candidate) bool { return !c.State.Busy }
