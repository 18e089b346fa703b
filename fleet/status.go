package fleet

import (
	"context"
	"sort"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// Status implements DocumentAdmin. It requests the rows of all daemons from this daemon's
// collector. A collector uses the rows it has. A daemon without a collector has only its own
// row and reports the others as lagging.
func (m *Manager) Status(ctx context.Context) ([]ServiceStatus, error) {
	rows, documents := m.collector.rows(), m.documentHeaders()
	if collector := m.collectorClient.connectedCollector(); collector.ID != "" {
		response, err := m.requestTable(ctx, collector.PeerAddress)
		if err != nil {
			return nil, fault.Wrap(err, fault.KindOf(err), "collector "+collector.ID+" did not respond", "try again, or ask another daemon")
		}
		rows = response.Rows
		documents = mergeHeaders(documents, documentsFromWire(response.Documents))
	}
	byMember := map[string]*fleetpb.Row{}
	for _, row := range rows {
		byMember[row.Member] = row
	}
	byMember[m.config.Self.ID] = m.ownRow()
	return m.statusOf(documents, byMember), nil
}

func (m *Manager) requestTable(ctx context.Context, address string) (*fleetpb.TableAnswer, error) {
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return fleetpb.NewDRPCFleetClient(conn).Table(ctx, &fleetpb.TableRequest{})
}

// Table returns the rows and documents known to this collector.
func (s *rpcServer) Table(context.Context, *fleetpb.TableRequest) (*fleetpb.TableAnswer, error) {
	response := &fleetpb.TableAnswer{Rows: s.manager.collector.rows()}
	for _, r := range s.manager.documentHeaders() {
		response.Documents = append(response.Documents, documentToWire(r))
	}
	return response, nil
}

// rows returns one row for each daemon: the newest one received from a connected member or
// a peer, otherwise the last row of a disconnected member.
func (c *collector) rows() []*fleetpb.Row {
	own := c.manager.ownRow()
	c.mu.Lock()
	defer c.mu.Unlock()
	live := map[string]*fleetpb.Row{own.Member: own}
	for id, member := range c.members {
		live[id] = member.row
	}
	for _, p := range c.peers {
		for _, row := range p.rows {
			if held := live[row.Member]; held == nil || row.Head > held.Head {
				live[row.Member] = row
			}
		}
	}
	rows := make([]*fleetpb.Row, 0, len(live))
	for _, row := range live {
		rows = append(rows, row)
	}
	for id, row := range c.lastRows {
		if live[id] == nil {
			rows = append(rows, row)
		}
	}
	return rows
}

// documentHeaders returns the newest revision of each document without its source.
func (m *Manager) documentHeaders() []documentRevision {
	all := m.documents.changes(0)
	for i := range all {
		all[i].Source = nil
	}
	return all
}

// mergeHeaders merges two lists and keeps the newer revision for each service.
func mergeHeaders(a, b []documentRevision) []documentRevision {
	newest := map[string]documentRevision{}
	for _, r := range append(a, b...) {
		if r.Version > newest[r.Service].Version {
			newest[r.Service] = r
		}
	}
	merged := make([]documentRevision, 0, len(newest))
	for _, r := range newest {
		merged = append(merged, r)
	}
	return merged
}

func (m *Manager) statusOf(documents []documentRevision, rows map[string]*fleetpb.Row) []ServiceStatus {
	sort.Slice(documents, func(i, j int) bool { return documents[i].Service < documents[j].Service })
	status := []ServiceStatus{}
	for _, r := range documents {
		if r.Deleted {
			continue
		}
		serviceStatus := ServiceStatus{Service: r.Service, Version: r.Version, InForce: []string{}, Lagging: []LaggingMember{}}
		for _, member := range m.current.Load().allMembers {
			version := m.versionInForce(rows[member.ID], r)
			if version == r.Version {
				serviceStatus.InForce = append(serviceStatus.InForce, member.ID)
			} else {
				serviceStatus.Lagging = append(serviceStatus.Lagging, LaggingMember{Member: member.ID, Version: version, Since: r.AcceptedAt})
			}
		}
		status = append(status, serviceStatus)
	}
	return status
}

// versionInForce returns the version of document r that is in force on a daemon, derived
// from the daemon's row.
func (m *Manager) versionInForce(row *fleetpb.Row, r documentRevision) int64 {
	if row == nil {
		return 0
	}
	for _, exception := range row.Exceptions {
		if exception.Service == r.Service {
			return exception.Version
		}
	}
	if row.Head >= r.Version {
		return r.Version
	}
	return m.documents.versionAt(r.Service, row.Head)
}
