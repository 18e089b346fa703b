package mirror

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// proofCallTimeout bounds one read of the proven object. A connection to the store that went
	// silent is replaced after it.
	proofCallTimeout = 600 * time.Millisecond
	// proofRetryDelay is the time between two reads if the first failed.
	proofRetryDelay = 200 * time.Millisecond
)

// proof shows how long ago this daemon's copy of one object was the newest. Failure: a daemon that is
// cut off, suspended or behind must not act on an object that was changed since, such as a
// configuration that still has a withdrawn API key. A watch proves nothing, since it may miss changes
// for a second without a sign; a read does. Times are of the boot-time clock, which also counts the
// time for which the instance is suspended.
type proof struct {
	now      func() time.Duration
	provenAt time.Duration // when the question was asked to which the copy was the newest answer; 0 for never
	// version is the object's version if this daemon read it itself. Updates for other daemons may not
	// contain it until the watch has reached it.
	version int64
}

// record records that the copy was the newest at a time or later. version is 0 for the proof of another
// daemon.
func (p *proof) record(at time.Duration, version int64) {
	if at > p.provenAt {
		p.provenAt, p.version = at, version
	}
}

// age returns how long ago the copy was the newest for certain, unknownAge if that was never shown.
func (p *proof) age() time.Duration {
	if p.provenAt == 0 {
		return unknownAge
	}
	return p.now() - p.provenAt
}

// ProofAge returns how long ago this daemon's copy of Config.ProvenKey was the newest for certain. The
// copy that is read after the call is at least as new as the proof.
func (m *Mirror) ProofAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.proof.age()
}

// keepProof reads the proven object at intervals while this daemon watches the store. Others get the
// proof with their updates.
func (m *Mirror) keepProof(ctx context.Context) {
	for ctx.Err() == nil {
		wait, roleChange := m.untilProofDue()
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-roleChange:
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		if !m.prove(ctx) {
			clock.Sleep(ctx, proofRetryDelay)
		}
	}
}

// untilProofDue returns the time until the next read, and a channel that is closed when this daemon's
// role changes. The store is not asked while it does not respond to the watches.
func (m *Mirror) untilProofDue() (time.Duration, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching == watchNothing || !m.storeLostAt.IsZero() {
		return m.cfg.ProofInterval, m.roleChange
	}
	return m.cfg.ProofInterval - m.proof.age(), m.roleChange
}

// prove reads the proven object from the store. It reports whether the store has it: a missing object
// proves nothing, since its last state stays in force.
func (m *Mirror) prove(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proofCallTimeout)
	defer cancel()
	asked := m.proof.now()
	o, err := m.store.Get(ctx, m.cfg.ProvenKey)
	if err != nil {
		m.log.Log(event.MirrorProofFailed, event.F("key", m.cfg.ProvenKey), event.Err(err))
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyRead(o)
	m.proof.record(asked, o.Version)
	return true
}

// applyRead applies an object that was read from the store if it is newer than the copy. The caller
// holds the lock.
func (m *Mirror) applyRead(o objectapi.Object) {
	for _, k := range m.kinds {
		if k.owns(o.Key) && k.objects[o.Key].Version < o.Version {
			k.source, k.lastChange = FromStore, max(k.lastChange, o.Version)
			k.set(Change{Object: o})
			m.notifyWaiters()
		}
	}
}

// recordPeerProof adopts the proof of another daemon whose updates were just applied. asked is when
// this daemon sent its request: the response was sent that much later that the other daemon held the
// request, or later. The caller holds the lock.
func (m *Mirror) recordPeerProof(asked time.Duration, resp *mirrorpb.SyncAnswer) {
	if resp.ProofAgeMs <= 0 || resp.HeldMs < 0 {
		return
	}
	age, held := time.Duration(resp.ProofAgeMs)*time.Millisecond, time.Duration(resp.HeldMs)*time.Millisecond
	m.proof.record(asked+held-age, 0)
}

// advertisedProofAge returns the age of the proof for other daemons in ms, rounded up, or 0 without a
// proof or while updates do not contain what it was given for. The caller holds the lock.
func (m *Mirror) advertisedProofAge() int64 {
	if m.proof.provenAt == 0 {
		return 0
	}
	for _, k := range m.kinds {
		if k.owns(m.cfg.ProvenKey) && k.revision < m.proof.version {
			return 0
		}
	}
	return m.proof.age().Milliseconds() + 1
}
