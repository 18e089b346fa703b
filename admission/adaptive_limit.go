package admission

// Parameters of the adaptive limit.
const (
	windowRequests = 50   // finished requests per adaptation window
	maxLateShare   = 0.03 // share of a window's requests that may miss their deadline while running
	maxDecrease    = 0.5  // largest decrease per window, as a share of the limit
	increaseShare  = 0.05 // increase per window, as a share of the limit
	minPerReplica  = 1    // requests in flight that are always allowed per replica
)

// adaptiveLimit is the maximum number of requests in flight. It decreases when too many
// started requests miss their deadline, and increases while requests finish in time and
// the limit keeps other requests waiting.
type adaptiveLimit struct {
	ceiling   int     // upper bound, 0 for no limit
	floor     int     // lower bound
	factor    float64 // current share of ceiling, at most 1
	finished  int     // requests in this window
	late      int     // requests in this window that missed their deadline
	saturated bool    // the limit kept requests waiting in this window
}

// resize sets the bounds for the given ceiling and number of replicas.
func (l *adaptiveLimit) resize(ceiling, replicas int) {
	if l.factor == 0 {
		l.factor = 1
	}
	l.ceiling = ceiling
	l.floor = min(replicas*minPerReplica, ceiling)
}

// value returns the current limit, 0 for no limit.
func (l *adaptiveLimit) value() int {
	return max(int(l.factor*float64(l.ceiling)), l.floor)
}

// record counts a finished request and adapts the limit at the end of each window.
func (l *adaptiveLimit) record(late, saturated bool) {
	l.finished++
	if late {
		l.late++
	}
	l.saturated = l.saturated || saturated
	if l.finished < windowRequests {
		return
	}
	lateShare := float64(l.late) / float64(l.finished)
	switch {
	case lateShare > maxLateShare:
		l.factor *= 1 - min(lateShare/2, maxDecrease)
	case l.saturated && l.ceiling > 0:
		l.factor += max(increaseShare*l.factor, 1/float64(l.ceiling))
	}
	minFactor := 0.0
	if l.ceiling > 0 {
		minFactor = float64(l.floor) / float64(l.ceiling)
	}
	l.factor = min(max(l.factor, minFactor), 1)
	l.finished, l.late, l.saturated = 0, 0, false
}
