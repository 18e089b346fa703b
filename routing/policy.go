package routing

// The selectable policies.
const (
	PolicyAffinity   = "affinity"    // key's candidates within a load bound, else the better of two
	PolicyRandom     = "random"      // any replica
	PolicyRoundRobin = "round_robin" // each replica in turn
	PolicyLeastLoad  = "least_load"  // lowest reported load, lagging
)

const defaultLoadBound = 1.25

// newPolicy returns the steps of the named policy. All policies keep to the same
// requirements; affinity is the default.
func newPolicy(name string, bound float64) policy {
	if bound <= 1 {
		bound = defaultLoadBound
	}
	p := policy{
		requirements: []Filter{LeavingFilter{}, ExcludeFilter{}, WholeFilter{}, SuspendedFilter{}, FullFilter{}},
		preferences:  []Filter{SwitchingFilter{}, FailingFilter{}},
		scorer:       LoadScorer{},
	}
	switch name {
	case PolicyRandom:
		p.choosers = []Chooser{RandomChooser{}}
	case PolicyRoundRobin:
		p.choosers = []Chooser{&RoundRobinChooser{}}
	case PolicyLeastLoad:
		p.scorer = ReportedScorer{}
		p.choosers = []Chooser{LeastChooser{}}
	default:
		p.preferences = append(p.preferences, SlowFilter{}, SlowStartFilter{}, BusyFilter{})
		p.choosers = []Chooser{ProbeChooser{}, PrefixChooser{bound}, LocalChooser{bound}, TwoChoiceChooser{}}
	}
	return p
}
