package admission

import (
	"math"
	"time"
)

// Limits of the pace.
const (
	paceBuckets    = 20
	paceBucket     = 200 * time.Millisecond
	paceStart      = time.Second // least time over which a rate is taken
	deadlineShare  = 0.4         // of the deadline that requests may spend at the servers
	deadlineLimit  = 0.85        // the same, when unloaded servers need longer than that
	calmAllowance  = 1.5         // times the duration at unloaded servers
	budgetWeight   = 0.1         // of a new value in the mean
	floorAllowance = 4           // times the limit's floor that the servers always may have
)

// pace bounds the requests of one class in progress by what the servers end in time:
// at their present rate, those in progress should take no longer than a share of the
// deadline. The rest of it is for the queue, where a request can still be refused as
// not run.
type pace struct {
	inFlight int
	ended    [paceBuckets]int // in time, by bucket
	last     int64            // number of the newest bucket
	since    time.Time        // first end after a window without any
	budget   time.Duration    // mean time to the deadline on arrival, 0 for no deadlines
	calm     time.Duration    // mean duration while nothing waited
}

// arrived takes the time to a request's deadline in.
func (p *pace) arrived(budget time.Duration) { p.budget = mean(p.budget, budget) }

// ends counts a request that ended in time.
func (p *pace) ends(now time.Time, took time.Duration, calm bool) {
	if p.rate(now) == 0 {
		p.since = now
	}
	p.ended[p.last%paceBuckets]++
	if calm {
		p.calm = mean(p.calm, took)
	}
}

// roll clears the buckets that are older than the window.
func (p *pace) roll(now time.Time) {
	number := now.UnixNano() / int64(paceBucket)
	for i := max(p.last+1, number-paceBuckets+1); i <= number; i++ {
		p.ended[i%paceBuckets] = 0
	}
	p.last = max(p.last, number)
}

// rate returns the requests a second that end in time.
func (p *pace) rate(now time.Time) float64 {
	p.roll(now)
	sum := 0
	for _, n := range p.ended {
		sum += n
	}
	window := min(max(now.Sub(p.since), paceStart), paceBuckets*paceBucket)
	return float64(sum) / window.Seconds()
}

// allowed returns how many requests may be in progress, and whether there is a limit.
func (p *pace) allowed(now time.Time, floor int) (int, bool) {
	if p.budget == 0 {
		return 0, false
	}
	budget := p.budget.Seconds()
	seconds := max(deadlineShare*budget, min(calmAllowance*p.calm.Seconds(), deadlineLimit*budget))
	return max(int(math.Ceil(p.rate(now)*seconds)), floorAllowance*floor), true
}

func mean(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(budgetWeight*float64(observed-old))
}
