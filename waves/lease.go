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
	// leaseKey is the object of the lease.
	leaseKey = "leases/weights"
	// leaseMargin is subtracted from the lease's time for calls on their way.
	leaseMargin = 500 * time.Millisecond
	// takeMargin is added to the time for which a lease must stand unchanged before
	// another daemon takes it.
	takeMargin = 300 * time.Millisecond
)

// leaseValue is the content of the lease. Every writing of it differs.
type leaseValue struct {
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"` // ms since the Unix epoch at the holder's start
	Renewal     int64  `json:"renewal"`     // counts up within an incarnation
	Released    bool   `json:"released,omitempty"`
	QuietMs     int64  `json:"quiet_ms,omitempty"` // since the last order, when it was released
}

// lease is this daemon's view of the lease.
type lease struct {
	store       objectapi.ObjectStore
	log         *event.Logger
	self        string
	incarnation int64
	length      time.Duration
	fenced      bool // replicas refuse orders with an old token
	clock       func() time.Duration
	renewing    atomic.Bool

	mu       sync.Mutex
	token    int64         // revision of this daemon's last renewal, 0 when it holds nothing
	until    time.Duration // on the clock
	from     time.Duration // no order before: the last holder's may be on their way
	ordered  time.Duration // when this daemon gave its last order
	renewals int64
	seen     int64         // revision of another holder's lease
	seenAt   time.Duration // when seen was read first
}

// holds returns the fencing token if this daemon may give an order right now.
func (l *lease) holds() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	switch {
	case l.token == 0 || now < l.from:
		return 0, false
	case now < l.until:
		return l.token, true
	}
	// Replicas that check tokens refuse this one as soon as there is a newer holder.
	return l.token, l.fenced
}

// use is holds right before an order.
func (l *lease) use() (int64, bool) {
	token, held := l.holds()
	l.mu.Lock()
	defer l.mu.Unlock()
	if held {
		l.ordered = l.clock()
	}
	return token, held
}

// release gives the lease up at a planned stop, so that the next holder need not wait for
// its end. It is best effort: a lease that stays is taken when its time is over.
func (l *lease) release(ctx context.Context) {
	l.mu.Lock()
	token := l.token
	l.token, l.until = 0, 0
	l.renewals++
	value, err := json.Marshal(leaseValue{
		Holder: l.self, Incarnation: l.incarnation, Renewal: l.renewals, Released: true,
		QuietMs: (l.clock() - l.ordered).Milliseconds(),
	})
	l.mu.Unlock()
	if token == 0 || err != nil {
		return
	}
	if _, err := l.store.Update(ctx, leaseKey, value, token); err == nil {
		l.log.Log(event.WaveLeaseReleased, event.F("token", token))
	}
}

// observe reads another holder's lease, so that its time runs on this daemon's clock.
func (l *lease) observe(ctx context.Context) {
	if o, err := l.store.Get(ctx, leaseKey); err == nil {
		l.expired(o.Version)
	}
}

// lost drops the lease after a replica knew a newer holder.
func (l *lease) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token, l.until = 0, 0
}

// fresh reports whether more than half of the lease's time is left.
func (l *lease) fresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token > 0 && l.until-l.clock() > l.length/2
}

// keep renews a lease that this daemon holds, beside the orders: the store may be slow or
// away. Only one renewal is in progress.
func (l *lease) keep(ctx context.Context) {
	if l.fresh() || !l.renewing.CompareAndSwap(false, true) {
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

// acquire takes the lease if it is free or expired. It reports whether this daemon holds it.
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
	case readable && current.Holder == l.self:
		return l.renew(ctx, o.Version, 0)
	case readable && current.Released:
		return l.renew(ctx, o.Version, l.length-time.Duration(current.QuietMs)*time.Millisecond)
	case !l.expired(o.Version):
		return false
	case l.fenced:
		// Orders of the last holder that are still on their way are refused.
		return l.renew(ctx, o.Version, 0)
	}
	return l.renew(ctx, o.Version, l.length)
}

// expired reports whether another holder's lease stood unchanged for its whole time on
// this daemon's clock.
func (l *lease) expired(version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen != version {
		l.seen, l.seenAt = version, l.clock()
	}
	return l.clock()-l.seenAt > l.length+takeMargin
}

// renew writes the lease from the given revision, 0 for none. The time counts from before
// the write was sent. No order is given for the time of quiet, in which the last holder's
// may be on their way.
func (l *lease) renew(ctx context.Context, version int64, quiet time.Duration) bool {
	l.mu.Lock()
	l.renewals++
	value, err := json.Marshal(leaseValue{Holder: l.self, Incarnation: l.incarnation, Renewal: l.renewals})
	sent := l.clock()
	l.mu.Unlock()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, l.length)
	defer cancel()
	var o objectapi.Object
	if version == 0 {
		o, err = objectapi.CreateSettled(ctx, l.store, leaseKey, value)
	} else {
		o, err = objectapi.UpdateSettled(ctx, l.store, leaseKey, value, version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if fault.Is(err, fault.Conflict) && l.token > 0 {
			l.log.Log(event.WaveLeaseLost, event.Err(err))
			l.token, l.until = 0, 0
		}
		return false // an unsettled renewal leaves the token as it is, to its end
	}
	if l.token == 0 {
		l.log.Log(event.WaveLeaseTaken, event.F("token", o.Version), event.F("quiet", quiet.String()))
	}
	l.token, l.until = o.Version, sent+l.length-leaseMargin
	l.from = l.clock() + quiet
	return true
}
