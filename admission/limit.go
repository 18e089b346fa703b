package admission

// Limits of the adaptation.
const (
	windowEnds    = 50   // ended requests between two adaptations
	lateAllowed   = 0.03 // share of requests whose deadline passed while they ran
	maxDecrease   = 0.5  // of the limit in one adaptation
	increase      = 0.05 // of the limit in one adaptation
	perReplicaMin = 1    // requests in progress that each replica may always have
)

// limit is the number of requests in progress. It follows what the servers manage in
// time: it falls when requests that were started end late, and rises while they end
// in time and the limit is what holds others back.
type limit struct {
	ceiling   int     // 0: no limit
	floor     int     // the limit falls no lower
	factor    float64 // of the ceiling, at most 1
	ends      int     // in this window
	late      int     // in this window
	saturated bool    // the limit held requests back in this window
}

func (l *limit) resize(ceiling, replicas int) {
	if l.factor == 0 {
		l.factor = 1
	}
	l.ceiling = ceiling
	l.floor = min(replicas*perReplicaMin, ceiling)
}

// value returns the limit now, 0 for none.
func (l *limit) value() int {
	return max(int(l.factor*float64(l.ceiling)), l.floor)
}

func (l *limit) ended(late, saturated bool) {
	l.ends++
	if late {
		l.late++
	}
	l.saturated = l.saturated || saturated
	if l.ends < windowEnds {
		return
	}
	share := float64(l.late) / float64(l.ends)
	switch {
	case share > lateAllowed:
		l.factor *= 1 - min(share/2, maxDecrease)
	case l.saturated && l.ceiling > 0:
		l.factor += max(increase*l.factor, 1/float64(l.ceiling))
	}
	lowest := 0.0
	if l.ceiling > 0 {
		lowest = float64(l.floor) / float64(l.ceiling)
	}
	l.factor = min(max(l.factor, lowest), 1)
	l.ends, l.late, l.saturated = 0, 0, false
}
