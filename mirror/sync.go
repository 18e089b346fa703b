package mirror

import (
	"cmp"
	"context"
	"slices"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// syncWait is how long a request waits for updates at a collector.
	syncWait = 800 * time.Millisecond
	// syncTimeoutMargin is added to the wait for the timeout of a request.
	syncTimeoutMargin = 500 * time.Millisecond
	// staleAge is the age from which a daemon's copy is no source of updates, and the age of
	// its own copy above which this daemon watches the store itself.
	staleAge = 1800 * time.Millisecond
	// staleAllAge is the age of the other kinds above which this daemon watches all kinds. It is
	// exceeded when daemons disagree about which is the first collector.
	staleAllAge = 12 * time.Second
	// minSkipTime is how long a daemon without a fresh copy is skipped. The time doubles, up to
	// maxSkipTime, each time it does not respond, since an unreachable daemon may stay listed.
	minSkipTime = 3 * time.Second
	maxSkipTime = time.Minute
	// compareInterval is the time between two requests of one collector to others.
	compareInterval = time.Second
	// noPeerDelay is the retry delay of a daemon without a usable source, and how long a daemon
	// with an incomplete copy is skipped.
	noPeerDelay = 300 * time.Millisecond
	// lateResponse is how long after the wait of a request its response counts as late, and promptTimeout is how
	// long another source may take for a response at once. See docs/design/mirror.md for the sum of all waits.
	lateResponse  = 60 * time.Millisecond
	promptTimeout = 200 * time.Millisecond
	// maxFailedSources is how many sources in a row may fail before this daemon watches the store itself.
	maxFailedSources = 2
	// lateAge is the age from which a copy that follows no collector is too old to wait for a source. The
	// rest of the time in which a change must be in force is left for the store's response.
	lateAge = 1400 * time.Millisecond
	// minSyncWait is the shortest wait of a request to the first source, and staleMargin the part of staleAge that
	// is left for its response.
	minSyncWait = 100 * time.Millisecond
	staleMargin = 200 * time.Millisecond
	// initialSources is how many sources the initial sync asks in turn.
	initialSources = 3
	// startGrace is how long after its start a daemon does not watch the store for failed requests:
	// all instances may have started together, and those it asks are not up yet.
	startGrace = 700 * time.Millisecond
)

// Register adds the mirror's drpc service to mux.
func (m *Mirror) Register(mux drpc.Mux) error {
	return mirrorpb.DRPCRegisterMirror(mux, service{m})
}

// syncLoop repeatedly decides what this daemon watches in the store, and requests updates from
// other daemons.
func (m *Mirror) syncLoop(ctx context.Context) {
	self := Member{ID: m.cfg.Self, FailureDomain: m.cfg.FailureDomain}
	failures := 0
	for round := 0; ctx.Err() == nil; round++ {
		ordered := collectorOrder(m.members())
		chosen := collectors(ordered, m.isSkipped)
		isCollector := contains(chosen, self.ID)
		candidates := sources(self, ordered, chosen)
		usable := m.notSkipped(candidates)
		m.setOthers(len(candidates))
		m.expireMissing()
		switch {
		case isCollector && chosen[0].ID == self.ID, len(candidates) == 0, m.ageAll() > staleAllAge:
			m.setWatching(watchAll)
		case isCollector, m.Age() > staleAge, m.needsStore(usable, chosen, failures):
			m.setWatching(watchUrgent)
		default:
			m.setWatching(watchNothing)
		}
		switch {
		case len(usable) == 0:
			m.probe(ctx, candidates, round)
			clock.Sleep(ctx, noPeerDelay)
		case isCollector && !m.isStale():
			asked := collectorSources(usable, chosen)
			other := asked[round%min(len(asked), minCollectors)]
			m.recordResult(other, m.syncFrom(ctx, other, 0))
			clock.Sleep(ctx, compareInterval)
		case failures > 0:
			if failures >= maxFailedSources { // this daemon watches the store itself meanwhile
				clock.Sleep(ctx, noPeerDelay)
			}
			failures = m.countFailures(failures, m.recordResult(usable[0], m.syncPromptly(ctx, usable[0])))
		default:
			failures = m.follow(ctx, usable, chosen)
		}
	}
}

// needsStore decides whether a daemon that is no collector watches the store itself, from the number of sources that
// failed in a row. Load pattern: several daemons are lost at once without a sign, frozen or cut off, among them those
// that this one waits for. A source costs at most one late response; then the store is asked. In calm the first source
// is a collector that responds, and the store is not asked.
func (m *Mirror) needsStore(usable, chosen []Member, failures int) bool {
	if time.Since(m.startedAt) <= startGrace {
		return false
	}
	if failures >= maxFailedSources {
		return true
	}
	followsCollector := len(usable) > 0 && contains(chosen, usable[0].ID)
	return !followsCollector && m.Age() > lateAge
}

// follow waits at the first source for updates. If its response is late, the next source is asked for a response at
// once. It returns the number of sources in a row that failed.
func (m *Mirror) follow(ctx context.Context, usable, chosen []Member) (failures int) {
	source := usable[0]
	wait := waitFor(m.Age(), contains(chosen, source.ID))
	response := make(chan bool, 1)
	go m.log.Guard("updates from daemon "+source.ID, func() {
		response <- m.recordResult(source, m.syncFrom(ctx, source, wait))
	})
	late := time.NewTimer(wait + lateResponse)
	defer late.Stop()
	select {
	case isFresh := <-response:
		return m.countFailures(0, isFresh)
	case <-late.C:
	}
	m.postpone(source.ID, syncTimeoutMargin) // until it is known whether it responds at all
	if len(usable) > 1 {
		next := m.syncPromptly(ctx, usable[1])
		if next == noResponse { // perhaps this daemon itself was held up, and missed both responses
			m.postpone(usable[1].ID, noPeerDelay)
		} else if m.recordResult(usable[1], next) {
			return 0
		}
	}
	select {
	case isFresh := <-response:
		return m.countFailures(1, isFresh)
	default:
		return maxFailedSources
	}
}

// waitFor decides how long to wait for updates of a source, given the age of the copy. Load pattern: daemons were lost
// one after the other, and each daemon has its own view of who collects. A source that is taken for a collector
// and does not watch the store responds with an older copy each time: the wait must end before the copy is stale. That
// of a collector is renewed more often than that, so that the waits in calm are as long as syncWait on average.
func waitFor(age time.Duration, isCollector bool) time.Duration {
	if !isCollector {
		return min(syncWait, max(lateAge-age, minSyncWait))
	}
	if age < coalesceDelay {
		return syncWait + coalesceDelay - age
	}
	return min(syncWait, max(staleAge-staleMargin-age, minSyncWait))
}

// countFailures returns the number of sources that failed in a row after one more request.
func (m *Mirror) countFailures(before int, isFresh bool) int {
	if isFresh {
		return 0
	}
	return before + 1
}

// syncPromptly requests the updates that a source has; only a response at once counts.
func (m *Mirror) syncPromptly(ctx context.Context, source Member) syncResult {
	ctx, cancel := context.WithTimeout(ctx, promptTimeout)
	defer cancel()
	return m.syncFrom(ctx, source, 0)
}

// postpone skips a daemon for d, without a change of how long it is skipped when it does not respond next.
func (m *Mirror) postpone(id string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	skipped := m.skipped[id]
	skipped.until = later(skipped.until, time.Now().Add(d))
	m.skipped[id] = skipped
}

// probe asks one of the daemons although all are skipped. Load pattern: this daemon was cut off and
// reached nobody, or the store was unavailable for all, so that nobody had a fresh copy. The end of
// that must not be noticed only when a skip period ends.
func (m *Mirror) probe(ctx context.Context, candidates []Member, round int) {
	if len(candidates) == 0 {
		return
	}
	source := candidates[round%len(candidates)]
	if m.syncFrom(ctx, source, 0) == freshCopy {
		m.skip(source.ID, 0)
	}
}

func (m *Mirror) setOthers(count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.others = count
}

func contains(members []Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}

func (m *Mirror) isSkipped(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.skipped[id].until)
}

// recordResult skips a source without a fresh copy for a time, so that the next in order takes
// its place. It reports whether the copy was fresh.
func (m *Mirror) recordResult(source Member, result syncResult) bool {
	switch result {
	case freshCopy:
		m.skip(source.ID, 0)
	case emptyCopy:
		m.skip(source.ID, noPeerDelay)
	case noResponse:
		m.skip(source.ID, min(max(minSkipTime, 2*m.skipTimeOf(source.ID)), maxSkipTime))
	default:
		m.skip(source.ID, minSkipTime)
	}
	return result == freshCopy
}

// skipPeriod is the period in which a daemon is not used as a collector or source.
type skipPeriod struct {
	until    time.Time
	duration time.Duration
}

func (m *Mirror) skipTimeOf(id string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.skipped[id].duration
}

// isStale reports whether the store does not respond to this daemon, or its copy is too old.
func (m *Mirror) isStale() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.storeLostAt.IsZero() || m.age() >= staleAge
}

// skip excludes a daemon as a collector and source for d.
func (m *Mirror) skip(id string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skipped[id] = skipPeriod{until: time.Now().Add(d), duration: d}
}

func (m *Mirror) notSkipped(members []Member) []Member {
	var usable []Member
	for _, member := range members {
		if !m.isSkipped(member.ID) {
			usable = append(usable, member)
		}
	}
	return usable
}

// syncResult is the quality of a daemon as a source of updates.
type syncResult int

const (
	noResponse syncResult = iota
	staleCopy             // its copy is too old, for example because the store does not respond to it
	emptyCopy             // its copy is incomplete: it has just started
	freshCopy
)

// syncFrom requests updates from a daemon, which may wait for changes, and applies them. If they come in
// several parts, it requests all of them.
func (m *Mirror) syncFrom(ctx context.Context, from Member, wait time.Duration) syncResult {
	for {
		before := m.revisionSum()
		result := m.syncPart(ctx, from, wait)
		if result != emptyCopy || m.revisionSum() == before {
			return result
		}
		wait = 0
	}
}

// revisionSum grows whenever a kind gets newer.
func (m *Mirror) revisionSum() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := int64(0)
	for _, k := range m.kinds {
		sum += k.revision
	}
	return sum
}

func (m *Mirror) syncPart(ctx context.Context, from Member, wait time.Duration) syncResult {
	ctx, cancel := context.WithTimeout(ctx, wait+syncTimeoutMargin)
	defer cancel()
	conn, err := m.conns.Conn(ctx, from.Address)
	if err != nil {
		return noResponse
	}
	asked := m.proof.now()
	resp, err := mirrorpb.NewDRPCMirrorClient(conn).Sync(ctx, m.syncRequest(wait))
	if err != nil {
		return noResponse
	}
	result := m.applyResponse(from.ID, asked, resp)
	if result == freshCopy {
		m.setLastSource(from.Address)
	}
	return result
}

// applyResponse applies another daemon's updates, for which this daemon asked at a time on the boot-time
// clock. After a start, an outdated copy is used only when
// staleFallbackDelay has passed without a better one: it may hold objects that were deleted since.
func (m *Mirror) applyResponse(from string, asked time.Duration, resp *mirrorpb.SyncAnswer) syncResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact = time.Now()
	age := time.Duration(resp.AgeMs) * time.Millisecond
	outdated := age >= staleAge && age < unknownAge
	if outdated && !m.isCompleteLocked() && time.Since(m.startedAt) < staleFallbackDelay {
		return staleCopy
	}
	storeWasAvailable := m.recordPeer(from, age, time.Duration(resp.UnbrokenMs)*time.Millisecond)
	grace := !storeWasAvailable && m.grantsGrace()
	updated := m.expireMissingLocked()
	for _, update := range resp.News {
		if m.applyUpdate(update, from, grace) {
			updated = true
		}
	}
	if updated {
		m.notifyWaiters()
	}
	m.recordPeerProof(asked, resp)
	m.setFreshAt(time.Now().Add(-age))
	m.allFreshAt = later(m.allFreshAt, time.Now().Add(-time.Duration(resp.AgeAllMs)*time.Millisecond))
	switch {
	case age >= unknownAge:
		return emptyCopy
	case outdated:
		return staleCopy
	}
	m.confirmed = true
	return freshCopy
}

func (m *Mirror) setLastSource(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSource, m.lastSourceAt = address, time.Now()
}

func (m *Mirror) syncRequest(wait time.Duration) *mirrorpb.SyncRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	request := &mirrorpb.SyncRequest{From: m.cfg.Self, WaitMs: wait.Milliseconds()}
	for _, kind := range m.cfg.Kinds {
		request.Known = append(request.Known, &mirrorpb.Known{Kind: kind.Name, Revision: m.kinds[kind.Name].revision})
	}
	return request
}

// applyUpdate applies another daemon's update of one kind and reports whether anything changed.
// The caller holds the lock.
func (m *Mirror) applyUpdate(update *mirrorpb.News, from string, grace bool) bool {
	k := m.kinds[update.Kind]
	if k == nil || update.Revision <= k.revision {
		return false
	}
	k.source = from
	changed := make([]objectapi.Object, 0, len(update.Changed))
	for _, o := range update.Changed {
		changed = append(changed, objectapi.Object{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	keys := make(map[string]bool, len(update.Keys))
	for _, key := range update.Keys {
		keys[key] = true
	}
	return k.replace(update.Revision, changed, keys, grace)
}

// service implements the drpc service for other daemons.
type service struct{ m *Mirror }

// Sync implements mirrorpb.DRPCMirrorServer.
func (s service) Sync(ctx context.Context, request *mirrorpb.SyncRequest) (*mirrorpb.SyncAnswer, error) {
	arrivedAt := s.m.proof.now()
	timer := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for expired := request.WaitMs == 0; ; {
		held := s.m.proof.now() - arrivedAt // before the proof's age is taken, so that it is no overestimate
		resp, changed := s.m.updatesFor(request)
		resp.HeldMs = held.Milliseconds()
		if expired || len(resp.News) > 0 || resp.AgeMs >= staleAge.Milliseconds() {
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return resp, nil
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

// maxUpdateBytes bounds the objects of one response: drpc refuses messages over 4 MiB, so that a few
// large objects would keep all changes from other daemons.
const maxUpdateBytes = 2 << 20

// updatesFor returns the changes that the caller does not have, and a channel that is closed at
// the next change. If not all fit into one response, its copy counts as incomplete, and the caller asks
// again for what came after the revisions that it got.
func (m *Mirror) updatesFor(request *mirrorpb.SyncRequest) (*mirrorpb.SyncAnswer, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact = time.Now()
	resp := &mirrorpb.SyncAnswer{
		AgeMs: m.advertisedAge().Milliseconds(), AgeAllMs: time.Since(m.allFreshAt).Milliseconds(),
		UnbrokenMs: m.continuity.unbroken(time.Now(), m.freshAt).Milliseconds(), ProofAgeMs: m.advertisedProofAge(),
	}
	room := maxUpdateBytes
	for _, known := range request.Known {
		k := m.kinds[known.Kind]
		if k == nil || k.revision <= known.Revision || k.lastChange <= known.Revision && known.Revision > 0 {
			continue
		}
		if room > 0 {
			update, size := k.updateAfter(known, room)
			resp.News = append(resp.News, update)
			room -= size
		}
		if room <= 0 {
			resp.AgeMs, resp.AgeAllMs, resp.UnbrokenMs, resp.ProofAgeMs = unknownAge.Milliseconds(), unknownAge.Milliseconds(), 0, 0
		}
	}
	return resp, m.changed
}

// updateAfter returns the changes after the caller's revision, the oldest first, and their size. If they
// exceed room, the update ends with an earlier revision.
func (k *kindCopy) updateAfter(known *mirrorpb.Known, room int) (update *mirrorpb.News, size int) {
	update = &mirrorpb.News{Kind: known.Kind, Revision: k.revision}
	var changed []objectapi.Object
	for key, o := range k.objects {
		update.Keys = append(update.Keys, key)
		if o.Version > known.Revision {
			changed = append(changed, o)
		}
	}
	slices.SortFunc(changed, func(a, b objectapi.Object) int { return cmp.Compare(a.Version, b.Version) })
	for i, o := range changed {
		if size += len(o.Key) + len(o.Value); size > room && i > 0 {
			update.Revision = min(changed[i-1].Version, k.revision) // own writes may be newer than the copy
			break
		}
		update.Changed = append(update.Changed, &mirrorpb.Object{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	return update, size
}
