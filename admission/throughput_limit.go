package admission

import (
	"math"
	"time"
)

// Parameters of the throughput limit.
const (
	rateBuckets        = 20 // in the window of the rate
	rateBucketWidth    = 200 * time.Millisecond
	minRateWindow      = time.Second // shortest time over which a rate is computed
	serverTimeShare    = 0.4         // share of the time to the deadline that requests may spend at the servers
	maxServerTimeShare = 0.85        // upper bound of that share, for servers that need longer even when unloaded
	unloadedFactor     = 1.5         // servers may take this many times their unloaded duration
	averageWeight      = 0.1         // weight of a new value in a moving average
	floorFactor        = 4           // this many times the adaptive limit's floor may always be in flight
)

// throughputLimit bounds the requests of one class in flight by the rate at which the
// servers complete requests in time: at that rate, the requests in flight should need
// only a share of the time to their deadline. The rest is left for the queue, where a
// request can still be refused as not run.
type throughputLimit struct {
	inFlight         int
	completed        [rateBuckets]int // requests completed in time, by bucket
	newestBucket     int64            // number of the newest bucket
	windowStart      time.Time        // first completion after a window without any
	timeToDeadline   time.Duration    // moving average at arrival, 0 without deadlines
	unloadedDuration time.Duration    // moving average over requests that started without load
}

// recordArrival records the time that an arriving request has until its deadline.
func (l *throughputLimit) recordArrival(timeToDeadline time.Duration) {
	l.timeToDeadline = movingAverage(l.timeToDeadline, timeToDeadline)
}

// recordCompletion counts a request that completed in time.
func (l *throughputLimit) recordCompletion(now time.Time, duration time.Duration, unloaded bool) {
	if l.rate(now) == 0 {
		l.windowStart = now
	}
	l.completed[l.newestBucket%rateBuckets]++
	if unloaded {
		l.unloadedDuration = movingAverage(l.unloadedDuration, duration)
	}
}

// advance clears the buckets that have left the window.
func (l *throughputLimit) advance(now time.Time) {
	bucket := now.UnixNano() / int64(rateBucketWidth)
	for i := max(l.newestBucket+1, bucket-rateBuckets+1); i <= bucket; i++ {
		l.completed[i%rateBuckets] = 0
	}
	l.newestBucket = max(l.newestBucket, bucket)
}

// rate returns the number of requests per second that complete in time.
func (l *throughputLimit) rate(now time.Time) float64 {
	l.advance(now)
	sum := 0
	for _, n := range l.completed {
		sum += n
	}
	window := min(max(now.Sub(l.windowStart), minRateWindow), rateBuckets*rateBucketWidth)
	return float64(sum) / window.Seconds()
}

// maxInFlight returns the maximum number of requests in flight, and false if there is
// no such limit. floor is the lower bound of the adaptive limit.
func (l *throughputLimit) maxInFlight(now time.Time, floor int) (int, bool) {
	if l.timeToDeadline == 0 {
		return 0, false
	}
	timeToDeadline := l.timeToDeadline.Seconds()
	serverSeconds := max(serverTimeShare*timeToDeadline, min(unloadedFactor*l.unloadedDuration.Seconds(), maxServerTimeShare*timeToDeadline))
	return max(int(math.Ceil(l.rate(now)*serverSeconds)), floorFactor*floor), true
}

// movingAverage returns the exponentially weighted moving average after observed.
func movingAverage(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(averageWeight*float64(observed-old))
}
