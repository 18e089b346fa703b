package usage

import (
	"context"
	"fmt"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/usage/usagepb"
)

const (
	// candidateCount is the number of daemons of the duty order whose tables Total adds.
	candidateCount = 3
	// sendDelay collects the counts of a moment into one message. In large fleets it is
	// sendDelayPerDaemon for each daemon, so that each of the two receivers gets at most 200 messages of
	// some 110 bytes a second.
	sendDelay          = 300 * time.Millisecond
	sendDelayPerDaemon = 5 * time.Millisecond
	// checkInterval is the time between two checks whether the receivers changed or respond again. They
	// send nothing if both have all counts, and end once there are no recent counts.
	checkInterval = 2 * time.Second
	// readTimeout bounds the time that Total waits for the tables of other daemons.
	readTimeout = 500 * time.Millisecond
	// catchUpInterval is the time between two attempts to read the tables of other daemons after the
	// start, maxCatchUps their number.
	catchUpInterval = 500 * time.Millisecond
	maxCatchUps     = 20
)

// delayFor returns the time for which changes are collected into one message in a fleet of n daemons. It
// answers a fleet in which every daemon gets requests all the time and sends its counts to the same two.
func delayFor(n int) time.Duration { return max(sendDelay, time.Duration(n)*sendDelayPerDaemon) }

// Dependencies are the dependencies of a Manager.
type Dependencies struct {
	Self        string                   // ID of this daemon
	Incarnation int64                    // of this daemon; differs after each restart
	Members     func() map[string]string // drpc addresses of all daemons by ID, including this one
	Conns       peer.ConnProvider
	Clock       *Clock
	Recorder    *Recorder
	Log         *event.Logger
}

// calls are the calls to other daemons.
type calls interface {
	update(ctx context.Context, address string, request *usagepb.UpdateRequest) (*usagepb.UpdateAnswer, error)
	read(ctx context.Context, address string, request *usagepb.ReadRequest) (*usagepb.ReadAnswer, error)
}

// Manager sends this daemon's counts to other daemons, keeps those that it receives, and adds them.
type Manager struct {
	Dependencies

	remote    calls
	receivers receivers

	mu       sync.Mutex
	received *table
}

// NewManager returns a Manager. It sends nothing before Run.
func NewManager(deps Dependencies) *Manager {
	return &Manager{
		Dependencies: deps, remote: drpcCalls{deps.Conns}, received: newTable(),
		receivers: receivers{byID: map[string]*receiver{}, recheck: make(chan struct{}, 1)},
	}
}

// Register adds the drpc service for other daemons.
func (m *Manager) Register(mux drpc.Mux) error {
	return usagepb.DRPCRegisterUsage(mux, service{m})
}

// Run samples the clocks of peers and sends counts until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { m.Clock.run(ctx) })
	group.Go(func() { m.catchUp(ctx) })
	group.Go(func() { m.sendChanges(ctx) })
	group.Wait()
	return nil
}

// catchUp reads the tables of the first daemons of the duty order after the start if this daemon is
// one of them. Otherwise the counts of daemons that have nothing new to send would be lost once the
// receivers of a count have been restarted one after the other.
func (m *Manager) catchUp(ctx context.Context) {
	done := map[string]bool{}
	for range maxCatchUps {
		candidates := m.otherCandidates()
		pending := false
		for id, address := range candidates {
			if done[id] {
				continue
			}
			resp, err := m.read(ctx, address, &usagepb.ReadRequest{AllWindows: true})
			if done[id] = err == nil && m.merge(resp.Table); !done[id] {
				pending = true
			}
		}
		if len(candidates) > 0 && !pending || ctx.Err() != nil {
			return
		}
		clock.Sleep(ctx, catchUpInterval)
	}
}

// otherCandidates returns the addresses by ID of the other first daemons of the duty order if this
// daemon is one of them.
func (m *Manager) otherCandidates() map[string]string {
	candidates := m.candidates()
	if _, included := candidates[m.Self]; !included {
		return nil
	}
	delete(candidates, m.Self)
	return candidates
}

// candidates returns the addresses by ID of the first daemons of the duty order.
func (m *Manager) candidates() map[string]string {
	order, members := m.order()
	first := map[string]string{}
	for _, id := range order[:min(len(order), candidateCount)] {
		first[id] = members[id]
	}
	return first
}

func (m *Manager) order() ([]string, map[string]string) {
	members := m.Members()
	ids := make([]string, 0, len(members))
	for id := range members {
		ids = append(ids, id)
	}
	return DutyOrder(ids), members
}

func (m *Manager) read(ctx context.Context, address string, request *usagepb.ReadRequest) (*usagepb.ReadAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return m.remote.read(ctx, address, request)
}

// merge merges the counts of another daemon. It reports whether all of them were taken: the window of a
// count may not be kept, for example while this daemon or the other one has just started and its wall
// clock is wrong.
func (m *Manager) merge(received *usagepb.Table) bool {
	current := WindowIndex(m.Clock.Now(), m.Recorder.window)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received.prune(current)
	complete, full := true, false
	decodeTable(received, func(window int64, counter counterID, organisation string, count int64) {
		switch {
		case counter == m.counterID():
			// The recorder has the newer number.
		case !isKept(window, current):
			complete = false
		case !m.received.merge(window, counter, organisation, count):
			full = true
		}
	})
	if full {
		m.Log.Log(event.UsageTableFull, event.F("entries", m.received.entries))
	}
	return complete
}

func (m *Manager) counterID() counterID { return counterID{daemon: m.Self, incarnation: m.Incarnation} }

// encode returns the counts of one window that this daemon has, its own ones included.
func (m *Manager) encode(window int64, into *tableEncoder) {
	into.add(window, m.counterID(), m.Recorder.of(window))
	m.mu.Lock()
	defer m.mu.Unlock()
	for counter, counts := range m.received.windows[window] {
		into.add(window, counter, counts)
	}
}

// encodeRecent returns the counts of the recent windows that this daemon has.
func (m *Manager) encodeRecent() *usagepb.Table {
	now := m.Clock.Now()
	current := WindowIndex(now, m.Recorder.window)
	var encoder tableEncoder
	for window := current - windowsKept + 1; window <= current+1; window++ {
		if isRecent(window, now, m.Recorder.window) {
			m.encode(window, &encoder)
		}
	}
	return encoder.table()
}

// Total returns the counts of all daemons for a window by organisation: it adds the tables of the first
// daemons of the duty order and of this one. Daemons that do not respond in time are left out; their
// counts are in the tables of others. If other daemons were asked and none responded, it returns the
// counts that this daemon has and an error of kind fault.Unavailable; ask again while the report is not
// due. For a window whose counts are not kept it returns an error of kind fault.Invalid.
func (m *Manager) Total(ctx context.Context, window int64) (map[string]int64, error) {
	if current := WindowIndex(m.Clock.Now(), m.Recorder.window); !isKept(window, current) {
		return nil, fault.New(fault.Invalid, fmt.Sprintf("the counts of window %d are not kept in window %d", window, current), "ask for a recent window")
	}
	candidates := m.candidates()
	delete(candidates, m.Self)
	tables := make(chan *usagepb.Table, len(candidates))
	for id, address := range candidates {
		go func() {
			var table *usagepb.Table // nil if the daemon did not respond
			m.Log.Guard("usage of daemon "+id, func() {
				resp, err := m.read(ctx, address, &usagepb.ReadRequest{Window: window})
				if err != nil {
					m.Log.Log(event.UsageReadFailed, event.F("member", id), event.F("window", window), event.Err(err))
					return
				}
				table = resp.Table
			})
			tables <- table
		}()
	}
	sum, responded := windowCounts{}, 0
	for range candidates {
		if received := <-tables; received != nil {
			responded++
			sum.mergeTable(window, received)
		}
	}
	var own tableEncoder
	m.encode(window, &own)
	sum.mergeTable(window, own.table())
	if len(candidates) > 0 && responded == 0 {
		m.Log.Log(event.UsageTotalIncomplete, event.F("window", window))
		return sum.totals(), fault.New(fault.Unavailable, fmt.Sprintf("no other daemon responded with its counts of window %d", window), "ask again later")
	}
	return sum.totals(), nil
}

// State is the state of a Manager for dumps.
type State struct {
	OffsetMs     int64         `json:"offset_ms"`    // true time minus the local wall clock
	Samples      int           `json:"samples"`      // peers whose wall clocks are taken into account
	Received     int           `json:"received"`     // counts of other daemons
	Unresponsive int           `json:"unresponsive"` // receivers that are passed over
	Windows      []WindowState `json:"windows"`      // this daemon's counts
}

// State returns the state.
func (m *Manager) State() State {
	m.mu.Lock()
	received := m.received.entries
	m.mu.Unlock()
	return State{
		OffsetMs: m.Clock.Offset().Milliseconds(), Samples: m.Clock.Samples(), Received: received,
		Unresponsive: m.receivers.failed(m.Clock.boot()), Windows: m.Recorder.Windows(),
	}
}
