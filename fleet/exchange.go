package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// exchangeGap is the least time between two exchanges with one collector.
const exchangeGap = 200 * time.Millisecond

// peerSummary is what another collector told last.
type peerSummary struct {
	heard    time.Time
	epoch    int64
	sequence int64
	rows     []*fleetpb.Row

	seenEpoch    int64 // of the own rows that the peer holds
	seenSequence int64
}

// fresh reports whether a collector was heard within the member timeout.
func (c *collector) fresh(p *peerSummary) bool {
	return time.Since(p.heard) < c.manager.config.MemberTimeout
}

// exchangeAll keeps one goroutine for each other collector until ctx ends.
func (c *collector) exchangeAll(ctx context.Context) {
	links := map[string]*task{}
	for ctx.Err() == nil {
		current := map[string]bool{}
		for _, other := range c.manager.allCollectors() {
			current[other.ID] = true
			if links[other.ID] == nil {
				links[other.ID] = &task{}
			}
			links[other.ID].start(ctx, other.PeerAddress, func(ctx context.Context) { c.link(ctx, other) })
		}
		for id, link := range links {
			if !current[id] {
				link.stop()
				delete(links, id)
			}
		}
		waitAny(ctx, c.manager.config.ReportInterval, c.manager.rosterChanged(), nil)
	}
	for _, link := range links {
		link.stop()
	}
}

// link exchanges summaries with one collector in each report interval and when the
// roster changed.
func (c *collector) link(ctx context.Context, other Member) {
	for ctx.Err() == nil {
		changed := c.manager.rosterChanged()
		c.exchange(ctx, other)
		wait(ctx, min(exchangeGap, c.manager.config.ReportInterval))
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
	answer, err := fleetpb.NewDRPCFleetClient(conn).Exchange(ctx, c.summary(other.ID))
	if err != nil {
		return
	}
	m.counts.exchanges.Add(1)
	c.take(answer)
}

// Exchange takes in another collector's summary and answers with the own one.
func (s *service) Exchange(_ context.Context, summary *fleetpb.Summary) (*fleetpb.Summary, error) {
	c := s.manager.collector
	c.take(summary)
	return c.summary(summary.Collector), nil
}

// summary returns what a collector needs to hear now.
func (c *collector) summary(to string) *fleetpb.Summary {
	m := c.manager
	own := m.ownRow()
	age := int64(-1)
	if known := c.listAge(); known < time.Hour {
		age = known.Milliseconds()
	}
	list, _ := m.listSnapshot()
	summary := &fleetpb.Summary{
		Collector: m.config.Self.ID, PeerAddress: m.config.Self.PeerAddress, Epoch: c.epoch, Newest: m.documents.highest(),
		ListRevision: list.Revision, ListAgeMs: age,
		Leaving: marksToWire(m.marksNow(), m.config.Now()),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !proto.Equal(own, c.own) {
		c.own = own
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
	rows := []*fleetpb.Row{c.own}
	for _, a := range c.attendees {
		rows = append(rows, a.row)
	}
	return rows
}

// take takes in what another collector told, and fetches what it has newer.
func (c *collector) take(summary *fleetpb.Summary) {
	m := c.manager
	m.touch()
	if marks := marksFromWire(summary.Leaving, m.config.Now()); len(marks) > 0 {
		m.mergeMarks(marks)
	}
	list, _ := m.listSnapshot()
	if summary.ListAgeMs >= 0 && summary.ListRevision <= list.Revision {
		c.noteListRead(time.Now().Add(-time.Duration(summary.ListAgeMs) * time.Millisecond))
	}
	c.store(summary)
	if summary.Newest > m.documents.highest() || summary.ListRevision > list.Revision {
		m.pull(summary.PeerAddress)
	}
}

func (c *collector) store(summary *fleetpb.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[summary.Collector]
	if p == nil {
		p = &peerSummary{}
		c.peers[summary.Collector] = p
	}
	p.heard = time.Now()
	p.seenEpoch, p.seenSequence = summary.SeenEpoch, summary.SeenSequence
	if summary.HasRows {
		p.epoch, p.sequence, p.rows = summary.Epoch, summary.Sequence, summary.Rows
	}
}
