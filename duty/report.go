package duty

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// markTableStale causes the stored reports to be read again: another holder may have stored some since
// this daemon last held the lease.
func (m *Manager) markTableStale() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.fresh = false
}

// report makes one pass of the holder: it sends one report that is not accepted yet, and composes and
// stores those of the windows that ended. Sending comes first, so that a store that does not respond
// does not delay reports that are stored already. The lease is renewed only if there is something to
// do, so that a fleet at rest causes one renewal a window.
func (m *Manager) report(ctx context.Context) {
	m.sendNext(ctx)
	if !m.loadTable(ctx) {
		return
	}
	missing := windowsToCompose(m.Now(), m.cfg.Window, m.firstWindow(), m.table.reports)
	if len(missing) == 0 {
		return
	}
	m.lease.RenewInBackground(ctx)
	if _, held := m.lease.Holds(); (held || m.lease.IsWaiting()) && m.storing.due(m.clock()) {
		m.compose(ctx, missing)
		m.sendNext(ctx)
	}
}

// sendNext sends the most urgent report that waits, if there is one.
func (m *Manager) sendNext(ctx context.Context) {
	waiting := m.waitingReports()
	if len(waiting) == 0 {
		return
	}
	m.lease.RenewInBackground(ctx)
	if m.sending.due(m.clock()) {
		m.send(ctx, waiting[0])
	}
}

// untilNextPass returns the time until the holder's next pass: until the next report can be composed, at
// most maxHolderInterval, or holderInterval while something waits.
func (m *Manager) untilNextPass() time.Duration {
	now := m.Now()
	if !m.table.fresh || len(m.waitingReports()) > 0 || len(windowsToCompose(now, m.cfg.Window, m.firstWindow(), m.table.reports)) > 0 {
		return holderInterval
	}
	current := windowAt(now.Add(-composeDelay), m.cfg.Window)
	rest := windowEnd(current, m.cfg.Window).Add(composeDelay).Sub(now)
	if m.scaler != nil {
		rest = min(rest, m.scaler.decideAt-m.clock())
	}
	return min(max(rest, holderInterval), maxHolderInterval)
}

// loadTable reads the stored reports if this daemon's copy may be out of date. It reports whether the
// copy is the newest as far as this daemon knows.
func (m *Manager) loadTable(ctx context.Context) bool {
	if m.table.fresh {
		return true
	}
	if !m.storing.due(m.clock()) {
		return false
	}
	loaded := m.table // the lock is not held during the call
	err := loaded.load(ctx)
	m.storing.record(m.clock(), err != nil, 0)
	if err != nil {
		m.Log.Log(event.DutyReportNotStored, event.Err(err))
		return false
	}
	m.setTable(loaded)
	return true
}

func (m *Manager) setTable(t table) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table = t
	for _, r := range t.reports {
		if r.Accepted {
			m.last = max(m.last, r.Window)
		}
	}
	for window := range m.delays {
		if len(t.reports) > 0 && window < t.reports[0].Window {
			delete(m.delays, window)
		}
	}
}

// firstWindow returns the first window that gets a report: the fleet's first one, or the oldest that
// is stored. Older ones may have been stored and removed.
func (m *Manager) firstWindow() int64 {
	oldest := int64(0)
	if len(m.table.reports) > 0 {
		oldest = m.table.reports[0].Window
	}
	switch {
	case m.FleetStart != nil:
		return max(windowAt(m.FleetStart(), m.cfg.Window), oldest)
	case oldest > 0:
		return oldest
	}
	return windowAt(m.Now().Add(m.startedAt-m.clock()), m.cfg.Window)
}

// waitingReports returns the reports to send and logs those that are given up.
func (m *Manager) waitingReports() []storedReport {
	now := m.Now()
	for _, r := range m.table.reports {
		if !r.Accepted && r.Window > m.givenUp && now.Sub(windowEnd(r.Window, m.cfg.Window)) >= maxReportAge {
			m.givenUp = r.Window
			m.Log.Log(event.DutyReportGivenUp, event.F("window", r.Window))
		}
	}
	return reportsToSend(now, m.cfg.Window, m.cfg.Due, m.table.reports)
}

// compose stores the reports of windows that have none, in one write.
func (m *Manager) compose(ctx context.Context, windows []int64) {
	var added []storedReport
	failed := false
	for _, window := range windows {
		body, err := m.composeBody(ctx, window)
		if err != nil {
			m.Log.Log(event.DutyTotalMissing, event.F("window", window), event.Err(err))
			failed = true
			continue
		}
		added = append(added, storedReport{Window: window, Body: string(body)})
	}
	if len(added) > 0 {
		stored := m.table // the lock is not held during the call
		if err := stored.append(ctx, added); err != nil {
			m.Log.Log(event.DutyReportNotStored, event.F("window", added[0].Window), event.Err(err))
			failed = true
		}
		m.setTable(stored)
	}
	m.storing.record(m.clock(), failed, 0)
}

// incompleteMargin is the time before a report is due from which it is composed also if no other daemon
// responded with its counts: the roster does not remove a daemon that is down from a fleet of two or three.
// The attempts before are at most maxBackoff apart.
const incompleteMargin = 4 * time.Second

func (m *Manager) composeBody(ctx context.Context, window int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	counts, err := m.Total(ctx, window)
	isLast := m.Now().Sub(windowEnd(window, m.cfg.Window)) >= m.cfg.Due-incompleteMargin
	if err != nil && !(isLast && fault.Is(err, fault.Unavailable)) {
		return nil, err
	}
	return m.Client.EncodeUsage(window, counts)
}

// send sends one stored report if this daemon still holds the lease right before it.
func (m *Manager) send(ctx context.Context, r storedReport) {
	body := []byte(r.Body)
	token, held := m.lease.TokenForCall()
	if !held {
		return
	}
	reply, err := m.Client.ReportUsage(ctx, UsageReport{Window: r.Window, Body: body, Holder: m.cfg.Self, Token: token})
	m.sending.record(m.clock(), err != nil || reply != Accepted, m.callSpacing())
	delay := m.Now().Sub(windowEnd(r.Window, m.cfg.Window))
	m.recordReply(r.Window, reply, err, delay)
	if err != nil {
		m.Log.Log(event.DutyReportNoAnswer, event.F("window", r.Window), event.F("token", token), event.Err(err))
		return
	}
	m.Log.Log(event.DutyReportSent, event.F("window", r.Window), event.F("token", token), event.F("reply", string(reply)), event.F("delay_ms", delay.Milliseconds()))
	if reply == Fenced {
		m.lease.Invalidate()
	}
}

// callSpacing returns the time between two calls of the platform's API.
func (m *Manager) callSpacing() time.Duration {
	if m.cfg.CallsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / m.cfg.CallsPerSecond)
}

func (m *Manager) recordReply(window int64, reply Reply, err error, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Sent++
	switch {
	case err != nil:
		m.counts.Failed++
	case reply == Accepted:
		m.counts.Accepted++
		m.table.markAccepted(window)
		m.delays[window] = delay
		m.last = max(m.last, window)
	case reply == Fenced:
		m.counts.Refused++
	case reply == Throttled:
		m.counts.Throttled++
	}
}
