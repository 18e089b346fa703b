package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// messageGap is the least time between two messages on a stream, so that changes
// that come together travel together.
const messageGap = 50 * time.Millisecond

// attendance is the member side: one stream to the collector that serves this daemon.
type attendance struct {
	manager *Manager

	mu        sync.Mutex
	collector Member               // attached to; zero if none
	since     time.Time            // of the last change of collector
	suspected map[string]time.Time // collectors that did not answer, until when
}

func newAttendance(m *Manager) *attendance {
	return &attendance{manager: m, suspected: map[string]time.Time{}}
}

// attached reports whether updates arrive from a collector.
func (a *attendance) attached() bool { return a.attachedTo().ID != "" }

func (a *attendance) attachedTo() Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.collector
}

func (a *attendance) attach(collector Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.collector.ID != collector.ID {
		a.collector = collector
		a.since = time.Now()
	}
}

// lost reports whether no collector was attended for the member timeout.
func (a *attendance) lost() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.collector.ID == "" && time.Since(a.since) > a.manager.config.MemberTimeout
}

// suspects reports whether a collector did not answer lately.
func (a *attendance) suspects(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.suspected[id])
}

func (a *attendance) suspect(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspected[id] = time.Now().Add(suspectFactor * jitter(a.manager.config.MemberTimeout))
}

// run attends a collector until ctx ends or the collector is lost.
func (a *attendance) run(ctx context.Context, collector Member) {
	err := a.stream(ctx, collector)
	a.attach(Member{})
	if ctx.Err() != nil {
		return
	}
	a.manager.log.Log(event.CollectorLost, event.F("collector", collector.ID), event.Err(err))
	a.suspect(collector.ID)
	a.manager.placeAgain()
}

func (a *attendance) stream(ctx context.Context, collector Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := a.manager.conns.Conn(ctx, collector.PeerAddress)
	if err != nil {
		return err
	}
	stream, err := fleetpb.NewDRPCFleetClient(conn).Attend(ctx)
	if err != nil {
		return err
	}
	list, _ := a.manager.listSnapshot()
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		defer cancel()
		a.report(ctx, stream, list.Revision)
	}()
	err = a.receive(stream, collector, list)
	cancel()
	<-reported
	_ = stream.Close()
	return err
}

// receive applies updates until the stream ends. List changes start from list, which
// the first report named.
func (a *attendance) receive(stream fleetpb.DRPCFleet_AttendClient, collector Member, list objectapi.InstanceSnapshot) error {
	for {
		update, err := stream.Recv()
		if err != nil {
			return err
		}
		a.manager.counts.updatesReceived.Add(1)
		a.manager.touch()
		if update.List != nil {
			list = applyListChange(list, update.List)
			a.manager.offerList(list)
		}
		a.manager.applyDocuments(update.Documents, update.Whole, update.AsOf)
		a.manager.applyFlags(update.Flags)
		a.attach(collector)
	}
}

// report sends a report in each interval and when something changed.
func (a *attendance) report(ctx context.Context, stream fleetpb.DRPCFleet_AttendClient, listRevision int64) {
	m := a.manager
	for first := true; ctx.Err() == nil; first = false {
		documents, roster := m.Changed(), m.rosterChanged()
		report := m.makeReport()
		if first {
			report.PeerAddress, report.ListRevision = m.config.Self.PeerAddress, listRevision
		}
		if stream.Send(report) != nil {
			return
		}
		m.counts.reportsSent.Add(1)
		wait(ctx, min(messageGap, m.config.ReportInterval))
		waitAny(ctx, m.config.ReportInterval, documents, roster)
	}
}

func (m *Manager) makeReport() *fleetpb.Report {
	m.mu.Lock()
	drained := m.roster.drained
	m.mu.Unlock()
	return &fleetpb.Report{Row: m.ownRow(), Drained: drained, Leaving: marksToWire(m.marksNow(), m.config.Now())}
}

// ownRow returns what this daemon has in force.
func (m *Manager) ownRow() *fleetpb.Row {
	row := &fleetpb.Row{Member: m.config.Self.ID, Head: m.documents.head()}
	exceptions := m.documents.exceptions()
	for _, service := range slices.Sorted(maps.Keys(exceptions)) {
		row.Exceptions = append(row.Exceptions, &fleetpb.InForce{Service: service, Version: exceptions[service]})
	}
	return row
}

// applyDocuments applies what another daemon sent.
func (m *Manager) applyDocuments(documents []*fleetpb.Document, whole *fleetpb.WholeSet, asOf int64) {
	revisions := documentsFromWire(documents)
	if whole != nil && whole.AsOf > 0 {
		m.documents.offerWhole(whole.Services, revisions, whole.AsOf, m.config.Now())
		return
	}
	m.documents.offerAll(revisions, asOf)
}

// applyFlags takes over the collector's view of leaving and silent instances.
func (m *Manager) applyFlags(flags *fleetpb.Flags) {
	if flags == nil {
		return
	}
	pushed, silent := setOf(flags.Leaving), setOf(flags.Silent)
	delete(pushed, m.config.Self.ID)
	m.update(func(r *roster) bool {
		r.pushed, r.silent = pushed, silent
		return true
	})
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// waitAny returns after d, when ctx ends or when one of the channels is closed.
func waitAny(ctx context.Context, d time.Duration, a, b <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-a:
	case <-b:
	}
}
