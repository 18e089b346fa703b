package mirror

import "time"

// outageAge is the age of the copy above which this daemon was without the store for so long that
// entries of live writers may have expired there.
const outageAge = 3 * time.Second

// continuity records since when a daemon's copy has followed the store, and who was concerned by its
// last outage. Failure: objects that are missing after an outage may have expired only because the
// store was unavailable, and their writers are back within two seconds; but if this daemon alone was
// cut off, they are gone, and a replica that has left must not get requests again.
type continuity struct {
	followsSince time.Time // when the copy began to match the store after the start or the last outage
	lostAt       time.Time // when the copy last matched the store before its last outage
	// staleDaemons are the daemons that had no fresh copy during the current outage of this one either.
	staleDaemons map[string]bool
}

// fresh records that the copy matched the store at a time, and before that at previous. It reports
// whether that ends an outage.
func (c *continuity) fresh(now, at, previous time.Time) bool {
	if now.Sub(at) > outageAge {
		return false // an outdated copy of another daemon
	}
	if now.Sub(at) < staleAge {
		clear(c.staleDaemons)
	}
	switch {
	case c.followsSince.IsZero():
		c.followsSince = at
	case at.Sub(previous) > outageAge:
		c.followsSince, c.lostAt = at, previous
		return true
	}
	return false
}

// unbroken returns for how long the copy has followed the store, 0 if it does not now.
func (c *continuity) unbroken(now, freshAt time.Time) time.Duration {
	if c.followsSince.IsZero() || now.Sub(freshAt) > outageAge {
		return 0
	}
	return now.Sub(c.followsSince)
}

// peerResponded records a response of another daemon with a copy of the given age that has followed
// the store for unbroken. It reports whether that daemon followed the store through the whole outage
// of this one, so that the store was available all the time.
func (c *continuity) peerResponded(id string, now, freshAt time.Time, age, unbroken time.Duration) bool {
	lostAt := c.lostAt
	inOutage := now.Sub(freshAt) > outageAge
	if inOutage {
		lostAt = freshAt
	}
	if age >= staleAge {
		// From staleAge on, not outageAge: a daemon without a fresh copy is skipped for longer than a
		// short outage of the store lasts after outageAge.
		if now.Sub(freshAt) >= staleAge && age < unknownAge {
			c.staleDaemons[id] = true
		}
		return false
	}
	if lostAt.IsZero() || unbroken < now.Sub(lostAt) {
		return false
	}
	return true
}

// isShared reports whether at least half of the other daemons had no fresh copy during the current
// outage either, so that it was the store's: a link that fails may cut off several daemons.
func (c *continuity) isShared(others int) bool { return 2*len(c.staleDaemons) >= others }

// setFreshAt records that the urgent kinds matched the store at a time. After an outage, daemons that
// were skipped because this one did not reach them are asked again. The caller holds the lock.
func (m *Mirror) setFreshAt(at time.Time) {
	if !at.After(m.freshAt) {
		return
	}
	if m.continuity.fresh(time.Now(), at, m.freshAt) {
		clear(m.skipped)
	}
	m.freshAt = at
}

// recordPeer records a response of another daemon. It reports whether the response shows that the store
// was available throughout the last outage of this daemon; the grace periods of missing objects then
// end. The caller holds the lock.
func (m *Mirror) recordPeer(id string, age, unbroken time.Duration) bool {
	if !m.continuity.peerResponded(id, time.Now(), m.freshAt, age, unbroken) {
		return false
	}
	for _, k := range m.kinds {
		k.endGrace()
	}
	return true
}

// grantsGrace reports whether an object that is missing now gets a grace period: the copy is not known
// to match the store again after an outage which other daemons had too. A daemon that heard few
// others was cut off itself, unless there are none. The caller holds the lock.
func (m *Mirror) grantsGrace() bool {
	return m.age() > outageAge && m.continuity.isShared(m.others)
}
