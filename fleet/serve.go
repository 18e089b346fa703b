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

// service implements the drpc service of a Manager.
type service struct{ manager *Manager }

// Attend serves one member until its stream ends or it is silent for the member
// timeout.
func (s *service) Attend(stream fleetpb.DRPCFleet_AttendStream) error {
	c := s.manager.collector
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Row == nil || first.Row.Member == "" {
		return fault.New(fault.Invalid, "a report names no member", "run the same program version on all daemons")
	}
	a := c.join(first)
	defer c.leave(first.Row.Member, a)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		defer cancel()
		for {
			report, err := stream.Recv()
			if err != nil || report.Row == nil {
				return
			}
			c.report(a, report)
		}
	}()
	return c.serve(ctx, stream, a, first)
}

// join registers a member's stream in place of an older one.
func (c *collector) join(first *fleetpb.Report) *attendee {
	a := &attendee{address: first.PeerAddress, ended: make(chan struct{})}
	c.mu.Lock()
	if older := c.attendees[first.Row.Member]; older != nil {
		close(older.ended)
	}
	c.attendees[first.Row.Member] = a
	c.mu.Unlock()
	c.report(a, first)
	c.manager.placeAgain()
	return a
}

// leave forgets a stream but for the member's last row.
func (c *collector) leave(id string, a *attendee) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attendees[id] != a {
		return
	}
	delete(c.attendees, id)
	c.last[id] = a.row
	c.sequence++
	c.manager.log.Log(event.MemberLost, event.F("member", id))
	c.manager.placeAgain()
}

// report takes in one report.
func (c *collector) report(a *attendee, report *fleetpb.Report) {
	m := c.manager
	m.touch()
	m.counts.reportsReceived.Add(1)
	now := m.config.Now()
	marks := marksFromWire(report.Leaving, now)
	if report.Drained {
		marks = append(marks, mark{instance: report.Row.Member, at: now})
	}
	if len(marks) > 0 {
		m.mergeMarks(marks)
	}
	if highestIn(report.Row) > m.documents.highest() {
		m.pull(a.address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.reported = time.Now()
	if !proto.Equal(a.row, report.Row) {
		a.row = report.Row
		c.sequence++
	}
}

// highestIn returns the highest document version of a row.
func highestIn(row *fleetpb.Row) int64 {
	highest := row.Head
	for _, exception := range row.Exceptions {
		highest = max(highest, exception.Version)
	}
	return highest
}

// serve sends updates until the stream ends or the member went silent.
func (c *collector) serve(ctx context.Context, stream fleetpb.DRPCFleet_AttendStream, a *attendee, first *fleetpb.Report) error {
	m := c.manager
	out := outbox{manager: m, sent: first.Row.Head, ahead: map[string]int64{}, list: first.ListRevision}
	for ctx.Err() == nil {
		documents, roster := m.Changed(), m.rosterChanged()
		if c.silent(a) {
			return fault.New(fault.Unavailable, "member was silent", "attend again")
		}
		more, err := out.send(stream)
		if err != nil {
			return err
		}
		if more {
			continue
		}
		wait(ctx, min(messageGap, m.config.ReportInterval))
		waitAny(ctx, m.config.ReportInterval, documents, roster)
		select {
		case <-a.ended:
			return nil
		default:
		}
	}
	return nil
}

func (c *collector) silent(a *attendee) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(a.reported) > c.manager.config.MemberTimeout
}

// outbox remembers what a member was sent.
type outbox struct {
	manager *Manager
	sent    int64            // documents up to this version
	ahead   map[string]int64 // versions sent ahead of that, by service
	whole   bool             // a whole set was named
	list    int64            // revision of the list that the member has
	flags   *fleetpb.Flags
}

// send sends one update and reports whether more documents wait.
func (o *outbox) send(stream fleetpb.DRPCFleet_AttendStream) (bool, error) {
	update, more := o.next()
	if err := stream.Send(update); err != nil {
		return false, err
	}
	o.manager.counts.updatesSent.Add(1)
	return more, nil
}

func (o *outbox) next() (*fleetpb.Update, bool) {
	update := &fleetpb.Update{}
	more := o.addDocuments(update)
	o.addList(update)
	o.addFlags(update)
	return update, more
}

func (o *outbox) addDocuments(update *fleetpb.Update) bool {
	asOf := o.manager.documents.completeTo()
	documents, more := batch(o.unsent(asOf))
	update.Documents = documents
	update.AsOf = asOf
	if more {
		update.AsOf = min(asOf, documents[len(documents)-1].Version)
	}
	o.sent = max(o.sent, update.AsOf)
	if names, wholeAsOf := o.manager.documents.whole(); !more && !o.whole && wholeAsOf == asOf && asOf > 0 {
		o.whole = true
		update.Whole = &fleetpb.WholeSet{Services: names, AsOf: asOf}
	}
	return more
}

// unsent returns the documents to send. Those that this daemon accepted itself may be
// ahead of what the set is complete to; they are sent once.
func (o *outbox) unsent(asOf int64) []revision {
	var unsent []revision
	for _, r := range o.manager.documents.changes(o.sent) {
		if o.ahead[r.Service] == r.Version {
			continue
		}
		if r.Version > asOf {
			o.ahead[r.Service] = r.Version
		}
		unsent = append(unsent, r)
	}
	return unsent
}

func (o *outbox) addList(update *fleetpb.Update) {
	update.List = o.manager.listSince(o.list)
	if update.List != nil {
		o.list = update.List.Revision
	}
}

func (o *outbox) addFlags(update *fleetpb.Update) {
	flags := o.manager.flags()
	if proto.Equal(flags, o.flags) {
		return
	}
	o.flags, update.Flags = flags, flags
}

// flags returns what the instance list does not show yet.
func (m *Manager) flags() *fleetpb.Flags {
	m.mu.Lock()
	defer m.mu.Unlock()
	flags := &fleetpb.Flags{}
	for id := range m.roster.marks {
		flags.Leaving = append(flags.Leaving, id)
	}
	if m.roster.drained {
		flags.Leaving = append(flags.Leaving, m.roster.self.ID)
	}
	for id := range m.roster.silent {
		flags.Silent = append(flags.Silent, id)
	}
	slices.Sort(flags.Leaving)
	slices.Sort(flags.Silent)
	return flags
}
