package waves

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/measure"
)

// giveOrders follows the orders in progress and gives new ones while there is room.
func (m *Manager) giveOrders(ctx context.Context, todo []work) {
	loading := map[string]int{}
	var group sync.WaitGroup
	defer group.Wait()
	var next []work
	for _, w := range todo {
		m.mu.Lock()
		p := m.orders[w.replica.ID]
		waits := w.lag() <= 1 && w.halfHasIt && time.Now().Before(m.waiting[w.replica.ID])
		m.mu.Unlock()
		if waits && p == nil {
			continue
		}
		if p == nil || p.version < w.version && time.Since(p.given) > orderPatience {
			next = append(next, w)
			continue
		}
		loading[w.replica.Service]++
		if time.Since(p.given) > loadTime && time.Since(p.asked) > askInterval {
			p.asked = time.Now()
			group.Go(func() { m.follow(ctx, w, p) })
		}
	}
	for _, w := range next {
		if loading[w.replica.Service] >= w.limit {
			continue
		}
		loading[w.replica.Service]++
		group.Go(func() { m.order(ctx, w) })
	}
}

// follow asks a replica how far its order is.
func (m *Manager) follow(ctx context.Context, w work, p *progress) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	report, err := m.Engines.Report(ctx, w.replica)
	if err != nil {
		m.forgetAfter(w, p)
		return
	}
	m.seen(w.replica, report)
	if report.Versions[p.model] >= p.version {
		m.Measures.Observe(measure.WeightLoad, time.Since(p.given), p.model)
		m.Log.Log(event.WaveLoaded, event.F("replica", w.replica.ID), event.F("model", p.model), event.F("version", p.version),
			event.F("ms", time.Since(p.given).Milliseconds()))
	}
	if report.Versions[p.model] >= p.version || !report.Busy && time.Since(p.given) > orderPatience {
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

func (m *Manager) forgetAfter(w work, p *progress) {
	if time.Since(p.given) > orderPatience {
		m.forget(w.replica.ID)
	}
}

// order gives one order, if the replica is free and the lease holds right before it.
func (m *Manager) order(ctx context.Context, w work) {
	ctx, cancel := context.WithTimeout(ctx, 2*orderLimit)
	defer cancel()
	report, err := m.Engines.Report(ctx, w.replica)
	if err != nil {
		m.log(w, 0, "", err)
		return
	}
	m.seen(w.replica, report)
	if report.Busy || report.Versions[w.model] >= w.version {
		return
	}
	if mayWait(w.version-report.Versions[w.model], w.halfHasIt, report.Running, max(w.replica.Slots, 1)) {
		m.putOff(w.replica.ID)
		return
	}
	token, held := m.lease.use()
	if !held {
		return
	}
	m.mu.Lock()
	m.orders[w.replica.ID] = &progress{model: w.model, version: w.version, given: time.Now()}
	m.mu.Unlock()
	reply, err := m.Engines.Order(ctx, w.replica, Order{
		Model: w.model, Version: w.version, Strategy: m.strategy(w.replica.Service),
		Holder: m.config.Self, Token: token, Expected: report.Orders,
	})
	m.log(w, token, reply, err)
	switch {
	case err != nil: // it may have been accepted, or may be later
	case reply == Accepted:
		m.Tracker.Hold(w.replica.ID, loadTime)
	case reply == Holds:
		m.Tracker.SetVersion(w.replica.ID, w.model, w.version)
		m.forget(w.replica.ID)
	case reply == Fenced:
		m.lease.lost()
		m.forget(w.replica.ID)
	default:
		m.forget(w.replica.ID)
	}
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
