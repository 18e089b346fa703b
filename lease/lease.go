// Package lease keeps the right of one daemon at a time to make certain calls, as an object in the
// platform's store. The revision of the object is the fencing token of its holder.
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// leaseMargin ends the lease early for its holder, to allow for calls in flight.
	leaseMargin = 500 * time.Millisecond
	// takeoverMargin is added to the lease duration before another daemon takes over a
	// lease that was not renewed.
	takeoverMargin = 300 * time.Millisecond
)

// leaseValue is the stored value of the lease. No two writes are equal, so that a write
// whose response was lost can be recognised.
type leaseValue struct {
	Holder          string `json:"holder"`
	Incarnation     int64  `json:"incarnation"` // ms since the Unix epoch at the holder's start
	Renewal         int64  `json:"renewal"`     // increases with each write of an incarnation
	Released        bool   `json:"released,omitempty"`
	SinceLastCallMs int64  `json:"quiet_ms,omitempty"` // time between the last call and the release
	WaitMs          int64  `json:"wait_ms,omitempty"`  // time from the renewal until the holder may make its first call
}

// Config configures a Lease.
type Config struct {
	Key         string        // store key of the lease object
	Self        string        // ID of this daemon
	Incarnation int64         // ms since the Unix epoch at its start
	Duration    time.Duration // how long the lease is valid after a renewal
	Fenced      bool          // receivers refuse calls with an older fencing token
	// ConstantToken keeps the token of the first write while the lease is renewed without another
	// write in between. Otherwise the token is the revision of the last renewal, and a delayed call
	// arrives with a lower token than a later call of the same holder. With ConstantToken, a holder
	// whose token changes and whose receivers check no tokens also waits for its own earlier calls.
	ConstantToken bool
	Clock         func() time.Duration // clock.BootTime if nil
}

// Lease is this daemon's view of the lease.
type Lease struct {
	cfg      Config
	store    objectapi.ObjectStore
	log      *event.Logger
	renewing atomic.Bool

	mu              sync.Mutex
	version         int64         // revision of this daemon's last renewal; 0 if it does not hold the lease
	token           int64         // fencing token of this daemon's calls; 0 if it does not hold the lease
	expiresAt       time.Duration // reading of the clock
	callsFrom       time.Duration // no calls before; those of the previous holder may still be in flight
	lastCallAt      time.Duration // when this daemon made its last call
	renewals        int64
	holder          string        // holder at the last read or write of the lease; "" if none or unknown
	observedVersion int64         // revision of another holder's lease
	observedAt      time.Duration // when observedVersion was first read
}

// New returns the view of a daemon that does not hold the lease. The store is called only by
// Acquire, Observe, RenewInBackground and Release.
func New(cfg Config, store objectapi.ObjectStore, log *event.Logger) *Lease {
	if cfg.Clock == nil {
		cfg.Clock = clock.BootTime
	}
	return &Lease{cfg: cfg, store: store, log: log}
}

// Holds returns the fencing token and whether this daemon may make a call now.
func (l *Lease) Holds() (token int64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock()
	switch {
	case l.token == 0 || now < l.callsFrom:
		return 0, false
	case now < l.expiresAt:
		return l.token, true
	}
	// Receivers that check fencing tokens refuse this one once they know a newer holder.
	return l.token, l.cfg.Fenced
}

// TokenForCall is like Holds and records the time of the call that is about to be made.
func (l *Lease) TokenForCall() (token int64, held bool) {
	token, held = l.Holds()
	l.mu.Lock()
	defer l.mu.Unlock()
	if held {
		l.lastCallAt = l.cfg.Clock()
	}
	return token, held
}

// IsHolder reports whether this daemon's last write of the lease succeeded and it knows of no newer
// holder. Unlike Holds, it does not require that the lease has not expired.
func (l *Lease) IsHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token > 0
}

// Holder returns the ID of the holder at the last read or write of the lease, and "" if there was
// none or it is unknown.
func (l *Lease) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// drop forgets that this daemon holds the lease. The caller holds the lock.
func (l *Lease) drop() { l.version, l.token, l.expiresAt, l.holder = 0, 0, 0, "" }

// Release ends the lease at a planned stop, so that the next holder need not wait until
// it expires. It is best effort: an unreleased lease is taken over after it expires.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	version, token := l.version, l.token
	l.drop()
	l.renewals++
	value, err := json.Marshal(leaseValue{
		Holder: l.cfg.Self, Incarnation: l.cfg.Incarnation, Renewal: l.renewals, Released: true,
		SinceLastCallMs: l.sinceLastCall().Milliseconds(),
	})
	l.mu.Unlock()
	if version == 0 || err != nil {
		return
	}
	_, err = l.store.Update(ctx, l.cfg.Key, value, version)
	if fault.Is(err, fault.Conflict) {
		// A renewal that was canceled by the stop may have taken effect.
		current, stored, readable, readErr := l.read(ctx)
		if readErr == nil && readable && !stored.Released && stored.Holder == l.cfg.Self && stored.Incarnation == l.cfg.Incarnation {
			_, err = l.store.Update(ctx, l.cfg.Key, value, current)
		}
	}
	if err == nil {
		l.log.Log(event.LeaseReleased, event.F("key", l.cfg.Key), event.F("token", token))
	}
}

// read reads the lease and records its holder.
func (l *Lease) read(ctx context.Context) (version int64, current leaseValue, readable bool, err error) {
	o, err := l.store.Get(ctx, l.cfg.Key)
	if err != nil {
		return 0, leaseValue{}, false, err
	}
	readable = json.Unmarshal(o.Value, &current) == nil
	// No holder waits for longer, or made its last call in the future. Other numbers would block the lease.
	longest := l.cfg.Duration.Milliseconds()
	current.WaitMs, current.SinceLastCallMs = min(max(current.WaitMs, 0), longest), min(max(current.SinceLastCallMs, 0), longest)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = current.Holder
	if current.Released {
		l.holder = ""
	}
	return o.Version, current, readable, nil
}

// Observe reads another holder's lease, which starts its expiry on this daemon's clock.
func (l *Lease) Observe(ctx context.Context) {
	if version, _, _, err := l.read(ctx); err == nil {
		l.expired(version)
	}
}

// Invalidate drops the lease after a receiver reported a newer holder.
func (l *Lease) Invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop()
}

// overHalfLeft reports whether more than half of the lease duration is left.
func (l *Lease) overHalfLeft() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token > 0 && l.expiresAt-l.cfg.Clock() > l.cfg.Duration/2
}

// RenewInBackground renews the lease that this daemon holds when half of its duration is
// over. It does not block the calls, since the store may be slow or unavailable. At most
// one renewal is in progress.
func (l *Lease) RenewInBackground(ctx context.Context) {
	if l.overHalfLeft() || !l.renewing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer l.renewing.Store(false)
		l.mu.Lock()
		version := l.version
		l.mu.Unlock()
		if version > 0 {
			l.renew(ctx, version, 0)
		}
	}()
}

// sinceLastCall returns how long ago this daemon or, while this daemon waits for them to end, the
// previous holder may have made a call. The caller holds the lock.
func (l *Lease) sinceLastCall() time.Duration {
	now := l.cfg.Clock()
	return min(now-l.lastCallAt, l.cfg.Duration-l.remainingWait(now))
}

// remainingWait returns how long this daemon may make no calls. The caller holds the lock.
func (l *Lease) remainingWait(now time.Duration) time.Duration { return max(l.callsFrom-now, 0) }

// IsWaiting reports whether this daemon holds the lease but may not make calls yet, since the
// previous holder's may still be in flight.
func (l *Lease) IsWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock()
	return l.token > 0 && now < l.expiresAt && l.remainingWait(now) > 0
}

// waitsForOwnCalls reports whether this daemon waits for its own calls in flight when its token
// changes: they would arrive with a lower token, and no receiver would refuse them.
func (l *Lease) waitsForOwnCalls() bool { return l.cfg.ConstantToken && !l.cfg.Fenced }

// adoptOwn takes over the lease of an earlier incarnation of this daemon, which may have made a
// call just before it ended.
func (l *Lease) adoptOwn(ctx context.Context, version int64, current leaseValue) bool {
	l.mu.Lock()
	l.lastCallAt = l.cfg.Clock()
	l.mu.Unlock()
	wait := time.Duration(current.WaitMs) * time.Millisecond
	if l.waitsForOwnCalls() {
		wait = l.cfg.Duration
	}
	return l.renew(ctx, version, wait)
}

// renewOwn renews the lease that an earlier write of this process has left in the store. If the answer to
// that write was lost, its wait for the calls of the previous holder is not known to be over.
func (l *Lease) renewOwn(ctx context.Context, version int64, current leaseValue) bool {
	l.mu.Lock()
	var wait time.Duration
	if version != l.version {
		wait = time.Duration(current.WaitMs) * time.Millisecond
		if l.waitsForOwnCalls() {
			wait = max(l.cfg.Duration-l.sinceLastCall(), wait)
		}
	}
	l.mu.Unlock()
	return l.renew(ctx, version, wait)
}

// Acquire takes the lease if it is free, released or expired. It reports whether this daemon
// holds it.
func (l *Lease) Acquire(ctx context.Context) bool {
	version, current, readable, err := l.read(ctx)
	switch {
	case fault.Is(err, fault.NotFound):
		return l.renew(ctx, 0, 0)
	case err != nil:
		return false
	case readable && current.Holder == l.cfg.Self && current.Incarnation != l.cfg.Incarnation:
		return l.adoptOwn(ctx, version, current)
	case readable && current.Holder == l.cfg.Self:
		return l.renewOwn(ctx, version, current)
	case readable && current.Released:
		return l.renew(ctx, version, l.cfg.Duration-time.Duration(current.SinceLastCallMs)*time.Millisecond)
	case !l.expired(version):
		return false
	case l.cfg.Fenced:
		// Receivers refuse the previous holder's calls that are still in flight.
		return l.renew(ctx, version, 0)
	}
	return l.renew(ctx, version, l.cfg.Duration)
}

// expired reports whether another holder's lease remained unchanged for its whole duration on
// this daemon's clock.
func (l *Lease) expired(version int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observedVersion != version {
		l.observedVersion, l.observedAt = version, l.cfg.Clock()
	}
	return l.cfg.Clock()-l.observedAt > l.cfg.Duration+takeoverMargin
}

// renew writes the lease over the given revision; 0 creates it. The duration counts from
// before the write is sent. No call is made for callDelay, while the previous holder's
// calls may still be in flight.
func (l *Lease) renew(ctx context.Context, version int64, callDelay time.Duration) bool {
	l.mu.Lock()
	l.renewals++
	sent := l.cfg.Clock()
	continued := version != 0 && version == l.version
	value, err := json.Marshal(leaseValue{
		Holder: l.cfg.Self, Incarnation: l.cfg.Incarnation, Renewal: l.renewals,
		WaitMs: max(l.remainingWait(sent), callDelay).Milliseconds(),
	})
	l.mu.Unlock()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Duration)
	defer cancel()
	var o objectapi.Object
	if version == 0 {
		o, err = objectapi.CreateConfirmed(ctx, l.store, l.cfg.Key, value)
	} else {
		o, err = objectapi.UpdateConfirmed(ctx, l.store, l.cfg.Key, value, version)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if fault.Is(err, fault.Conflict) && l.token > 0 {
			l.log.Log(event.LeaseLost, event.F("key", l.cfg.Key), event.Err(err))
			l.drop()
		}
		return false // after an ambiguous renewal the old token stays valid until it expires
	}
	if l.token == 0 {
		l.log.Log(event.LeaseTaken, event.F("key", l.cfg.Key), event.F("token", o.Version), event.F("quiet", callDelay.String()))
	}
	if !l.cfg.ConstantToken || !continued || l.token == 0 {
		l.token = o.Version
	}
	l.version, l.expiresAt, l.holder = o.Version, sent+l.cfg.Duration-leaseMargin, l.cfg.Self
	l.callsFrom = max(l.callsFrom, l.cfg.Clock()+callDelay) // a renewal does not end a wait
	return true
}
