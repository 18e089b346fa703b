package routing

// minPenalizedSlowness is the latency ratio below which replicas count as equally fast.
const minPenalizedSlowness = 1.5

// LoadScorer estimates the relative duration of a new request: the number of requests
// on the replica, including the new one, times its slowness.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(c *Candidate) float64 {
	slowness := c.State.Slowness
	if slowness < minPenalizedSlowness {
		slowness = 1
	}
	return (c.Load + 1) * slowness
}

// ReportedLoadScorer returns the load that the replica last reported, regardless of its age.
type ReportedLoadScorer struct{}

// Score implements Scorer.
func (ReportedLoadScorer) Score(c *Candidate) float64 {
	return float64(c.State.Running + c.State.Waiting)
}
