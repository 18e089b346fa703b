package batch

import "time"

const (
	// paceWindowEvents is the number of a stream's latest events over which its pace is measured.
	paceWindowEvents = 8
	// An item moves if its events take slowEventFactor times the typical time, or its first
	// event takes slowFirstEventFactor times the typical time of an event.
	slowEventFactor      = 2.5
	slowFirstEventFactor = 6
	// minSlowTime and minFirstEventTime are the shortest times after which an item moves: below
	// them moving costs more than staying.
	minSlowTime       = 400 * time.Millisecond
	minFirstEventTime = 400 * time.Millisecond
	// maxMoves bounds how often an item moves because its replica is slow.
	maxMoves = 3
)

// streamPace holds the times of a stream's latest events.
type streamPace struct {
	sentAt     time.Time // when the request was sent to the replica
	eventTimes []time.Time
	eventCount int // all events of this stream
}

// add records an event.
func (p *streamPace) add(now time.Time) {
	p.eventCount++
	p.eventTimes = append(p.eventTimes, now)
	if len(p.eventTimes) > paceWindowEvents {
		p.eventTimes = p.eventTimes[1:]
	}
}

// isStraggler decides whether an item should continue on another replica, given the typical time
// of an event there. Load pattern: a step is complete only when its longest completions are,
// while a replica has become slow, hangs, or got more requests than it runs concurrently because
// several daemons chose it at the same moment. A completion that stays pays the slowness for each
// remaining event; one that moves pays for another prefill of its prompt.
func (p *streamPace) isStraggler(now time.Time, typical time.Duration) bool {
	if typical <= 0 {
		return false // no reference to compare with
	}
	if p.eventCount == 0 {
		return now.Sub(p.sentAt) > max(minFirstEventTime, slowFirstEventFactor*typical)
	}
	elapsed := now.Sub(p.eventTimes[0])
	if len(p.eventTimes) < paceWindowEvents {
		// The time of the first event counts from the request, of the others from the event before.
		elapsed = now.Sub(p.sentAt)
	}
	if elapsed < minSlowTime {
		return false
	}
	return float64(elapsed) > slowEventFactor*float64(len(p.eventTimes))*float64(typical)
}
