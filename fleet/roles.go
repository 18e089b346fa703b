package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// suspectTimeoutFactor is the number of member timeouts for which an unresponsive collector
// is avoided.
const suspectTimeoutFactor = 3

// task runs at most one goroutine at a time, identified by a key.
type task struct {
	mu     sync.Mutex
	key    string
	cancel context.CancelFunc
	done   chan struct{}
}

// start calls run in a goroutine. If a goroutine with the same key is running, start does
// nothing; one with another key is stopped first.
func (t *task) start(ctx context.Context, key string, run func(context.Context)) {
	if t.runningKey() == key {
		return
	}
	t.stop()
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	t.mu.Lock()
	t.key, t.cancel, t.done = key, cancel, done
	t.mu.Unlock()
	go func() {
		defer close(done)
		run(ctx)
	}()
}

// runningKey returns the key of the running goroutine, or "" if none is running.
func (t *task) runningKey() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done == nil {
		return ""
	}
	select {
	case <-t.done:
		return ""
	default:
		return t.key
	}
}

// stop cancels the goroutine and waits until it returns.
func (t *task) stop() {
	t.mu.Lock()
	cancel, done := t.cancel, t.done
	t.cancel, t.done = nil, nil
	t.mu.Unlock()
	if done != nil {
		cancel()
		<-done
	}
}

// roles holds the background tasks of a daemon. collect and connect never run at the same
// time.
type roles struct {
	collect    task
	connect    task
	directRead task
	fetch      task
}

func (r *roles) stopAll() {
	r.connect.stop()
	r.collect.stop()
	r.directRead.stop()
	r.fetch.stop()
}

// Run keeps the view and the documents up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var r roles
	defer r.stopAll()
	r.directRead.start(ctx, "direct", m.readDirectPeriodically)
	r.fetch.start(ctx, "pull", m.runFetches)
	ticker := time.NewTicker(m.config.ReportInterval)
	defer ticker.Stop()
	for {
		m.updateRoles(ctx, &r)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.expireLeavingMarks()
		case <-m.wake:
		}
	}
}

// updateRoles starts and stops tasks according to the current role of this daemon. A
// daemon with connected members acts as a collector even if it is not assigned as one.
func (m *Manager) updateRoles(ctx context.Context, r *roles) {
	if !m.listReceived() {
		return
	}
	target := m.assignedCollector()
	if target.ID == m.config.Self.ID || m.collector.hasMembers() {
		if r.collect.runningKey() == "" {
			m.log.Log(event.CollectorStarted)
		}
		r.connect.stop()
		r.collect.start(ctx, "collect", m.collector.run)
		return
	}
	if r.collect.runningKey() != "" {
		m.log.Log(event.CollectorStopped, event.F("collector", target.ID))
		r.collect.stop()
	}
	r.connect.start(ctx, target.ID, func(ctx context.Context) { m.collectorClient.run(ctx, target) })
}

// assignedCollector returns the collector for this daemon, or Self if this daemon is one.
func (m *Manager) assignedCollector() Member {
	self := m.config.Self
	candidates := m.collectorsOf(self.Region, self.FailureDomain)
	ids := make([]string, 0, len(candidates))
	for _, c := range candidates {
		if c.ID == self.ID {
			return c
		}
		ids = append(ids, c.ID)
	}
	if len(ids) == 0 {
		return self
	}
	first := rank(ids, self.ID, 1)[0]
	for _, c := range candidates {
		if c.ID == first {
			return c
		}
	}
	return self
}

// collectorsOf returns the collectors of a failure domain from this daemon's point of view.
// It chooses silent or recently unresponsive daemons only if there are not enough others.
func (m *Manager) collectorsOf(region, domain string) []Member {
	v := m.current.Load()
	byID := map[string]Member{}
	var responsive, unresponsive []string
	for _, member := range v.allMembers {
		if member.Region != region || member.FailureDomain != domain || member.Leaving {
			continue
		}
		byID[member.ID] = member
		if v.silent[member.ID] || m.collectorClient.isSuspected(member.ID) {
			unresponsive = append(unresponsive, member.ID)
		} else {
			responsive = append(responsive, member.ID)
		}
	}
	n := m.config.CollectorsPerDomain
	key := collectorKey(region, domain)
	ids := rank(responsive, key, n)
	ids = append(ids, rank(unresponsive, key, n-len(ids))...)
	collectors := make([]Member, 0, len(ids))
	for _, id := range ids {
		collectors = append(collectors, byID[id])
	}
	return collectors
}

func collectorKey(region, domain string) string { return "collector/" + region + "/" + domain }

// ranksAsCollector reports whether member would be a collector if no daemon was silent or
// leaving.
func (m *Manager) ranksAsCollector(v *view, member Member) bool {
	var ids []string
	for _, other := range v.allMembers {
		if other.Region == member.Region && other.FailureDomain == member.FailureDomain {
			ids = append(ids, other.ID)
		}
	}
	key := collectorKey(member.Region, member.FailureDomain)
	return slices.Contains(rank(ids, key, m.config.CollectorsPerDomain), member.ID)
}

// allCollectors returns the collectors of all failure domains except Self.
func (m *Manager) allCollectors() []Member {
	type domainKey struct{ region, domain string }
	seen := map[domainKey]bool{}
	var all []Member
	for _, member := range m.current.Load().allMembers {
		key := domainKey{region: member.Region, domain: member.FailureDomain}
		if seen[key] {
			continue
		}
		seen[key] = true
		for _, c := range m.collectorsOf(key.region, key.domain) {
			if c.ID != m.config.Self.ID {
				all = append(all, c)
			}
		}
	}
	return all
}

func (m *Manager) listReceived() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.listKnown
}
