package waves

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

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

// bootTime is a clock that, unlike the runtime's, also counts while the instance is
// suspended.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// leaseValue is the content of the lease. Every writing of it differs.
type leaseValue struct {
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"` // ms since the Unix epoch at the holder's start
	Renewal     int64  `json:"renewal"`     // counts up within an incarnation
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
			l.renew(ctx, token, false)
		}
	}()
}

// acquire takes the lease if it is free or expired. It reports whether this daemon holds it.
func (l *lease) acquire(ctx context.Context) bool {
	o, err := l.store.Get(ctx, leaseKey)
	switch {
	case fault.Is(err, fault.NotFound):
		return l.renew(ctx, 0, false)
	case err != nil:
		return false
	}
	var current leaseValue
	if json.Unmarshal(o.Value, &current) == nil && current.Holder == l.self {
		return l.renew(ctx, o.Version, false)
	}
	if !l.expired(o.Version) {
		return false
	}
	return l.renew(ctx, o.Version, true)
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
// the write was sent. taken says that it was another holder's.
func (l *lease) renew(ctx context.Context, version int64, taken bool) bool {
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
		if fault.Is(err, fault.Conflict) || fault.Is(err, fault.Ambiguous) && version > 0 {
			l.log.Log(event.WaveLeaseLost, event.Err(err))
			l.token, l.until = 0, 0
		}
		return false
	}
	if l.token == 0 {
		l.log.Log(event.WaveLeaseTaken, event.F("token", o.Version), event.F("from_another", taken))
	}
	l.token, l.until = o.Version, sent+l.length-leaseMargin
	if taken {
		l.from = l.clock() + l.length
	}
	return true
}
