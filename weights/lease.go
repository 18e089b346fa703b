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

// leaseKey returns the object that holds a pool's lease.
func leaseKey(pool string) string { return "leases/weights/" + pool }

// leaseRecord is the value of a lease object.
type leaseRecord struct {
	Holder   string `json:"holder"`
	Nonce    string `json:"nonce"`    // of the write, settles lost answers
	Released bool   `json:"released"` // free for the next holder
}

// lease is one daemon's part in a pool's lease. The holder counts the validity from
// before it sent the write. The others count from when they first saw the current
// version, so no two clocks are compared. The fencing number is the object version
// of the holder's latest write.
type lease struct {
	store    objectapi.ObjectStore
	key      string
	holder   string
	duration time.Duration
	now      func() time.Time

	mu      sync.Mutex
	held    bool
	lost    bool // a newer holder is known
	fence   int64
	until   time.Time
	seen    int64     // version last seen while not holding
	seenAt  time.Time // when it was first seen
	attempt attempt   // the latest write
}

// attempt is one write of the lease object.
type attempt struct {
	nonce   string
	started time.Time
}

func newLease(store objectapi.ObjectStore, pool, holder string, duration time.Duration, now func() time.Time) *lease {
	return &lease{store: store, key: leaseKey(pool), holder: holder, duration: duration, now: now}
}

// remaining returns the fencing number and how long the lease is still valid; a
// duration of zero or less means that it is not.
func (l *lease) remaining() (fence int64, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return l.fence, 0
	}
	return l.fence, l.until.Sub(l.now())
}

// superseded reports whether this daemon never held the lease or a newer holder is known.
func (l *lease) superseded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence == 0 || l.lost
}

// drop gives up the lease without a write, after an engine refused the fencing number.
func (l *lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.lost = true
}

// tick renews a held lease that has used a third of its time, or tries to take one
// that has not changed for its duration times (1 + rank).
func (l *lease) tick(ctx context.Context, rank int) error {
	l.mu.Lock()
	held, left := l.held, l.until.Sub(l.now())
	l.mu.Unlock()
	if held && left > l.duration*2/3 {
		return nil
	}
	if held {
		return l.renew(ctx)
	}
	return l.take(ctx, rank)
}

// renew writes the lease again. A conflict with this daemon's own earlier write, whose
// answer was lost, is no loss.
func (l *lease) renew(ctx context.Context) error {
	fence, _ := l.remaining()
	l.mu.Lock()
	previous := l.attempt
	l.mu.Unlock()
	err := l.write(ctx, fence)
	if !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.NotFound) {
		return err
	}
	object, readErr := l.readBack(ctx, previous.nonce)
	if readErr == nil {
		l.adopt(object.Version, previous.started)
		return nil
	}
	l.drop()
	return err
}

func (l *lease) take(ctx context.Context, rank int) error {
	current, err := l.store.Get(ctx, l.key)
	if fault.Is(err, fault.NotFound) {
		return l.write(ctx, 0)
	}
	if err != nil {
		return err
	}
	var record leaseRecord
	_ = json.Unmarshal(current.Value, &record)
	if !record.Released && !l.unchanged(current.Version, time.Duration(1+rank)*l.duration) {
		return nil
	}
	return l.write(ctx, current.Version)
}

// unchanged reports whether the object has had this version for at least wait.
func (l *lease) unchanged(version int64, wait time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version > l.fence {
		l.lost = true
	}
	if l.seen != version {
		l.seen = version
		l.seenAt = l.now()
	}
	return l.now().Sub(l.seenAt) >= wait
}

// release frees the lease for the next holder.
func (l *lease) release(ctx context.Context) {
	fence, left := l.remaining()
	if left <= 0 {
		return
	}
	l.mu.Lock()
	l.held = false
	l.lost = true
	l.mu.Unlock()
	value, _ := json.Marshal(leaseRecord{Holder: l.holder, Nonce: newNonce(), Released: true})
	_, _ = l.store.Update(ctx, l.key, value, fence)
}

// write creates (version 0) or updates the lease object. A lost answer is settled by
// reading the object back.
func (l *lease) write(ctx context.Context, version int64) error {
	a := attempt{nonce: newNonce(), started: l.now()}
	value, err := json.Marshal(leaseRecord{Holder: l.holder, Nonce: a.nonce})
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.attempt = a
	l.mu.Unlock()
	object, err := l.put(ctx, value, version)
	if err != nil {
		return err
	}
	l.adopt(object.Version, a.started)
	return nil
}

// adopt makes this daemon the holder since started.
func (l *lease) adopt(version int64, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
	l.lost = false
	l.fence = version
	l.until = started.Add(l.duration)
}

func (l *lease) put(ctx context.Context, value []byte, version int64) (objectapi.Object, error) {
	if version == 0 {
		return objectapi.CreateSettled(ctx, l.store, l.key, value)
	}
	return objectapi.UpdateSettled(ctx, l.store, l.key, value, version)
}

func (l *lease) readBack(ctx context.Context, nonce string) (objectapi.Object, error) {
	object, err := l.store.Get(ctx, l.key)
	if err != nil {
		return objectapi.Object{}, err
	}
	var record leaseRecord
	if json.Unmarshal(object.Value, &record) != nil || record.Nonce != nonce {
		return objectapi.Object{}, fault.New(fault.Conflict, "the lease write was lost or another holder wrote", "read the lease again")
	}
	return object, nil
}

func newNonce() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
