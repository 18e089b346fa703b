package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

// publishSilentPeriodically marks daemons as silent when no collector has heard from them
// within the member timeout.
func (c *collector) publishSilentPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		c.removeUnlisted()
		c.publishSilent(c.silentDaemons(time.Now()))
		wait(ctx, c.manager.config.ReportInterval)
	}
	c.publishSilent(nil)
}

// adoptFlags takes over the flags received from the previous collector when this daemon
// becomes a collector. Silent daemons stay silent until a collector hears from them. Leaving
// instances become leaving marks of this daemon.
func (c *collector) adoptFlags() {
	now := c.manager.config.Now()
	var marks []leavingMark
	c.manager.update(func(r *roster) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.noContactSince = map[string]time.Time{}
		for id := range r.silentFlags {
			c.noContactSince[id] = time.Time{}
		}
		for id := range r.leavingFlags {
			marks = append(marks, leavingMark{instance: id, at: now})
		}
		r.leavingFlags = nil
		return len(marks) > 0
	})
	c.manager.mergeLeavingMarks(marks)
}

// silentDaemons returns the listed daemons without contact for the member timeout. A new
// collector reports none in its first member timeout, except those that the previous
// collector reported.
func (c *collector) silentDaemons(now time.Time) map[string]bool {
	allMembers := c.manager.current.Load().allMembers
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.manager.config.MemberTimeout
	live := c.liveDaemons()
	noContactSince := map[string]time.Time{}
	silent := map[string]bool{}
	for _, member := range allMembers {
		if live[member.ID] {
			continue
		}
		since, known := c.noContactSince[member.ID]
		if !known {
			since = now
		}
		noContactSince[member.ID] = since
		graceElapsed := now.Sub(c.activeSince) > timeout || since.IsZero()
		if graceElapsed && now.Sub(since) > timeout {
			silent[member.ID] = true
		}
	}
	c.noContactSince = noContactSince
	return silent
}

// removeUnlisted removes the state of daemons that are no longer in the instance list.
// Summaries of live peers are kept.
func (c *collector) removeUnlisted() {
	listed := map[string]bool{}
	for _, member := range c.manager.current.Load().allMembers {
		listed[member.ID] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.peers, func(id string, p *peerSummary) bool { return !listed[id] && !c.isLive(p) })
	maps.DeleteFunc(c.lastRows, func(id string, _ *fleetpb.Row) bool { return !listed[id] })
}

// liveDaemons returns the daemons that this collector or a live peer has heard from. The
// caller holds the lock.
func (c *collector) liveDaemons() map[string]bool {
	live := map[string]bool{c.manager.config.Self.ID: true}
	for id, member := range c.members {
		if time.Since(member.reportedAt) < c.manager.config.MemberTimeout {
			live[id] = true
		}
	}
	for id, p := range c.peers {
		if !c.isLive(p) {
			continue
		}
		live[id] = true
		for _, row := range p.rows {
			live[row.Member] = true
		}
	}
	return live
}

func (c *collector) publishSilent(silent map[string]bool) {
	c.manager.update(func(r *roster) bool {
		if maps.Equal(r.silentFlags, silent) {
			return false
		}
		for id := range silent {
			if !r.silentFlags[id] {
				c.manager.log.Log(event.MemberSilent, event.F("member", id))
			}
		}
		r.silentFlags = silent
		return true
	})
}

// probeSilent exchanges summaries with one randomly chosen silent daemon at a time. This
// reconnects two groups of daemons after a network partition, and lets a daemon that
// started during a platform outage without any known peer learn of the others. Every
// second probe goes to a daemon that ranks as a collector.
func (c *collector) probeSilent(ctx context.Context) {
	for rankedOnly := true; ctx.Err() == nil; rankedOnly = !rankedOnly {
		wait(ctx, jitter(c.manager.config.ReportInterval))
		silent := c.silentMembers(rankedOnly)
		if len(silent) > 0 {
			c.exchange(ctx, silent[rand.IntN(len(silent))])
		}
	}
}

// silentMembers returns the silent daemons. With rankedOnly, it returns only those that rank
// as collectors.
func (c *collector) silentMembers(rankedOnly bool) []Member {
	m := c.manager
	v := m.current.Load()
	var silent []Member
	if len(v.silent) == 0 {
		return silent
	}
	for _, member := range v.allMembers {
		if v.silent[member.ID] && (!rankedOnly || m.ranksAsCollector(v, member)) {
			silent = append(silent, member)
		}
	}
	return silent
}
