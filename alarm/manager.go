package alarm

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
)

const (
	maxEvidence        = 8           // evidence entries per alarm
	clearCheckInterval = time.Second // between two checks for alarms to clear
)

// Config configures a Manager.
type Config struct {
	ClearAfter time.Duration    // time without a violation after which an alarm is cleared
	Now        func() time.Time // clock; nil means time.Now
}

// Counters holds counts since the start of the Manager.
type Counters struct {
	Kept    map[Promise]int64 `json:"kept"`
	Broken  map[Promise]int64 `json:"broken"`
	Raised  int64             `json:"raised"`
	Cleared int64             `json:"cleared"`
}

// Manager implements Recorder and holds the raised alarms, one per promise and service.
type Manager struct {
	config Config
	log    *event.Logger

	mu       sync.Mutex
	raised   map[alarmKey]*raisedAlarm
	counters Counters
}

type alarmKey struct {
	promise Promise
	service string
}

type raisedAlarm struct {
	alarm      Alarm
	lastBroken time.Time
}

// NewManager returns a Manager without raised alarms.
func NewManager(config Config, log *event.Logger) *Manager {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Manager{
		config:   config,
		log:      log,
		raised:   map[alarmKey]*raisedAlarm{},
		counters: Counters{Kept: map[Promise]int64{}, Broken: map[Promise]int64{}},
	}
}

// Kept implements Recorder.
func (m *Manager) Kept(p Promise, service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.Kept[p]++
	m.clearInactive()
}

// Broken implements Recorder.
func (m *Manager) Broken(p Promise, e Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	if e.At.IsZero() {
		e.At = now
	}
	m.clearInactive()
	m.counters.Broken[p]++
	key := alarmKey{p, e.Service}
	entry := m.raised[key]
	if entry == nil {
		entry = &raisedAlarm{alarm: Alarm{Promise: p, Service: e.Service, Since: now, Remedy: RemedyFor(p)}}
		m.raised[key] = entry
		m.counters.Raised++
		m.log.Log(event.AlarmRaised, event.F("promise", p), event.F("service", e.Service),
			event.F("subject", e.Subject), event.F("evidence", e.Detail), event.F("remedy", entry.alarm.Remedy))
	}
	entry.lastBroken = now
	entry.alarm.Count++
	entry.alarm.Evidence = appendBounded(entry.alarm.Evidence, e)
}

func appendBounded(list []Evidence, e Evidence) []Evidence {
	list = append(list, e)
	if len(list) > maxEvidence {
		list = append([]Evidence(nil), list[len(list)-maxEvidence:]...)
	}
	return list
}

// clearInactive clears the alarms without a violation within ClearAfter. The caller holds mu.
func (m *Manager) clearInactive() {
	now := m.config.Now()
	for key, entry := range m.raised {
		if now.Sub(entry.lastBroken) < m.config.ClearAfter {
			continue
		}
		delete(m.raised, key)
		m.counters.Cleared++
		m.log.Log(event.AlarmCleared, event.F("promise", key.promise), event.F("service", key.service),
			event.F("count", entry.alarm.Count))
	}
}

// Run clears inactive alarms periodically until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(clearCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.mu.Lock()
			m.clearInactive()
			m.mu.Unlock()
		}
	}
}

// Raised returns copies of the raised alarms, sorted by promise and service.
func (m *Manager) Raised() []Alarm {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.clearInactive()
	alarms := make([]Alarm, 0, len(m.raised))
	for _, entry := range m.raised {
		copied := entry.alarm
		copied.Evidence = append([]Evidence(nil), copied.Evidence...)
		alarms = append(alarms, copied)
	}
	sort.Slice(alarms, func(i, j int) bool {
		if alarms[i].Promise != alarms[j].Promise {
			return alarms[i].Promise < alarms[j].Promise
		}
		return alarms[i].Service < alarms[j].Service
	})
	return alarms
}

// Counters returns a copy of the counters.
func (m *Manager) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Counters{
		Kept:    copyCounts(m.counters.Kept),
		Broken:  copyCounts(m.counters.Broken),
		Raised:  m.counters.Raised,
		Cleared: m.counters.Cleared,
	}
}

func copyCounts(counts map[Promise]int64) map[Promise]int64 {
	copied := make(map[Promise]int64, len(counts))
	for p, n := range counts {
		copied[p] = n
	}
	return copied
}

// State is the state dump of a Manager.
type State struct {
	Raised   []Alarm  `json:"raised"`
	Counters Counters `json:"counters"`
}

// Dump returns the state of the Manager.
func (m *Manager) Dump() any {
	return State{Raised: m.Raised(), Counters: m.Counters()}
}
