package fleet

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// rpcServer implements the drpc service of a Manager.
type rpcServer struct{ manager *Manager }

// Attend handles the stream of one member until the stream ends or the member has sent no
// report for the member timeout.
func (s *rpcServer) Attend(stream fleetpb.DRPCFleet_AttendStream) error {
	c := s.manager.collector
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Row == nil || first.Row.Member == "" {
		return fault.New(fault.Invalid, "the first report contains no member ID", "run the same program version on all daemons")
	}
	member := c.addMember(first)
	defer c.removeMember(first.Row.Member, member)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		for {
			report, err := stream.Recv()
			if err != nil || report.Row == nil {
				return
			}
			c.handleReport(member, report)
		}
	}()
	return c.sendUpdates(ctx, stream, member, first)
}

// addMember registers a member's stream and replaces an older one of the same member.
func (c *collector) addMember(first *fleetpb.Report) *connectedMember {
	member := &connectedMember{address: first.PeerAddress, replaced: make(chan struct{})}
	c.mu.Lock()
	if older := c.members[first.Row.Member]; older != nil {
		close(older.replaced)
	}
	c.members[first.Row.Member] = member
	c.mu.Unlock()
	c.handleReport(member, first)
	c.manager.wakeRun()
	return member
}

// removeMember removes a stream and keeps the member's last row.
func (c *collector) removeMember(id string, member *connectedMember) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members[id] != member {
		return
	}
	delete(c.members, id)
	c.lastRows[id] = member.row
	c.sequence++
	c.manager.log.Log(event.MemberLost, event.F("member", id))
	c.manager.wakeRun()
}

// handleReport processes one report of a member. If the member has newer documents, it
// requests a fetch from it.
func (c *collector) handleReport(member *connectedMember, report *fleetpb.Report) {
	m := c.manager
	m.recordContact()
	m.counts.reportsReceived.Add(1)
	now := m.config.Now()
	marks := leavingMarksFromWire(report.Leaving, now)
	if report.Drained {
		marks = append(marks, leavingMark{instance: report.Row.Member, at: now})
	}
	if len(marks) > 0 {
		m.mergeLeavingMarks(marks)
	}
	if highestVersionOf(report.Row) > m.documents.highestVersion() {
		m.requestFetch(member.address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	member.reportedAt = time.Now()
	if !proto.Equal(member.row, report.Row) {
		member.row = report.Row
		c.sequence++
	}
}

// highestVersionOf returns the highest document version in a row.
func highestVersionOf(row *fleetpb.Row) int64 {
	highest := row.Head
	for _, exception := range row.Exceptions {
		highest = max(highest, exception.Version)
	}
	return highest
}

// sendUpdates sends updates until the stream ends or is replaced, or the member has sent no
// report for the member timeout.
func (c *collector) sendUpdates(ctx context.Context, stream fleetpb.DRPCFleet_AttendStream, member *connectedMember, first *fleetpb.Report) error {
	m := c.manager
	state := receiverState{manager: m, sentVersion: first.Row.Head, sentAhead: map[string]int64{}, listRevision: first.ListRevision}
	for ctx.Err() == nil {
		documents, roster := m.Changed(), m.rosterChanged()
		if c.isSilent(member) {
			return fault.New(fault.Unavailable, "the member sent no report within the member timeout", "connect to the collector again")
		}
		more, err := state.send(stream)
		if err != nil {
			return err
		}
		if more {
			continue
		}
		wait(ctx, min(minMessageInterval, m.config.ReportInterval))
		waitAny(ctx, m.config.ReportInterval, documents, roster)
		select {
		case <-member.replaced:
			return nil
		default:
		}
	}
	return nil
}

func (c *collector) isSilent(member *connectedMember) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(member.reportedAt) > c.manager.config.MemberTimeout
}

// receiverState tracks what was sent to a member or a caller of Fetch.
type receiverState struct {
	manager      *Manager
	sentVersion  int64            // documents up to this version were sent
	sentAhead    map[string]int64 // versions above sentVersion that were sent, by service
	completeSent bool             // whether the names of a complete set were sent
	listRevision int64            // revision of the instance list that the receiver has
	sentFlags    *fleetpb.Flags
}

// send sends one update and reports whether more documents remain.
func (s *receiverState) send(stream fleetpb.DRPCFleet_AttendStream) (bool, error) {
	update, more := s.next()
	if err := stream.Send(update); err != nil {
		return false, err
	}
	s.manager.counts.updatesSent.Add(1)
	return more, nil
}

func (s *receiverState) next() (*fleetpb.Update, bool) {
	update := &fleetpb.Update{}
	more := s.addDocuments(update)
	s.addList(update)
	s.addFlags(update)
	return update, more
}

func (s *receiverState) addDocuments(update *fleetpb.Update) bool {
	asOf := s.manager.documents.completeUpTo()
	documents, more := fitMessage(s.unsent(asOf))
	update.Documents = documents
	update.AsOf = asOf
	if more {
		update.AsOf = min(asOf, documents[len(documents)-1].Version)
	}
	s.sentVersion = max(s.sentVersion, update.AsOf)
	if names, completeAsOf := s.manager.documents.completeSet(); !more && !s.completeSent && completeAsOf == asOf && asOf > 0 {
		s.completeSent = true
		update.Whole = &fleetpb.WholeSet{Services: names, AsOf: asOf}
	}
	return more
}

// unsent returns the documents to send. A document that this daemon accepted itself can be
// newer than asOf, the revision up to which all changes are known; it is sent only once.
func (s *receiverState) unsent(asOf int64) []documentRevision {
	var unsent []documentRevision
	for _, r := range s.manager.documents.changes(s.sentVersion) {
		if s.sentAhead[r.Service] == r.Version {
			continue
		}
		if r.Version > asOf {
			s.sentAhead[r.Service] = r.Version
		}
		unsent = append(unsent, r)
	}
	return unsent
}

func (s *receiverState) addList(update *fleetpb.Update) {
	update.List = s.manager.listChangeSince(s.listRevision)
	if update.List != nil {
		s.listRevision = update.List.Revision
	}
}

func (s *receiverState) addFlags(update *fleetpb.Update) {
	flags := s.manager.flags()
	if proto.Equal(flags, s.sentFlags) {
		return
	}
	s.sentFlags, update.Flags = flags, flags
}

// flags returns the leaving and silent states that the instance list does not show yet.
func (m *Manager) flags() *fleetpb.Flags {
	m.mu.Lock()
	defer m.mu.Unlock()
	flags := &fleetpb.Flags{}
	for id := range m.roster.leavingMarks {
		flags.Leaving = append(flags.Leaving, id)
	}
	if m.roster.draining {
		flags.Leaving = append(flags.Leaving, m.roster.self.ID)
	}
	for id := range m.roster.silentFlags {
		flags.Silent = append(flags.Silent, id)
	}
	slices.Sort(flags.Leaving)
	slices.Sort(flags.Silent)
	return flags
}
