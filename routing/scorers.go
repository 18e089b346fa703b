package routing

// slownessIgnored is the latency ratio up to which replicas count as equally fast.
const slownessIgnored = 1.5

// LoadScorer estimates how long a new request would take: the requests on the
// replica, the new one included, times how slow the replica is.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(c *Candidate) float64 {
	slowness := c.State.Slowness
	if slowness < slownessIgnored {
		slowness = 1
	}
	return (c.Load + 1) * slowness
}

// ReportedScorer is the load as last reported by the replica, however old.
type ReportedScorer struct{}

// Score implements Scorer.
func (ReportedScorer) Score(c *Candidate) float64 {
	return float64(c.State.Running + c.State.Waiting)
}
