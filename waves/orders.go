package waves

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/measure"
)

// sendOrders polls the orders in progress and sends new ones within the limit of concurrent
// loads. It does not wait for responses, so that an unresponsive replica delays no other.
func (m *Manager) sendOrders(ctx context.Context, items []workItem) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loading := map[string]int{}
	var next []workItem
	for _, w := range items {
		p := m.orders[w.replica.ID]
		switch {
		case p == nil && time.Now().Before(m.unresponsiveUntil[w.replica.ID]):
		case p == nil && w.lag() <= 1 && w.halfUpdated && time.Now().Before(m.deferredUntil[w.replica.ID]):
		case p == nil, p.version < w.version && time.Since(p.orderedAt) > orderTimeout:
			next = append(next, w)
		default:
			if p.isLoading() {
				loading[w.replica.Service]++
			}
			if time.Since(p.orderedAt) > minLoadTime && time.Since(p.polledAt) > pollInterval && !p.polling {
				p.polledAt, p.polling = time.Now(), true
				m.calls.Go(func() {
					if m.Log.Guard("poll of replica "+w.replica.ID, func() { m.pollOrder(ctx, w, p) }) {
						m.finishOrder(w.replica.ID)
					}
				})
			}
		}
	}
	for _, w := range next {
		if loading[w.replica.Service] >= w.maxLoads {
			continue
		}
		loading[w.replica.Service]++
		p := &orderProgress{model: w.model, version: w.version, orderedAt: time.Now()}
		m.orders[w.replica.ID] = p
		m.calls.Go(func() {
			sent := false
			m.Log.Guard("order to replica "+w.replica.ID, func() { sent = m.sendOrder(ctx, w, p) })
			if !sent {
				m.removeOrder(w.replica.ID)
			}
		})
	}
}

// pollOrder asks a replica for the state of its order.
func (m *Manager) pollOrder(ctx context.Context, w workItem, p *orderProgress) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := m.ReplicaClient.Report(ctx, w.replica)
	m.mu.Lock()
	p.polling, p.stillLoading = false, err == nil && report.Busy
	elapsed := time.Since(p.orderedAt)
	m.mu.Unlock()
	if err != nil {
		if elapsed > orderTimeout {
			m.finishOrder(w.replica.ID)
		}
		return
	}
	m.recordVersions(w.replica, report)
	if report.Versions[p.model] >= p.version {
		m.Measures.Observe(measure.WeightLoad, elapsed, p.model)
		m.Log.Log(event.WaveVersionLoaded, event.F("replica", w.replica.ID), event.F("model", p.model), event.F("version", p.version),
			event.F("ms", elapsed.Milliseconds()))
	}
	if report.Versions[p.model] >= p.version || !report.Busy && elapsed > orderTimeout {
		m.finishOrder(w.replica.ID)
	}
}

// recordVersions stores the versions that a replica reports in the tracker.
func (m *Manager) recordVersions(replica catalog.Replica, report Report) {
	for model, version := range report.Versions {
		m.Tracker.SetVersion(replica.ID, model, version)
	}
}

// finishOrder removes an order that is complete or timed out, and allows new requests at
// the replica again.
func (m *Manager) finishOrder(id string) {
	m.mu.Lock()
	delete(m.orders, id)
	m.mu.Unlock()
	m.Tracker.Hold(id, 0)
	m.triggerReconcile()
}

// removeOrder removes an order that was not sent; the next pass considers the replica again.
func (m *Manager) removeOrder(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.orders, id)
}

// markUnresponsive delays the next order to a replica that did not respond.
func (m *Manager) markUnresponsive(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unresponsiveUntil[id] = time.Now().Add(unresponsiveRetryDelay)
}

// deferLoad delays the load of a busy replica.
func (m *Manager) deferLoad(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deferredUntil[id] = time.Now().Add(busyRetryDelay)
}

// triggerReconcile makes Run start the next pass at once.
func (m *Manager) triggerReconcile() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// sendOrder sends one order if the replica is not busy and this daemon still holds the lease
// right before it. It reports whether the replica may carry out the order.
func (m *Manager) sendOrder(ctx context.Context, w workItem, p *orderProgress) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	report, err := m.ReplicaClient.Report(ctx, w.replica)
	if err != nil {
		m.logOrder(w, 0, "", err)
		m.markUnresponsive(w.replica.ID)
		return false
	}
	m.recordVersions(w.replica, report)
	if report.Busy || report.Versions[w.model] >= w.version {
		return false
	}
	if canDeferLoad(w.version-report.Versions[w.model], w.halfUpdated, report.Running, max(w.replica.Slots, 1)) {
		m.deferLoad(w.replica.ID)
		return false
	}
	token, held := m.lease.TokenForCall()
	if !held {
		return false
	}
	m.mu.Lock()
	p.orderedAt = time.Now()
	m.mu.Unlock()
	reply, err := m.ReplicaClient.Order(ctx, w.replica, Order{
		Model: w.model, Version: w.version, Strategy: m.strategy(w.replica.Service),
		Holder: m.cfg.Self, Token: token, Expected: report.Orders,
	})
	m.logOrder(w, token, reply, err)
	switch {
	case err != nil: // the replica may have accepted it, or may still accept it
		return true
	case reply == Accepted:
		m.Tracker.Hold(w.replica.ID, minLoadTime)
		return true
	case reply == AlreadyLoaded:
		m.Tracker.SetVersion(w.replica.ID, w.model, w.version)
	case reply == Fenced:
		m.lease.Invalidate()
	}
	return false
}

func (m *Manager) logOrder(w workItem, token int64, reply Reply, err error) {
	if err != nil {
		m.Log.Log(event.WaveOrderResponseMissing, event.F("replica", w.replica.ID), event.F("model", w.model),
			event.F("version", w.version), event.F("token", token), event.Err(err))
		return
	}
	m.Log.Log(event.WaveOrderSent, event.F("replica", w.replica.ID), event.F("model", w.model),
		event.F("version", w.version), event.F("token", token), event.F("reply", string(reply)))
}

// strategy lets running requests continue under the new version, unless a route to the service
// requires completions of a single version.
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
