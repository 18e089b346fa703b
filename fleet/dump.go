package fleet

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

type counters struct {
	reportsSent, reportsReceived, updatesSent, updatesReceived atomic.Int64
	exchanges, fetches, directReads                            atomic.Int64
}

// Counters holds the message counts of a Manager.
type Counters struct {
	ReportsSent     int64 `json:"reports_sent"`
	ReportsReceived int64 `json:"reports_received"`
	UpdatesSent     int64 `json:"updates_sent"`
	UpdatesReceived int64 `json:"updates_received"`
	Exchanges       int64 `json:"exchanges"`    // summaries exchanged with other collectors
	Fetches         int64 `json:"fetches"`      // messages fetched from peers
	DirectReads     int64 `json:"direct_reads"` // platform reads without a collector
}

// Counters returns the current counts.
func (m *Manager) Counters() Counters {
	return Counters{
		ReportsSent:     m.counts.reportsSent.Load(),
		ReportsReceived: m.counts.reportsReceived.Load(),
		UpdatesSent:     m.counts.updatesSent.Load(),
		UpdatesReceived: m.counts.updatesReceived.Load(),
		Exchanges:       m.counts.exchanges.Load(),
		Fetches:         m.counts.fetches.Load(),
		DirectReads:     m.counts.directReads.Load(),
	}
}

// Dump is a snapshot of the state of a Manager.
type Dump struct {
	Self             Member         `json:"self"`
	Collecting       bool           `json:"collecting"`
	Collector        string         `json:"collector"` // collector that this daemon is connected to, "" if none
	ConnectedMembers []string       `json:"attendees"` // members connected to this collector
	LiveCollectors   []string       `json:"peers"`     // collectors whose last summary is within the member timeout
	Members          []string       `json:"members"`
	Leaving          []string       `json:"leaving"` // instances with a leaving mark, and Self while draining
	Silent           []string       `json:"silent"`  // listed daemons that no collector hears from
	ListRevision     int64          `json:"list_revision"`
	CompleteRevision int64          `json:"as_of"` // store revision up to which all document changes are known
	Documents        []DocumentDump `json:"documents"`
	LastContact      time.Time      `json:"contact"` // last contact with the platform or a peer
	Isolated         bool           `json:"isolated"`
	Counters         Counters       `json:"counters"`
}

// DocumentDump is the state of one document on this daemon.
type DocumentDump struct {
	Service string `json:"service"`
	InForce int64  `json:"in_force"`
	Newest  int64  `json:"newest"`
	Deleted bool   `json:"deleted"`
}

// Dump returns a snapshot of the manager's state.
func (m *Manager) Dump() Dump {
	list, _ := m.listSnapshot()
	contact, isolated := m.Isolated()
	flags := m.flags()
	dump := Dump{
		Self: m.Self(), Collecting: m.collector.running(), Collector: m.collectorClient.connectedCollector().ID,
		Members: m.current.Load().ids, Leaving: flags.Leaving, Silent: flags.Silent,
		ListRevision: list.Revision, CompleteRevision: m.documents.completeUpTo(), Documents: m.documents.dump(),
		LastContact: contact, Isolated: isolated, Counters: m.Counters(),
	}
	dump.ConnectedMembers, dump.LiveCollectors = m.collector.dump()
	return dump
}

// dump returns the connected members and the live peers, ordered by ID.
func (c *collector) dump() (connectedMembers, liveCollectors []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	connectedMembers = slices.Sorted(maps.Keys(c.members))
	for id, p := range c.peers {
		if c.isLive(p) {
			liveCollectors = append(liveCollectors, id)
		}
	}
	slices.Sort(liveCollectors)
	return connectedMembers, liveCollectors
}

func (d *documentSet) dump() []DocumentDump {
	d.mu.Lock()
	defer d.mu.Unlock()
	dump := []DocumentDump{}
	for _, service := range slices.Sorted(maps.Keys(d.entries)) {
		e := d.entries[service]
		dump = append(dump, DocumentDump{
			Service: service, InForce: e.inForce.Version, Newest: e.newest.Version, Deleted: e.newest.Deleted,
		})
	}
	return dump
}
