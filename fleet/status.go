package fleet

import (
	"context"
	"sort"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// Status implements Admin. It asks this daemon's collector which daemon has what in
// force. A daemon without a collector knows of itself only and shows the others as
// behind.
func (m *Manager) Status(ctx context.Context) ([]ServiceStatus, error) {
	rows, documents := m.collector.table(), m.headings()
	if collector := m.member.attachedTo(); collector.ID != "" {
		answer, err := m.askTable(ctx, collector.PeerAddress)
		if err != nil {
			return nil, fault.Wrap(err, fault.KindOf(err), "collector "+collector.ID+" did not answer", "try again, or ask another daemon")
		}
		rows = answer.Rows
		documents = mergeHeadings(documents, documentsFromWire(answer.Documents))
	}
	byMember := map[string]*fleetpb.Row{}
	for _, row := range rows {
		byMember[row.Member] = row
	}
	byMember[m.config.Self.ID] = m.ownRow()
	return m.statusOf(documents, byMember), nil
}

func (m *Manager) askTable(ctx context.Context, address string) (*fleetpb.TableAnswer, error) {
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return fleetpb.NewDRPCFleetClient(conn).Table(ctx, &fleetpb.TableRequest{})
}

// Table returns the rows of all daemons that this collector knows of.
func (s *service) Table(context.Context, *fleetpb.TableRequest) (*fleetpb.TableAnswer, error) {
	answer := &fleetpb.TableAnswer{Rows: s.manager.collector.table()}
	for _, r := range s.manager.headings() {
		answer.Documents = append(answer.Documents, documentToWire(r))
	}
	return answer, nil
}

// table returns one row for each daemon: the newest live one, else the last one.
func (c *collector) table() []*fleetpb.Row {
	own := c.manager.ownRow()
	c.mu.Lock()
	defer c.mu.Unlock()
	live := map[string]*fleetpb.Row{own.Member: own}
	for id, a := range c.attendees {
		live[id] = a.row
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
	for id, row := range c.last {
		if live[id] == nil {
			rows = append(rows, row)
		}
	}
	return rows
}

// headings returns the newest revision of each document without source.
func (m *Manager) headings() []revision {
	all := m.documents.changes(0)
	for i := range all {
		all[i].Source = nil
	}
	return all
}

// mergeHeadings returns the newer of two revisions of each service.
func mergeHeadings(a, b []revision) []revision {
	newest := map[string]revision{}
	for _, r := range append(a, b...) {
		if r.Version > newest[r.Service].Version {
			newest[r.Service] = r
		}
	}
	merged := make([]revision, 0, len(newest))
	for _, r := range newest {
		merged = append(merged, r)
	}
	return merged
}

func (m *Manager) statusOf(documents []revision, rows map[string]*fleetpb.Row) []ServiceStatus {
	sort.Slice(documents, func(i, j int) bool { return documents[i].Service < documents[j].Service })
	status := []ServiceStatus{}
	for _, r := range documents {
		if r.Deleted {
			continue
		}
		one := ServiceStatus{Service: r.Service, Version: r.Version, InForce: []string{}, Behind: []Behind{}}
		for _, member := range m.current.Load().everyone {
			version := m.versionIn(rows[member.ID], r)
			if version == r.Version {
				one.InForce = append(one.InForce, member.ID)
			} else {
				one.Behind = append(one.Behind, Behind{Member: member.ID, Version: version, Since: r.Accepted})
			}
		}
		status = append(status, one)
	}
	return status
}

// versionIn returns which version of a document a daemon has in force by its row.
func (m *Manager) versionIn(row *fleetpb.Row, r revision) int64 {
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
