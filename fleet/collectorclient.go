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

// minMessageInterval is the minimum time between two messages on a stream, so that changes
// in quick succession share a message.
const minMessageInterval = 50 * time.Millisecond

// collectorClient is the member side of the Attend stream: it connects this daemon to its
// collector.
type collectorClient struct {
	manager *Manager

	mu        sync.Mutex
	collector Member               // connected collector; zero if none
	since     time.Time            // time of the last change of collector
	suspected map[string]time.Time // end of the suspicion of each unresponsive collector
}

func newCollectorClient(m *Manager) *collectorClient {
	return &collectorClient{manager: m, suspected: map[string]time.Time{}}
}

// connected reports whether a stream to a collector has delivered an update.
func (c *collectorClient) connected() bool { return c.connectedCollector().ID != "" }

func (c *collectorClient) connectedCollector() Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.collector
}

func (c *collectorClient) setCollector(collector Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.collector.ID != collector.ID {
		c.collector = collector
		c.since = time.Now()
	}
}

// disconnected reports whether there has been no connected collector for the member timeout.
func (c *collectorClient) disconnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.collector.ID == "" && time.Since(c.since) > c.manager.config.MemberTimeout
}

// isSuspected reports whether a collector was recently unresponsive.
func (c *collectorClient) isSuspected(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.suspected[id])
}

func (c *collectorClient) suspect(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspected[id] = time.Now().Add(suspectTimeoutFactor * jitter(c.manager.config.MemberTimeout))
}

// run keeps a stream to collector until ctx ends or the stream fails.
func (c *collectorClient) run(ctx context.Context, collector Member) {
	err := c.stream(ctx, collector)
	c.setCollector(Member{})
	if ctx.Err() != nil {
		return
	}
	c.manager.log.Log(event.CollectorLost, event.F("collector", collector.ID), event.Err(err))
	c.suspect(collector.ID)
	c.manager.wakeRun()
}

func (c *collectorClient) stream(ctx context.Context, collector Member) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := c.manager.conns.Conn(ctx, collector.PeerAddress)
	if err != nil {
		return err
	}
	stream, err := fleetpb.NewDRPCFleetClient(conn).Attend(ctx)
	if err != nil {
		return err
	}
	list, _ := c.manager.listSnapshot()
	reportsDone := make(chan struct{})
	go func() {
		defer close(reportsDone)
		defer cancel()
		c.sendReports(ctx, stream, list.Revision)
	}()
	err = c.receiveUpdates(stream, collector, list)
	cancel()
	<-reportsDone
	_ = stream.Close()
	return err
}

// receiveUpdates applies updates until the stream ends. List changes are relative to list,
// whose revision the first report contains.
func (c *collectorClient) receiveUpdates(stream fleetpb.DRPCFleet_AttendClient, collector Member, list objectapi.InstanceSnapshot) error {
	for {
		update, err := stream.Recv()
		if err != nil {
			return err
		}
		c.manager.counts.updatesReceived.Add(1)
		c.manager.recordContact()
		if update.List != nil {
			list = applyListChange(list, update.List)
			c.manager.applyList(list)
		}
		c.manager.applyDocuments(update.Documents, update.Whole, update.AsOf)
		c.manager.applyFlags(update.Flags)
		c.setCollector(collector)
	}
}

// sendReports sends a report in each report interval and when the documents or the roster
// change.
func (c *collectorClient) sendReports(ctx context.Context, stream fleetpb.DRPCFleet_AttendClient, listRevision int64) {
	m := c.manager
	for first := true; ctx.Err() == nil; first = false {
		documents, roster := m.Changed(), m.rosterChanged()
		report := m.newReport()
		if first {
			report.PeerAddress, report.ListRevision = m.config.Self.PeerAddress, listRevision
		}
		if stream.Send(report) != nil {
			return
		}
		m.counts.reportsSent.Add(1)
		wait(ctx, min(minMessageInterval, m.config.ReportInterval))
		waitAny(ctx, m.config.ReportInterval, documents, roster)
	}
}

func (m *Manager) newReport() *fleetpb.Report {
	m.mu.Lock()
	drained := m.roster.draining
	m.mu.Unlock()
	return &fleetpb.Report{Row: m.ownRow(), Drained: drained, Leaving: leavingMarksToWire(m.currentLeavingMarks(), m.config.Now())}
}

// ownRow returns the versions in force on this daemon.
func (m *Manager) ownRow() *fleetpb.Row {
	row := &fleetpb.Row{Member: m.config.Self.ID, Head: m.documents.head()}
	exceptions := m.documents.exceptions()
	for _, service := range slices.Sorted(maps.Keys(exceptions)) {
		row.Exceptions = append(row.Exceptions, &fleetpb.InForce{Service: service, Version: exceptions[service]})
	}
	return row
}

// applyDocuments applies documents received from another daemon.
func (m *Manager) applyDocuments(documents []*fleetpb.Document, completeSet *fleetpb.WholeSet, asOf int64) {
	revisions := documentsFromWire(documents)
	if completeSet != nil && completeSet.AsOf > 0 {
		m.documents.applyComplete(completeSet.Services, revisions, completeSet.AsOf, m.config.Now())
		return
	}
	m.documents.applyAll(revisions, asOf)
}

// applyFlags replaces the leaving and silent flags with those of the collector.
func (m *Manager) applyFlags(flags *fleetpb.Flags) {
	if flags == nil {
		return
	}
	leaving, silent := setOf(flags.Leaving), setOf(flags.Silent)
	delete(leaving, m.config.Self.ID)
	m.update(func(r *roster) bool {
		r.leavingFlags, r.silentFlags = leaving, silent
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
func waitAny(ctx context.Context, d time.Duration, first, second <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-first:
	case <-second:
	}
}
