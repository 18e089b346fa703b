package weights

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// leaseKey returns the key of the object that holds a pool's lease.
func leaseKey(pool string) string { return "leases/weights/" + pool }

// leaseRecord is the value of a lease object.
type leaseRecord struct {
	Holder   string `json:"holder"`
	Nonce    string `json:"nonce"`    // identifies the write when its response was lost
	Released bool   `json:"released"` // the holder released the lease before it expired
}

// lease is one daemon's view of a pool's lease. The holder measures the lease duration
// from before it sends the write. The other daemons measure it from when they first see
// the current object version, so the clocks of two daemons are never compared. The
// fencing token is the object version of the holder's latest write.
type lease struct {
	store    objectapi.ObjectStore
	key      string
	holder   string
	duration time.Duration
	now      func() time.Time

	mu              sync.Mutex
	held            bool
	lost            bool  // a newer holder is known
	fencingToken    int64 // fencing token of the latest write as holder
	expiresAt       time.Time
	observedVersion int64        // object version last read while not the holder
	observedAt      time.Time    // when that version was first read
	lastWrite       writeAttempt // latest write of this daemon
}

// writeAttempt identifies one write of the lease object.
type writeAttempt struct {
	nonce   string
	started time.Time
}

func newLease(store objectapi.ObjectStore, pool, holder string, duration time.Duration, now func() time.Time) *lease {
	return &lease{store: store, key: leaseKey(pool), holder: holder, duration: duration, now: now}
}

// remaining returns the fencing token and how long the lease is still valid. The lease
// is not valid if the duration is zero or less.
func (l *lease) remaining() (fencingToken int64, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return l.fencingToken, 0
	}
	return l.fencingToken, l.expiresAt.Sub(l.now())
}

// lostOrNeverHeld reports whether this daemon never held the lease or a newer holder is known.
func (l *lease) lostOrNeverHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken == 0 || l.lost
}

// markLost marks the lease as lost without a write. It is called when an engine has
// refused the fencing token or a renewal has met another holder's write.
func (l *lease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.lost = true
}

// renewOrAcquire renews a held lease after a third of its duration. If the lease is not
// held, it tries to acquire it once it was released or its object has not changed for
// the lease duration times (1 + rank).
func (l *lease) renewOrAcquire(ctx context.Context, rank int) error {
	l.mu.Lock()
	held, left := l.held, l.expiresAt.Sub(l.now())
	l.mu.Unlock()
	if held && left > l.duration*2/3 {
		return nil
	}
	if held {
		return l.renew(ctx)
	}
	return l.acquire(ctx, rank)
}

// renew writes the lease again. The daemon keeps the lease if the write conflicts with
// its own previous write, whose response was lost.
func (l *lease) renew(ctx context.Context) error {
	fencingToken, _ := l.remaining()
	l.mu.Lock()
	previous := l.lastWrite
	l.mu.Unlock()
	err := l.write(ctx, fencingToken)
	if !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.NotFound) {
		return err
	}
	object, readErr := l.readBack(ctx, previous.nonce)
	if readErr == nil {
		l.setHeld(object.Version, previous.started)
		return nil
	}
	l.markLost()
	return err
}

func (l *lease) acquire(ctx context.Context, rank int) error {
	current, err := l.store.Get(ctx, l.key)
	if fault.Is(err, fault.NotFound) {
		return l.write(ctx, 0)
	}
	if err != nil {
		return err
	}
	var record leaseRecord
	_ = json.Unmarshal(current.Value, &record)
	if !record.Released && !l.unchangedFor(current.Version, time.Duration(1+rank)*l.duration) {
		return nil
	}
	return l.write(ctx, current.Version)
}

// unchangedFor reports whether this daemon has seen the object at this version for at
// least wait. It records when the version is first seen, and that the lease is lost if the
// version is newer than this daemon's fencing token.
func (l *lease) unchangedFor(version int64, wait time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.fencingToken {
		l.lost = true
	}
	if l.observedVersion != version {
		l.observedVersion = version
		l.observedAt = l.now()
	}
	return l.now().Sub(l.observedAt) >= wait
}

// release marks the lease as released in the store, so that another daemon can acquire
// it at once.
func (l *lease) release(ctx context.Context) {
	fencingToken, left := l.remaining()
	if left <= 0 {
		return
	}
	l.mu.Lock()
	l.held = false
	l.lost = true
	l.mu.Unlock()
	value, _ := json.Marshal(leaseRecord{Holder: l.holder, Nonce: newNonce(), Released: true})
	_, _ = l.store.Update(ctx, l.key, value, fencingToken)
}

// write creates (version 0) or updates the lease object. If the response is lost, the
// object is read back to find out whether the write took effect.
func (l *lease) write(ctx context.Context, version int64) error {
	a := writeAttempt{nonce: newNonce(), started: l.now()}
	value, err := json.Marshal(leaseRecord{Holder: l.holder, Nonce: a.nonce})
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.lastWrite = a
	l.mu.Unlock()
	object, err := l.createOrUpdate(ctx, value, version)
	if err != nil {
		return err
	}
	l.setHeld(object.Version, a.started)
	return nil
}

// setHeld records that this daemon holds the lease; its duration counts from started.
func (l *lease) setHeld(version int64, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
	l.lost = false
	l.fencingToken = version
	l.expiresAt = started.Add(l.duration)
}

func (l *lease) createOrUpdate(ctx context.Context, value []byte, version int64) (objectapi.Object, error) {
	if version == 0 {
		return objectapi.CreateConfirmed(ctx, l.store, l.key, value)
	}
	return objectapi.UpdateConfirmed(ctx, l.store, l.key, value, version)
}

func (l *lease) readBack(ctx context.Context, nonce string) (objectapi.Object, error) {
	object, err := l.store.Get(ctx, l.key)
	if err != nil {
		return objectapi.Object{}, err
	}
	var record leaseRecord
	if json.Unmarshal(object.Value, &record) != nil || record.Nonce != nonce {
		return objectapi.Object{}, fault.New(fault.Conflict, "the lease write did not take effect or another holder wrote the lease", "read the lease again")
	}
	return object, nil
}

func newNonce() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
