package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// suspectFactor is for how many member timeouts a collector that did not answer is
// passed over.
const suspectFactor = 3

// task runs at most one goroutine at a time.
type task struct {
	mu     sync.Mutex
	key    string
	cancel context.CancelFunc
	done   chan struct{}
}

// start runs work under key. It does nothing if work of that key runs; work of
// another key is stopped first.
func (t *task) start(ctx context.Context, key string, work func(context.Context)) {
	if t.running() == key {
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
		work(ctx)
	}()
}

// running returns the key of the work that runs, or "".
func (t *task) running() string {
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

// stop ends the work and waits for it.
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

// roles are the tasks of a daemon. Either collect or attend runs.
type roles struct {
	collect task
	attend  task
	direct  task
	pull    task
}

func (r *roles) stop() {
	r.attend.stop()
	r.collect.stop()
	r.direct.stop()
	r.pull.stop()
}

// Run keeps the view current until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var r roles
	defer r.stop()
	r.direct.start(ctx, "direct", m.readDirect)
	r.pull.start(ctx, "pull", m.pullAll)
	ticker := time.NewTicker(m.config.ReportInterval)
	defer ticker.Stop()
	for {
		m.place(ctx, &r)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.expireMarks()
		case <-m.wake:
		}
	}
}

// place starts the tasks of the role that this daemon has now.
func (m *Manager) place(ctx context.Context, r *roles) {
	if !m.listKnown() {
		return
	}
	target := m.collectorToAttend()
	if target.ID == m.config.Self.ID || m.collector.attended() {
		if r.collect.running() == "" {
			m.log.Log(event.CollectorStarted)
		}
		r.attend.stop()
		r.collect.start(ctx, "collect", m.collector.run)
		return
	}
	if r.collect.running() != "" {
		m.log.Log(event.CollectorStopped, event.F("collector", target.ID))
		r.collect.stop()
	}
	r.attend.start(ctx, target.ID, func(ctx context.Context) { m.member.run(ctx, target) })
}

// collectorToAttend returns the collector that serves this daemon, Self if it is one.
func (m *Manager) collectorToAttend() Member {
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

// collectorsOf returns the daemons that collect for a failure domain, as this daemon
// sees it. Daemons that are silent or did not answer lately are passed over while
// there are others.
func (m *Manager) collectorsOf(region, domain string) []Member {
	v := m.current.Load()
	byID := map[string]Member{}
	var good, poor []string
	for _, member := range v.everyone {
		if member.Region != region || member.FailureDomain != domain || member.Leaving {
			continue
		}
		byID[member.ID] = member
		if v.silent[member.ID] || m.member.suspects(member.ID) {
			poor = append(poor, member.ID)
		} else {
			good = append(good, member.ID)
		}
	}
	n := m.config.CollectorsADomain
	key := collectorKey(region, domain)
	ids := rank(good, key, n)
	ids = append(ids, rank(poor, key, n-len(ids))...)
	collectors := make([]Member, 0, len(ids))
	for _, id := range ids {
		collectors = append(collectors, byID[id])
	}
	return collectors
}

func collectorKey(region, domain string) string { return "collector/" + region + "/" + domain }

// ranks reports whether a daemon would collect if none was silent.
func (m *Manager) ranks(v *view, member Member) bool {
	var ids []string
	for _, other := range v.everyone {
		if other.Region == member.Region && other.FailureDomain == member.FailureDomain {
			ids = append(ids, other.ID)
		}
	}
	key := collectorKey(member.Region, member.FailureDomain)
	return slices.Contains(rank(ids, key, m.config.CollectorsADomain), member.ID)
}

// allCollectors returns the collectors of every failure domain but Self.
func (m *Manager) allCollectors() []Member {
	type place struct{ region, domain string }
	seen := map[place]bool{}
	var all []Member
	for _, member := range m.current.Load().everyone {
		p := place{region: member.Region, domain: member.FailureDomain}
		if seen[p] {
			continue
		}
		seen[p] = true
		for _, c := range m.collectorsOf(p.region, p.domain) {
			if c.ID != m.config.Self.ID {
				all = append(all, c)
			}
		}
	}
	return all
}

func (m *Manager) listKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.known
}
