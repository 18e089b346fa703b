package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// observe marks the daemons that no collector hears as silent.
func (c *collector) observe(ctx context.Context) {
	for ctx.Err() == nil {
		c.forgetUnlisted()
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

// forgetUnlisted drops what is kept of daemons that are gone for good.
func (c *collector) forgetUnlisted() {
	listed := map[string]bool{}
	for _, member := range c.manager.current.Load().everyone {
		listed[member.ID] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.peers, func(id string, p *peerSummary) bool { return !listed[id] && !c.fresh(p) })
	maps.DeleteFunc(c.last, func(id string, _ *fleetpb.Row) bool { return !listed[id] })
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

// probe exchanges summaries with silent daemons, one after the other. So two groups
// of daemons that lost each other find each other again, and a daemon that started
// while the platform is down, and knows no peer, learns of them. Every other time it
// takes one that would be a collector.
func (c *collector) probe(ctx context.Context) {
	for ranked := true; ctx.Err() == nil; ranked = !ranked {
		wait(ctx, jitter(c.manager.config.ReportInterval))
		silent := c.silentMembers(ranked)
		if len(silent) > 0 {
			c.exchange(ctx, silent[rand.IntN(len(silent))])
		}
	}
}

// silentMembers returns the silent daemons, or those of them that would collect if
// no daemon was silent.
func (c *collector) silentMembers(ranked bool) []Member {
	m := c.manager
	v := m.current.Load()
	var silent []Member
	if len(v.silent) == 0 {
		return silent
	}
	for _, member := range v.everyone {
		if v.silent[member.ID] && (!ranked || m.ranks(v, member)) {
			silent = append(silent, member)
		}
	}
	return silent
}
