package waves

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/measure"
)

// giveOrders follows the orders in progress and gives new ones while there is room. It does
// not wait for answers: a replica that is silent holds up no other one.
func (m *Manager) giveOrders(ctx context.Context, todo []work) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loading := map[string]int{}
	var next []work
	for _, w := range todo {
		p := m.orders[w.replica.ID]
		switch {
		case p == nil && time.Now().Before(m.silent[w.replica.ID]):
		case p == nil && w.lag() <= 1 && w.halfHasIt && time.Now().Before(m.waiting[w.replica.ID]):
		case p == nil, p.version < w.version && time.Since(p.given) > orderPatience:
			next = append(next, w)
		default:
			if p.loads() {
				loading[w.replica.Service]++
			}
			if time.Since(p.given) > loadTime && time.Since(p.asked) > askInterval && !p.asking {
				p.asked, p.asking = time.Now(), true
				m.calls.Go(func() { m.follow(ctx, w, p) })
			}
		}
	}
	for _, w := range next {
		if loading[w.replica.Service] >= w.limit {
			continue
		}
		loading[w.replica.Service]++
		p := &progress{model: w.model, version: w.version, given: time.Now()}
		m.orders[w.replica.ID] = p
		m.calls.Go(func() {
			if !m.order(ctx, w, p) {
				m.drop(w.replica.ID)
			}
		})
	}
}

// follow asks a replica how far its order is.
func (m *Manager) follow(ctx context.Context, w work, p *progress) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	report, err := m.Engines.Report(ctx, w.replica)
	m.mu.Lock()
	p.asking, p.slow = false, err == nil && report.Busy
	since := time.Since(p.given)
	m.mu.Unlock()
	if err != nil {
		if since > orderPatience {
			m.forget(w.replica.ID)
		}
		return
	}
	m.seen(w.replica, report)
	if report.Versions[p.model] >= p.version {
		m.Measures.Observe(measure.WeightLoad, since, p.model)
		m.Log.Log(event.WaveLoaded, event.F("replica", w.replica.ID), event.F("model", p.model), event.F("version", p.version),
			event.F("ms", since.Milliseconds()))
	}
	if report.Versions[p.model] >= p.version || !report.Busy && since > orderPatience {
		m.forget(w.replica.ID)
	}
}

// seen records the versions that a replica reports.
func (m *Manager) seen(replica catalog.Replica, report Report) {
	for model, version := range report.Versions {
		m.Tracker.SetVersion(replica.ID, model, version)
	}
}

func (m *Manager) forget(id string) {
	m.mu.Lock()
	delete(m.orders, id)
	m.mu.Unlock()
	m.Tracker.Hold(id, 0)
	m.wakeUp()
}

// drop takes an order out that was not given; the next round looks at the replica again.
func (m *Manager) drop(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.orders, id)
}

// avoid leaves a silent replica alone for a time.
func (m *Manager) avoid(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silent[id] = time.Now().Add(silentPause)
}

// putOff leaves a busy replica alone for a time.
func (m *Manager) putOff(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting[id] = time.Now().Add(busyPause)
}

// wakeUp has the replicas looked at.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// order gives one order, if the replica is free and the lease holds right before it. It
// reports whether the order may be carried out.
func (m *Manager) order(ctx context.Context, w work, p *progress) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*orderLimit)
	defer cancel()
	report, err := m.Engines.Report(ctx, w.replica)
	if err != nil {
		m.log(w, 0, "", err)
		m.avoid(w.replica.ID)
		return false
	}
	m.seen(w.replica, report)
	if report.Busy || report.Versions[w.model] >= w.version {
		return false
	}
	if mayWait(w.version-report.Versions[w.model], w.halfHasIt, report.Running, max(w.replica.Slots, 1)) {
		m.putOff(w.replica.ID)
		return false
	}
	token, held := m.lease.use()
	if !held {
		return false
	}
	m.mu.Lock()
	p.given = time.Now()
	m.mu.Unlock()
	reply, err := m.Engines.Order(ctx, w.replica, Order{
		Model: w.model, Version: w.version, Strategy: m.strategy(w.replica.Service),
		Holder: m.config.Self, Token: token, Expected: report.Orders,
	})
	m.log(w, token, reply, err)
	switch {
	case err != nil: // it may have been accepted, or may be later
		return true
	case reply == Accepted:
		m.Tracker.Hold(w.replica.ID, loadTime)
		return true
	case reply == Holds:
		m.Tracker.SetVersion(w.replica.ID, w.model, w.version)
	case reply == Fenced:
		m.lease.lost()
	}
	return false
}

func (m *Manager) log(w work, token int64, reply Reply, err error) {
	if err != nil {
		m.Log.Log(event.WaveOrderUnanswered, event.F("replica", w.replica.ID), event.F("model", w.model),
			event.F("version", w.version), event.F("token", token), event.Err(err))
		return
	}
	m.Log.Log(event.WaveOrder, event.F("replica", w.replica.ID), event.F("model", w.model),
		event.F("version", w.version), event.F("token", token), event.F("reply", string(reply)))
}

// strategy lets texts go on under the new version, unless a route of the service wants
// texts of one version.
func (m *Manager) strategy(service string) Strategy {
	if c := m.Configuration(); c != nil {
		for _, route := range c.Routes {
			for _, share := range route.Split {
				if route.SingleVersion && share.Service == service {
					return Wait
				}
			}
		}
	}
	return Retain
}
