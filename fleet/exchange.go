package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// minExchangeInterval is the minimum time between two exchanges with the same collector.
const minExchangeInterval = 200 * time.Millisecond

// peerSummary is the state received from another collector.
type peerSummary struct {
	receivedAt time.Time
	epoch      int64
	sequence   int64
	rows       []*fleetpb.Row

	seenEpoch    int64 // epoch and sequence of the local rows that the peer has
	seenSequence int64
}

// isLive reports whether the last summary of a peer is within the member timeout.
func (c *collector) isLive(p *peerSummary) bool {
	return time.Since(p.receivedAt) < c.manager.config.MemberTimeout
}

// exchangeAll runs one goroutine for each other collector until ctx ends.
func (c *collector) exchangeAll(ctx context.Context) {
	exchanges := map[string]*task{}
	for ctx.Err() == nil {
		current := map[string]bool{}
		for _, other := range c.manager.allCollectors() {
			current[other.ID] = true
			if exchanges[other.ID] == nil {
				exchanges[other.ID] = &task{}
			}
			exchanges[other.ID].start(ctx, other.PeerAddress, func(ctx context.Context) { c.exchangePeriodically(ctx, other) })
		}
		for id, exchange := range exchanges {
			if !current[id] {
				exchange.stop()
				delete(exchanges, id)
			}
		}
		waitAny(ctx, c.manager.config.ReportInterval, c.manager.rosterChanged(), nil)
	}
	for _, exchange := range exchanges {
		exchange.stop()
	}
}

// exchangePeriodically exchanges summaries with one collector in each report interval and
// when the roster changes.
func (c *collector) exchangePeriodically(ctx context.Context, other Member) {
	for ctx.Err() == nil {
		changed := c.manager.rosterChanged()
		c.exchange(ctx, other)
		wait(ctx, min(minExchangeInterval, c.manager.config.ReportInterval))
		waitAny(ctx, c.manager.config.ReportInterval, changed, nil)
	}
}

func (c *collector) exchange(ctx context.Context, other Member) {
	m := c.manager
	ctx, cancel := context.WithTimeout(ctx, m.config.MemberTimeout)
	defer cancel()
	conn, err := m.conns.Conn(ctx, other.PeerAddress)
	if err != nil {
		return
	}
	response, err := fleetpb.NewDRPCFleetClient(conn).Exchange(ctx, c.summary(other.ID))
	if err != nil {
		return
	}
	m.counts.exchanges.Add(1)
	c.handleSummary(response)
}

// Exchange processes another collector's summary and returns this collector's summary.
func (s *rpcServer) Exchange(_ context.Context, summary *fleetpb.Summary) (*fleetpb.Summary, error) {
	c := s.manager.collector
	c.handleSummary(summary)
	return c.summary(summary.Collector), nil
}

// summary returns the summary to send to another collector. It contains the rows only if the
// receiver does not have their current version.
func (c *collector) summary(to string) *fleetpb.Summary {
	m := c.manager
	own := m.ownRow()
	age := int64(-1)
	if listAge := c.listAge(); listAge < time.Hour {
		age = listAge.Milliseconds()
	}
	list, _ := m.listSnapshot()
	summary := &fleetpb.Summary{
		Collector: m.config.Self.ID, PeerAddress: m.config.Self.PeerAddress, Epoch: c.epoch, Newest: m.documents.highestVersion(),
		ListRevision: list.Revision, ListAgeMs: age,
		Leaving: leavingMarksToWire(m.currentLeavingMarks(), m.config.Now()),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !proto.Equal(own, c.ownRow) {
		c.ownRow = own
		c.sequence++
	}
	summary.Sequence = c.sequence
	p := c.peers[to]
	if p != nil {
		summary.SeenEpoch, summary.SeenSequence = p.epoch, p.sequence
	}
	if p == nil || p.seenEpoch != c.epoch || p.seenSequence != c.sequence {
		summary.HasRows = true
		summary.Rows = c.ownRows()
	}
	return summary
}

// ownRows returns the rows of this daemon and its members. The caller holds the lock.
func (c *collector) ownRows() []*fleetpb.Row {
	rows := []*fleetpb.Row{c.ownRow}
	for _, member := range c.members {
		rows = append(rows, member.row)
	}
	return rows
}

// handleSummary processes another collector's summary and requests a fetch if that collector
// has newer data.
func (c *collector) handleSummary(summary *fleetpb.Summary) {
	m := c.manager
	m.recordContact()
	if marks := leavingMarksFromWire(summary.Leaving, m.config.Now()); len(marks) > 0 {
		m.mergeLeavingMarks(marks)
	}
	list, _ := m.listSnapshot()
	if summary.ListAgeMs >= 0 && summary.ListRevision <= list.Revision {
		c.recordListRead(time.Now().Add(-time.Duration(summary.ListAgeMs) * time.Millisecond))
	}
	c.storeSummary(summary)
	if summary.Newest > m.documents.highestVersion() || summary.ListRevision > list.Revision {
		m.requestFetch(summary.PeerAddress)
	}
}

func (c *collector) storeSummary(summary *fleetpb.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[summary.Collector]
	if p == nil {
		p = &peerSummary{}
		c.peers[summary.Collector] = p
	}
	p.receivedAt = time.Now()
	p.seenEpoch, p.seenSequence = summary.SeenEpoch, summary.SeenSequence
	if summary.HasRows {
		p.epoch, p.sequence, p.rows = summary.Epoch, summary.Sequence, summary.Rows
	}
}
