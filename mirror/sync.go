package mirror

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// attendWait is how long one question waits for news at a collector.
	attendWait = 900 * time.Millisecond
	// attendSlack is added for the answer's way before the collector counts as silent.
	attendSlack = 500 * time.Millisecond
	// staleAge is the age of a daemon's copy from which on it is no source of news, and
	// that of the own copy from which on this daemon watches the store itself.
	staleAge = 1800 * time.Millisecond
	// staleAllAge is the age of the kinds that are not urgent from which on this daemon
	// watches all kinds: daemons disagree about who is first.
	staleAllAge = 12 * time.Second
	// badTime is how long a daemon is passed over that gave no fresh news; twice as long
	// each time that it does not answer, since one that is cut off may stay listed.
	badTime    = 3 * time.Second
	maxBadTime = time.Minute
	// compareInterval is the pause between two questions of one collector to another.
	compareInterval = time.Second
	// alonePause is the wait of a daemon that knows no other.
	alonePause = 300 * time.Millisecond
	// triedSources is how many daemons are asked before this one watches the store itself.
	triedSources = 3
)

// Register adds the mirror's drpc service.
func (m *Mirror) Register(mux drpc.Mux) error {
	return mirrorpb.DRPCRegisterMirror(mux, service{m})
}

// attend decides again and again whether this daemon watches the store, and hears news
// from others.
func (m *Mirror) attend(ctx context.Context) {
	self := Member{ID: m.config.Self, FailureDomain: m.config.FailureDomain}
	failed := 0
	for next := 0; ctx.Err() == nil; next++ {
		ordered := order(m.members())
		chosen := collectors(ordered, m.isBad)
		collects := contains(chosen, self.ID)
		known := sources(self, ordered, chosen)
		from := m.good(known)
		m.settleDoubts()
		switch {
		case collects && chosen[0].ID == self.ID, len(known) == 0, m.ageAll() > staleAllAge:
			m.setWatching(allKinds)
		case collects, m.Age() > staleAge, failed >= triedSources:
			m.setWatching(urgent)
		default:
			m.setWatching(nothing)
		}
		switch {
		case len(from) == 0:
			clock.Sleep(ctx, alonePause)
		case collects && !m.blind():
			other := from[next%min(len(from), fewCollectors)]
			m.judge(other, m.ask(ctx, other, 0))
			clock.Sleep(ctx, compareInterval)
		default:
			if m.judge(from[0], m.ask(ctx, from[0], attendWait)) {
				failed = 0
			} else {
				failed++
			}
		}
	}
}

func contains(members []Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}

func (m *Mirror) isBad(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.bad[id].until)
}

// judge passes over a daemon that gave no fresh news: the next in order takes its place.
func (m *Mirror) judge(other Member, q quality) bool {
	switch q {
	case freshNews:
		m.pass(other.ID, 0)
	case noNews:
		m.pass(other.ID, alonePause)
	case noAnswer:
		m.pass(other.ID, min(max(badTime, 2*m.pauseOf(other.ID)), maxBadTime))
	default:
		m.pass(other.ID, badTime)
	}
	return q == freshNews
}

// passing is the time for which a daemon is no source of news.
type passing struct {
	until time.Time
	pause time.Duration
}

func (m *Mirror) pauseOf(id string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bad[id].pause
}

// blind reports whether the store turns this daemon away, or its copy is old.
func (m *Mirror) blind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lost.IsZero() || m.age() >= staleAge
}

// pass leaves a daemon out for a time.
func (m *Mirror) pass(id string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bad[id] = passing{until: time.Now().Add(d), pause: d}
}

func (m *Mirror) good(members []Member) []Member {
	var good []Member
	for _, member := range members {
		if !m.isBad(member.ID) {
			good = append(good, member)
		}
	}
	return good
}

// quality is what a daemon is worth as a source of news.
type quality int

const (
	noAnswer  quality = iota
	staleNews         // its copy is old: the store turns it away
	noNews            // it has just started and knows nothing
	freshNews
)

// ask takes a daemon's news.
func (m *Mirror) ask(ctx context.Context, from Member, wait time.Duration) quality {
	ctx, cancel := context.WithTimeout(ctx, wait+attendSlack)
	defer cancel()
	conn, err := m.conns.Conn(ctx, from.Address)
	if err != nil {
		return noAnswer
	}
	answer, err := mirrorpb.NewDRPCMirrorClient(conn).Sync(ctx, m.question(wait))
	if err != nil {
		return noAnswer
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = time.Now()
	blind := m.age() > blindAge
	news := false
	for _, n := range answer.News {
		if m.take(n, from.ID, blind) {
			news = true
		}
	}
	if news {
		m.tell()
	}
	age := time.Duration(answer.AgeMs) * time.Millisecond
	m.fresh = later(m.fresh, time.Now().Add(-age))
	m.freshAll = later(m.freshAll, time.Now().Add(-time.Duration(answer.AgeAllMs)*time.Millisecond))
	switch {
	case age >= noAge:
		return noNews
	case age >= staleAge:
		return staleNews
	}
	m.source, m.sourceAt = from.Address, time.Now()
	return freshNews
}

func (m *Mirror) question(wait time.Duration) *mirrorpb.SyncRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	request := &mirrorpb.SyncRequest{From: m.config.Self, WaitMs: wait.Milliseconds()}
	for _, kind := range m.config.Kinds {
		request.Known = append(request.Known, &mirrorpb.Known{Kind: kind.Name, Revision: m.kinds[kind.Name].revision})
	}
	return request
}

// take applies the news of one kind from a daemon. The caller holds the lock.
func (m *Mirror) take(news *mirrorpb.News, from string, blind bool) bool {
	k := m.kinds[news.Kind]
	if k == nil || news.Revision <= k.revision {
		return false
	}
	k.source = from
	changed := make([]objectapi.Object, 0, len(news.Changed))
	for _, o := range news.Changed {
		changed = append(changed, objectapi.Object{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	keys := make(map[string]bool, len(news.Keys))
	for _, key := range news.Keys {
		keys[key] = true
	}
	return k.replace(news.Revision, changed, keys, blind)
}

// service answers other daemons.
type service struct{ m *Mirror }

// Sync implements mirrorpb.DRPCMirrorServer.
func (s service) Sync(ctx context.Context, request *mirrorpb.SyncRequest) (*mirrorpb.SyncAnswer, error) {
	timer := time.NewTimer(time.Duration(request.WaitMs) * time.Millisecond)
	defer timer.Stop()
	for over := request.WaitMs == 0; ; {
		answer, changed := s.m.newsFor(request)
		if over || len(answer.News) > 0 || answer.AgeMs >= staleAge.Milliseconds() {
			return answer, nil
		}
		select {
		case <-ctx.Done():
			return answer, nil
		case <-timer.C:
			over = true
		case <-changed:
		}
	}
}

// newsFor returns what the caller does not know, and a channel that is closed when there
// is more.
func (m *Mirror) newsFor(request *mirrorpb.SyncRequest) (*mirrorpb.SyncAnswer, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard = time.Now()
	answer := &mirrorpb.SyncAnswer{AgeMs: m.offeredAge().Milliseconds(), AgeAllMs: time.Since(m.freshAll).Milliseconds()}
	for _, known := range request.Known {
		if k := m.kinds[known.Kind]; k != nil && k.revision > known.Revision && (k.changed > known.Revision || known.Revision == 0) {
			answer.News = append(answer.News, k.newsAfter(known))
		}
	}
	return answer, m.changed
}

// newsAfter returns what changed after the caller's revision.
func (k *kindCopy) newsAfter(known *mirrorpb.Known) *mirrorpb.News {
	news := &mirrorpb.News{Kind: known.Kind, Revision: k.revision}
	for key, o := range k.objects {
		news.Keys = append(news.Keys, key)
		if o.Version > known.Revision {
			news.Changed = append(news.Changed, &mirrorpb.Object{Key: o.Key, Version: o.Version, Value: o.Value})
		}
	}
	return news
}
