package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// observe marks the daemons that no collector hears as silent.
func (c *collector) observe(ctx context.Context) {
	for ctx.Err() == nil {
		c.publishSilent(c.silentNow(time.Now()))
		wait(ctx, c.manager.config.ReportInterval)
	}
	c.publishSilent(nil)
}

// takeOver keeps what the last collector told of instances: silent daemons stay silent
// until they are heard, leaving instances become observations of this daemon.
func (c *collector) takeOver() {
	now := c.manager.config.Now()
	var marks []mark
	c.manager.update(func(r *roster) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.missing = map[string]time.Time{}
		for id := range r.silent {
			c.missing[id] = time.Time{}
		}
		for id := range r.pushed {
			marks = append(marks, mark{instance: id, at: now})
		}
		r.pushed = nil
		return len(marks) > 0
	})
	c.manager.mergeMarks(marks)
}

// silentNow returns the listed daemons that were not heard for the member timeout.
func (c *collector) silentNow(now time.Time) map[string]bool {
	everyone := c.manager.current.Load().everyone
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.manager.config.MemberTimeout
	heard := c.heard()
	missing := map[string]time.Time{}
	silent := map[string]bool{}
	for _, member := range everyone {
		if heard[member.ID] {
			continue
		}
		since, known := c.missing[member.ID]
		if !known {
			since = now
		}
		missing[member.ID] = since
		settled := now.Sub(c.active) > timeout || since.IsZero()
		if settled && now.Sub(since) > timeout {
			silent[member.ID] = true
		}
	}
	c.missing = missing
	return silent
}

// heard returns the daemons that a collector hears. The caller holds the lock.
func (c *collector) heard() map[string]bool {
	heard := map[string]bool{c.manager.config.Self.ID: true}
	for id, a := range c.attendees {
		if time.Since(a.reported) < c.manager.config.MemberTimeout {
			heard[id] = true
		}
	}
	for id, p := range c.peers {
		if !c.fresh(p) {
			continue
		}
		heard[id] = true
		for _, row := range p.rows {
			heard[row.Member] = true
		}
	}
	return heard
}

func (c *collector) publishSilent(silent map[string]bool) {
	c.manager.update(func(r *roster) bool {
		if maps.Equal(r.silent, silent) {
			return false
		}
		for id := range silent {
			if !r.silent[id] {
				c.manager.log.Log(event.MemberSilent, event.F("member", id))
			}
		}
		r.silent = silent
		return true
	})
}

// invite offers the instance list to silent daemons, one after the other. A daemon
// that started while the platform is down knows no peer and learns of them so.
func (c *collector) invite(ctx context.Context) {
	for last := ""; ctx.Err() == nil; {
		wait(ctx, jitter(c.manager.config.ReportInterval))
		silent := slices.Sorted(maps.Keys(c.manager.current.Load().silent))
		if len(silent) == 0 {
			continue
		}
		last = nextAfter(silent, last)
		if address := c.manager.peerAddressOf(last); address != "" {
			c.sendInvitation(ctx, address)
		}
	}
}

// nextAfter returns the first of the sorted names after last, in a circle.
func nextAfter(names []string, last string) string {
	for _, name := range names {
		if name > last {
			return name
		}
	}
	return names[0]
}

// peerAddressOf returns a listed daemon's peer address, or "".
func (m *Manager) peerAddressOf(id string) string {
	for _, member := range m.current.Load().everyone {
		if member.ID == id {
			return member.PeerAddress
		}
	}
	return ""
}

func (c *collector) sendInvitation(ctx context.Context, address string) {
	m := c.manager
	list, known := m.listSnapshot()
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.ReportInterval)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return
	}
	_, _ = fleetpb.NewDRPCFleetClient(conn).Invite(ctx, &fleetpb.Invitation{From: m.config.Self.ID, List: wholeList(list)})
}

// Invite takes over an instance list that is newer than the known one.
func (s *service) Invite(_ context.Context, invitation *fleetpb.Invitation) (*fleetpb.InvitationAnswer, error) {
	m := s.manager
	m.touch()
	if invitation.List != nil {
		list, _ := m.listSnapshot()
		m.offerList(applyListChange(list, invitation.List))
	}
	return &fleetpb.InvitationAnswer{}, nil
}
