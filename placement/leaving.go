package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/gossip"
)

const (
	// markRetention is how long the mark of a replica is kept after its entry was removed, in case
	// the entry comes back, for example from a daemon with an old copy of the store.
	markRetention = 10 * time.Minute
	// maxMarks bounds the memory. Beyond it, the marks of replicas without an entry are forgotten
	// first, those that have been without one for the longest time before others.
	maxMarks = 4096
	// markFactLifetime is how long other daemons are told of a mark, maxMarkFacts is the number of
	// marks, the newest ones, of which they are told.
	markFactLifetime = 10 * time.Minute
	maxMarkFacts     = 1024
)

// incarnation identifies one life of a replica. An entry with another start time or address is another
// incarnation.
type incarnation struct {
	id        string
	startedMs int64
	address   string
}

func incarnationOf(r catalog.Replica) incarnation {
	return incarnation{id: r.ID, startedMs: r.StartedMs, address: r.Address}
}

// leavingMark records that a replica announced that it is leaving.
type leavingMark struct {
	observedAt    time.Time // of the first announcement
	unlistedSince time.Time // zero while the store has an entry of the incarnation
}

// isExpired reports whether the entry was removed so long ago that the mark does not count any more.
func (m *leavingMark) isExpired(now time.Time) bool {
	return !m.unlistedSince.IsZero() && now.Sub(m.unlistedSince) > markRetention
}

// leavingMarks holds the replicas that announced that they are leaving. Times are of clock.BootNow.
type leavingMarks map[incarnation]*leavingMark

// add marks a replica and reports whether it was not marked yet.
func (m leavingMarks) add(of incarnation, observedAt, now time.Time, listed bool) bool {
	if known := m[of]; known != nil && !known.isExpired(now) {
		if observedAt.Before(known.observedAt) {
			known.observedAt = observedAt
		}
		return false
	}
	m.makeRoom()
	mark := &leavingMark{observedAt: observedAt}
	if !listed {
		mark.unlistedSince = now
	}
	m[of] = mark
	return true
}

// makeRoom forgets one mark if there are maxMarks.
func (m leavingMarks) makeRoom() {
	if len(m) < maxMarks {
		return
	}
	var least incarnation
	for of, candidate := range m {
		if current := m[least]; current == nil || candidate.compare(current) < 0 {
			least = of
		}
	}
	delete(m, least)
}

// compare compares how much two marks matter; the result is negative if m is forgotten before other.
func (m *leavingMark) compare(other *leavingMark) int {
	switch {
	case m.unlistedSince.IsZero() && other.unlistedSince.IsZero():
		return m.observedAt.Compare(other.observedAt)
	case m.unlistedSince.IsZero():
		return 1
	case other.unlistedSince.IsZero():
		return -1
	}
	return m.unlistedSince.Compare(other.unlistedSince)
}

// has reports whether a replica is marked.
func (m leavingMarks) has(of incarnation, now time.Time) bool {
	mark := m[of]
	return mark != nil && !mark.isExpired(now)
}

// setListed records whether the store has an entry of the incarnation.
func (m leavingMarks) setListed(of incarnation, listed bool, now time.Time) {
	mark := m[of]
	switch {
	case mark == nil:
	case mark.isExpired(now):
		delete(m, of)
	case listed:
		mark.unlistedSince = time.Time{}
	case mark.unlistedSince.IsZero():
		mark.unlistedSince = now
	}
}

// recent returns the replicas of whose marks other daemons are told, the newest marks first.
func (m leavingMarks) recent(now time.Time) []incarnation {
	var found []incarnation
	for of, mark := range m {
		if now.Sub(mark.observedAt) <= markFactLifetime {
			found = append(found, of)
		}
	}
	slices.SortFunc(found, func(a, b incarnation) int { return m[b].observedAt.Compare(m[a].observedAt) })
	return found[:min(len(found), maxMarkFacts)]
}

// MarkLeaving records that a replica announced that it is leaving. Nothing new is placed on this
// incarnation of it from then on, whatever the store says.
func (t *Tracker) MarkLeaving(r catalog.Replica) {
	if t.mark(incarnationOf(r), 0, "replica") {
		t.leavingChanged()
	}
}

// mark marks a replica whose announcement was received age ago and reports whether it was not marked
// yet. source is whose word it is: that of the replica or of another daemon.
func (t *Tracker) mark(of incarnation, age time.Duration, source string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, entry := t.bootNow(), t.replicas[of.id]
	listed := entry != nil && incarnationOf(entry.Replica) == of
	if !t.leaving.add(of, now.Add(-age), now, listed) {
		return false
	}
	if listed {
		entry.isLeaving = true
	}
	t.log.Log(event.PlacementLeaving, event.F("replica", of.id), event.F("born", of.startedMs), event.F("address", of.address), event.F("source", source))
	return true
}

// LeavingCount returns the number of listed replicas on which nothing new is placed since they
// announced that they are leaving.
func (t *Tracker) LeavingCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.replicas {
		if r.isLeaving {
			n++
		}
	}
	return n
}

// OnLeaving calls notify when other daemons should be told of a leaving replica. It must be called
// before requests are served.
func (t *Tracker) OnLeaving(notify func()) { t.leavingChanged = notify }

// LeavingTopic returns the topic through which daemons tell each other of leaving replicas.
func (t *Tracker) LeavingTopic() gossip.Topic { return leavingTopic{t} }

// leavingTopic implements gossip.Topic. The key of a fact is ID@born, its value is the address.
type leavingTopic struct{ t *Tracker }

// Name implements gossip.Topic.
func (leavingTopic) Name() string { return "leaving" }

// Facts implements gossip.Topic.
func (l leavingTopic) Facts() []gossip.Fact {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	now := l.t.bootNow()
	var facts []gossip.Fact
	for _, of := range l.t.leaving.recent(now) {
		facts = append(facts, gossip.Fact{Key: of.key(), Value: []byte(of.address), Age: now.Sub(l.t.leaving[of].observedAt)})
	}
	return facts
}

// Digest implements gossip.Topic.
func (l leavingTopic) Digest() uint64 {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	var texts []string
	for _, of := range l.t.leaving.recent(l.t.bootNow()) {
		texts = append(texts, of.key()+" "+of.address)
	}
	return gossip.Digest(texts)
}

// Merge implements gossip.Topic.
func (l leavingTopic) Merge(facts []gossip.Fact) bool {
	changed := false
	for _, f := range facts[:min(len(facts), maxMarkFacts)] {
		of, ok := parseKey(f.Key)
		of.address = string(f.Value)
		if ok && of.address != "" && f.Age <= markFactLifetime {
			changed = l.t.mark(of, f.Age, "daemon") || changed
		}
	}
	return changed
}

func (i incarnation) key() string { return i.id + "@" + strconv.FormatInt(i.startedMs, 10) }

func parseKey(key string) (incarnation, bool) {
	at := strings.LastIndexByte(key, '@')
	if at <= 0 {
		return incarnation{}, false
	}
	startedMs, err := strconv.ParseInt(key[at+1:], 10, 64)
	return incarnation{id: key[:at], startedMs: startedMs}, err == nil
}
