package batch

import "time"

const (
	// paceEvents is over how many of its last events a stream's pace is taken.
	paceEvents = 8
	// slowStream is how many times the usual time an event takes at a replica that a text
	// leaves, and silentStream the same for the first event.
	slowStream   = 2.5
	silentStream = 6
	// slowLeast and silentLeast are the least times to judge by: below them a text loses
	// more by moving than by staying.
	slowLeast   = 400 * time.Millisecond
	silentLeast = 400 * time.Millisecond
	// maxMoves bounds how often an item is moved because it is slow.
	maxMoves = 3
)

// paceRecord is when the last events of a stream came.
type paceRecord struct {
	sent  time.Time // when the replica was asked
	times []time.Time
	made  int // events of this stream
}

// add notes an event.
func (p *paceRecord) add(now time.Time) {
	p.made++
	p.times = append(p.times, now)
	if len(p.times) > paceEvents {
		p.times = p.times[1:]
	}
}

// straggles decides whether a text should go on at another replica, given the usual time
// an event takes there. Load pattern: a step that is whole only when its longest texts are,
// while a replica has turned slow, stands still, or got more requests than it runs at once
// because several daemons chose it in the same moment. A text that stays pays the slowness
// for each event that is left; one that moves pays the reading of its prompt.
func (p *paceRecord) straggles(now time.Time, usual time.Duration) bool {
	if usual <= 0 {
		return false // nothing to compare with
	}
	if p.made == 0 {
		return now.Sub(p.sent) > max(silentLeast, silentStream*usual)
	}
	since := now.Sub(p.times[0])
	if len(p.times) < paceEvents {
		// The first event is counted from the request, the others from the one before.
		since = now.Sub(p.sent)
	}
	if since < slowLeast {
		return false
	}
	return float64(since) > slowStream*float64(len(p.times))*float64(usual)
}
