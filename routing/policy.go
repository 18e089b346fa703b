package routing

// The selectable policies.
const (
	PolicyAffinity   = "affinity"    // the key's replicas within a load bound, else the cheaper of two
	PolicyRandom     = "random"      // a random replica
	PolicyRoundRobin = "round_robin" // each replica in turn
	PolicyLeastLoad  = "least_load"  // lowest reported load, which may be out of date
)

const defaultLoadBound = 1.25

// newPolicy returns the steps of the named policy. All policies enforce the same
// requirements. The default is PolicyAffinity.
func newPolicy(name string, bound float64) policy {
	if bound <= 1 {
		bound = defaultLoadBound
	}
	p := policy{
		requirements: []Filter{LeavingFilter{}, ExcludeFilter{}, CompleteVersionFilter{}, SampleSuspensionFilter{}, InFlightLimitFilter{}},
		preferences:  []Filter{AnySuspensionFilter{}, FailingFilter{}},
		scorer:       LoadScorer{},
	}
	switch name {
	case PolicyRandom:
		p.choosers = []Chooser{RandomChooser{}}
	case PolicyRoundRobin:
		p.choosers = []Chooser{&RoundRobinChooser{}}
	case PolicyLeastLoad:
		p.scorer = ReportedLoadScorer{}
		p.choosers = []Chooser{LeastCostChooser{}}
	default:
		p.preferences = append(p.preferences, SlowFilter{}, SlowStartFilter{}, BusyFilter{})
		p.choosers = []Chooser{ProbeChooser{}, PrefixChooser{bound}, LocalChooser{bound}, TwoChoiceChooser{}}
	}
	return p
}
