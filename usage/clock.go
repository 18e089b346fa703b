package usage

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/usage/usagepb"
)

const (
	// sampleInterval is the time between two samples, startInterval the one in the first startPeriod,
	// as long as there are fewer than maxSamples.
	sampleInterval = 2 * time.Second
	startInterval  = 100 * time.Millisecond
	startPeriod    = 5 * time.Second
	// maxRoundTrip bounds the error of a sample, which is half of its round trip.
	maxRoundTrip = 500 * time.Millisecond
	// reportedOffset is the difference from the own wall clock from which on it is logged.
	reportedOffset = 500 * time.Millisecond
)

// Clock estimates true time from the wall clocks of this daemon and of peers.
type Clock struct {
	conns   peer.ConnProvider
	members func() map[string]string
	self    string
	log     *event.Logger

	boot  func() time.Duration
	wall  func() time.Time
	since func(time.Time) time.Duration // time since a local time, independent of the wall clock
	ask   func(ctx context.Context, address string) (time.Time, error)

	asked map[string]bool // peers asked since all were; used by run only

	mu       sync.Mutex
	samples  []sample
	estimate *time.Duration // true time minus the boot-time clock; nil before the first use
	off      bool           // whether the wall clock was reported to be off
}

// NewClock returns a Clock. members returns the drpc addresses of all daemons by ID, including self.
// Until the Manager runs, true time is this daemon's wall clock.
func NewClock(conns peer.ConnProvider, members func() map[string]string, self string, log *event.Logger) *Clock {
	c := &Clock{
		conns: conns, members: members, self: self, log: log,
		boot: clock.BootTime, wall: time.Now, since: time.Since, asked: map[string]bool{},
	}
	c.ask = c.callPeer
	return c
}

// Now returns true time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

// now returns true time. The caller holds the lock.
func (c *Clock) now() time.Time {
	boot := c.boot()
	own := time.Duration(c.wall().UnixNano()) - boot
	estimate := medianOffset(own, c.samples, boot, c.estimate)
	c.estimate = &estimate
	return time.Unix(0, int64(boot+estimate))
}

// At converts a local time that time.Now returned to true time. It uses the monotonic reading, so
// that jumps of the wall clock since then do not matter.
func (c *Clock) At(local time.Time) time.Time { return c.Now().Add(-c.since(local)) }

// Offset returns true time minus the local wall clock.
func (c *Clock) Offset() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return time.Duration(now.UnixNano() - c.wall().UnixNano())
}

// Samples returns the number of peers whose wall clocks are taken into account.
func (c *Clock) Samples() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.samples {
		if c.boot()-s.takenAt <= maxSampleAge {
			n++
		}
	}
	return n
}

// run takes samples until ctx ends.
func (c *Clock) run(ctx context.Context) {
	startedAt := c.boot()
	for ctx.Err() == nil {
		c.takeSample(ctx)
		c.reportOffset()
		interval := sampleInterval
		if c.boot()-startedAt < startPeriod && c.Samples() < maxSamples {
			interval = startInterval
		}
		clock.Sleep(ctx, time.Duration((0.75+0.5*rand.Float64())*float64(interval)))
	}
}

// takeSample queries the wall clock of a random peer that has not been asked since all others were. In a
// small fleet, a daemon that starts with a wrong wall clock thus has samples of two peers soon, and one
// that does not respond does not keep it from asking the others.
func (c *Clock) takeSample(ctx context.Context) {
	members := c.members()
	var all, unasked []string
	for id := range members {
		if id == c.self {
			continue
		}
		all = append(all, id)
		if !c.asked[id] {
			unasked = append(unasked, id)
		}
	}
	if len(all) == 0 {
		return
	}
	if len(unasked) == 0 {
		unasked = all
		clear(c.asked)
	}
	id := unasked[rand.IntN(len(unasked))]
	c.asked[id] = true
	c.samplePeer(ctx, id, members[id])
}

// samplePeer queries the wall clock of a peer. The answer is taken as valid for the middle of the
// round trip; it is dropped if that took too long, for example because this process was frozen.
func (c *Clock) samplePeer(ctx context.Context, id, address string) {
	ctx, cancel := context.WithTimeout(ctx, maxRoundTrip)
	defer cancel()
	sentAt := c.boot()
	wall, err := c.ask(ctx, address)
	receivedAt := c.boot()
	if err != nil || receivedAt-sentAt > maxRoundTrip {
		return
	}
	middle := sentAt + (receivedAt-sentAt)/2
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples = addSample(c.samples, sample{peer: id, offset: time.Duration(wall.UnixNano()) - middle, takenAt: receivedAt})
}

func (c *Clock) callPeer(ctx context.Context, address string) (time.Time, error) {
	conn, err := c.conns.Conn(ctx, address)
	if err != nil {
		return time.Time{}, err
	}
	resp, err := usagepb.NewDRPCUsageClient(conn).WallClock(ctx, &usagepb.WallClockRequest{})
	if err != nil {
		return time.Time{}, err
	}
	return time.Unix(0, resp.UnixNs), nil
}

// reportOffset logs when the wall clock begins or ceases to differ from true time.
func (c *Clock) reportOffset() {
	offset := c.Offset()
	off := offset.Abs() >= reportedOffset
	c.mu.Lock()
	changed := off != c.off
	c.off = off
	c.mu.Unlock()
	switch {
	case changed && off:
		c.log.Log(event.UsageClockOff, event.F("offset_ms", offset.Milliseconds()))
	case changed:
		c.log.Log(event.UsageClockAgrees, event.F("offset_ms", offset.Milliseconds()))
	}
}
