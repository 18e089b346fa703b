package waves

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// leaseKey is the store key of the lease object.
	leaseKey = "leases/weights"
	// leaseMargin ends the lease early for its holder, to allow for calls in flight.
	leaseMargin = 500 * time.Millisecond
	// takeoverMargin is added to the lease duration before another daemon takes over a
	// lease that was not renewed.
	takeoverMargin = 300 * time.Millisecond
)

// leaseValue is the stored value of the lease. No two writes are equal, so that a write
// whose response was lost can be recognised.
type leaseValue struct {
	Holder           string `json:"holder"`
	Incarnation      int64  `json:"incarnation"` // ms since the Unix epoch at the holder's start
	Renewal          int64  `json:"renewal"`     // increases with each write of an incarnation
	Released         bool   `json:"released,omitempty"`
	SinceLastOrderMs int64  `json:"quiet_ms,omitempty"` // time between the last order and the release
	WaitMs           int64  `json:"wait_ms,omitempty"`  // time from the renewal until the holder may send its first order
}

// lease is this daemon's view of the lease.
type lease struct {
	store       objectapi.ObjectStore
	log         *event.Logger
	self        string
	incarnation int64
	duration    time.Duration
	fenced      bool // replicas refuse orders with an older fencing token
	clock       func() time.Duration
	renewing    atomic.Bool

	mu              sync.Mutex
	token           int64         // revision of this daemon's last renewal; 0 if it does not hold the lease
	expiresAt       time.Duration // reading of clock
	ordersFrom      time.Duration // no orders before; those of the previous holder may still be in flight
	lastOrderAt     time.Duration // when this daemon sent its last order
	renewals        int64
	observedVersion int64         // revision of another holder's lease
	observedAt      time.Duration // when observedVersion was first read
}

// holds returns the fencing token and whether this daemon may send an order now.
func (l *lease) holds() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	switch {
	case l.token == 0 || now < l.ordersFrom:
		return 0, false
	case now < l.expiresAt:
		return l.token, true
	}
	// Replicas that check fencing tokens refuse this one once they know a newer holder.
	return l.token, l.fenced
}

// tokenForOrder is like holds and records the time of the order that is about to be sent.
func (l *lease) tokenForOrder() (int64, bool) {
	token, held := l.holds()
	l.mu.Lock()
	defer l.mu.Unlock()
	if held {
		l.lastOrderAt = l.clock()
	}
	return token, held
}

// release ends the lease at a planned stop, so that the next holder need not wait until
// it expires. It is best effort: an unreleased lease is taken over after it expires.
func (l *lease) release(ctx context.Context) {
	l.mu.Lock()
	token := l.token
	l.token, l.expiresAt = 0, 0
	l.renewals++
	value, err := json.Marshal(leaseValue{
		Holder: l.self, Incarnation: l.incarnation, Renewal: l.renewals, Released: true,
		SinceLastOrderMs: l.sinceLastOrder().Milliseconds(),
	})
	l.mu.Unlock()
	if token == 0 || err != nil {
		return
	}
	if _, err := l.store.Update(ctx, leaseKey, value, token); err == nil {
		l.log.Log(event.WaveLeaseReleased, event.F("token", token))
	}
}

// observe reads another holder's lease, which starts its expiry on this daemon's clock.
func (l *lease) observe(ctx context.Context) {
	if o, err := l.store.Get(ctx, leaseKey); err == nil {
		l.expired(o.Version)
	}
}

// invalidate drops the lease after a replica reported a newer holder.
func (l *lease) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token, l.expiresAt = 0, 0
}

// overHalfLeft reports whether more than half of the lease duration is left.
func (l *lease) overHalfLeft() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token > 0 && l.expiresAt-l.clock() > l.duration/2
}

// renewInBackground renews the lease that this daemon holds when half of its duration is
// over. It does not block the orders, since the store may be slow or unavailable. At most
// one renewal is in progress.
func (l *lease) renewInBackground(ctx context.Context) {
	if l.overHalfLeft() || !l.renewing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.renewing.Store(false)
		l.mu.Lock()
		token := l.token
		l.mu.Unlock()
		if token > 0 {
			l.renew(ctx, token, 0)
		}
	}()
}

// sinceLastOrder returns how long ago this daemon or, while this daemon waits for them to end, the
// previous holder may have sent an order. The caller holds the lock.
func (l *lease) sinceLastOrder() time.Duration {
	now := l.clock()
	return min(now-l.lastOrderAt, l.duration-l.remainingWait(now))
}

// remainingWait returns how long this daemon may send no orders. The caller holds the lock.
func (l *lease) remainingWait(now time.Duration) time.Duration { return max(l.ordersFrom-now, 0) }

// isWaiting reports whether this daemon holds the lease but may not send orders yet, since the
// previous holder's may still be in flight.
func (l *lease) isWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	return l.token > 0 && now < l.expiresAt && l.remainingWait(now) > 0
}

// adoptOwn takes over the lease of an earlier incarnation of this daemon, which may have sent an
// order just before it ended.
func (l *lease) adoptOwn(ctx context.Context, version int64, current leaseValue) bool {
	l.mu.Lock()
	l.lastOrderAt = l.clock()
	l.mu.Unlock()
	return l.renew(ctx, version, time.Duration(current.WaitMs)*time.Millisecond)
}

// acquire takes the lease if it is free, released or expired. It reports whether this daemon
// holds it.
func (l *lease) acquire(ctx context.Context) bool {
	o, err := l.store.Get(ctx, leaseKey)
	switch {
	case fault.Is(err, fault.NotFound):
		return l.renew(ctx, 0, 0)
	case err != nil:
		return false
	}
	var current leaseValue
	readable := json.Unmarshal(o.Value, &current) == nil
	switch {
	case readable && current.Holder == l.self && current.Incarnation != l.incarnation:
		return l.adoptOwn(ctx, o.Version, current)
	case readable && current.Holder == l.self:
		return l.renew(ctx, o.Version, 0)
	case readable && current.Released:
		return l.renew(ctx, o.Version, l.duration-time.Duration(current.SinceLastOrderMs)*time.Millisecond)
	case !l.expired(o.Version):
		return false
	case l.fenced:
		// Replicas refuse the previous holder's orders that are still in flight.
		return l.renew(ctx, o.Version, 0)
	}
	return l.renew(ctx, o.Version, l.duration)
}

// expired reports whether another holder's lease remained unchanged for its whole duration on
// this daemon's clock.
func (l *lease) expired(version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observedVersion != version {
		l.observedVersion, l.observedAt = version, l.clock()
	}
	return l.clock()-l.observedAt > l.duration+takeoverMargin
}

// renew writes the lease over the given revision; 0 creates it. The duration counts from
// before the write is sent. No order is sent for orderDelay, while the previous holder's
// orders may still be in flight.
func (l *lease) renew(ctx context.Context, version int64, orderDelay time.Duration) bool {
	l.mu.Lock()
	l.renewals++
	sent := l.clock()
	value, err := json.Marshal(leaseValue{
		Holder: l.self, Incarnation: l.incarnation, Renewal: l.renewals,
		WaitMs: max(l.remainingWait(sent), orderDelay).Milliseconds(),
	})
	l.mu.Unlock()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	var o objectapi.Object
	if version == 0 {
		o, err = objectapi.CreateConfirmed(ctx, l.store, leaseKey, value)
	} else {
		o, err = objectapi.UpdateConfirmed(ctx, l.store, leaseKey, value, version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if fault.Is(err, fault.Conflict) && l.token > 0 {
			l.log.Log(event.WaveLeaseLost, event.Err(err))
			l.token, l.expiresAt = 0, 0
		}
		return false // after an ambiguous renewal the old token stays valid until it expires
	}
	if l.token == 0 {
		l.log.Log(event.WaveLeaseTaken, event.F("token", o.Version), event.F("quiet", orderDelay.String()))
	}
	l.token, l.expiresAt = o.Version, sent+l.duration-leaseMargin
	l.ordersFrom = max(l.ordersFrom, l.clock()+orderDelay) // a renewal does not end a wait
	return true
}
