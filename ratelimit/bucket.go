package ratelimit

import (
	"sync"
	"time"
)

const (
	// minRate keeps some requests going to a replica that names a lower limit, since only its
	// responses show that the limit has changed.
	minRate = 0.25
	// A bucket holds the permits of burstTime, and minBurst, so that a step's requests do not have
	// to arrive at regular intervals. The rule allows one and a half times the limit in any four
	// seconds.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// deferrableReserve is the share of a bucket that is left to requests that can't wait.
	deferrableReserve = 0.34
	// maxTurnWait bounds how far ahead turns are given.
	maxTurnWait = 10 * time.Second
	// maxReplicas bounds the memory for limits and for buckets.
	maxReplicas = 8192
)

// rankShares are the shares of a limit that its owner gives out, and those that the next owners
// give out to daemons that can't reach the ones before. While daemons disagree on who can be
// reached, several give out permits for the same limit; together the shares stay below what the
// rule allows.
var rankShares = []float64{1, 0.25, 0.1}

// bucket gives out permits for requests to one replica. Load pattern: many daemons, each with few
// requests, share a limit of a few requests a second, some in bursts. A daemon that is refused gets
// the time of its turn; turns lie one permit apart, so that waiting daemons do not all ask at once.
type bucket struct {
	tokens   float64
	updated  time.Time
	nextTurn map[bool]time.Time // the last turn that was given to requests that can wait, and to others
}

// take takes a permit at a rate per second. Otherwise it returns the time until the caller's turn.
func (b *bucket) take(now time.Time, rate float64, deferrable bool) (bool, time.Duration) {
	capacity := max(minBurst+rate*burstTime.Seconds()-1, minBurst)
	if b.updated.IsZero() {
		b.tokens = min(rate, 1) // an owner that has just started does not know what was given out before
		b.nextTurn = map[bool]time.Time{}
	} else {
		b.tokens = min(b.tokens+rate*max(now.Sub(b.updated), 0).Seconds(), capacity)
	}
	b.updated = now
	needed := 1.0
	if deferrable {
		needed += deferrableReserve * (capacity - 1)
	}
	if b.tokens >= needed {
		b.tokens--
		return true, 0
	}
	interval := time.Duration(float64(time.Second) / rate)
	earliest := now.Add(time.Duration((needed - b.tokens) * float64(interval)))
	turn := b.nextTurn[deferrable].Add(interval)
	if turn.Before(earliest) {
		turn = earliest
	}
	if turn.Sub(now) > maxTurnWait {
		return false, maxTurnWait
	}
	b.nextTurn[deferrable] = turn
	return false, turn.Sub(now)
}

// bucketKey identifies the permits of one rank for an incarnation of a replica.
type bucketKey struct {
	replica   string
	startedMs int64
	rank      int
}

// buckets holds the buckets of the limits for which this daemon gives out permits.
type buckets struct {
	mu    sync.Mutex
	byKey map[bucketKey]*bucket
}

func (b *buckets) take(key bucketKey, now time.Time, rate float64, deferrable bool) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.byKey[key]
	if found == nil {
		if len(b.byKey) >= maxReplicas {
			return false, maxTurnWait
		}
		found = &bucket{}
		b.byKey[key] = found
	}
	return found.take(now, rate, deferrable)
}

// removeIdle deletes the buckets that nobody has asked for lately.
func (b *buckets) removeIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, found := range b.byKey {
		if now.Sub(found.updated) > 2*maxTurnWait {
			delete(b.byKey, key)
		}
	}
}
