package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// staleListFactor is after how many list intervals without news of the list a
// collector reads it out of turn.
const staleListFactor = 3

// collector is the collector side: it watches the platform, serves the members that
// attend it and exchanges summaries with the other collectors.
type collector struct {
	manager *Manager

	mu        sync.Mutex
	active    time.Time // since when it runs; zero if it does not
	epoch     int64     // ns since the Unix epoch, of the first start
	sequence  int64     // of the own rows
	own       *fleetpb.Row
	attendees map[string]*attendee
	peers     map[string]*peerSummary
	last      map[string]*fleetpb.Row // of daemons that left
	missing   map[string]time.Time    // daemons that no collector hears, since when
	listRead  time.Time               // newest known read of the instance list by anyone
}

// attendee is one member's stream.
type attendee struct {
	address  string // peer address, "" if it serves none
	row      *fleetpb.Row
	reported time.Time
	ended    chan struct{} // closed when a newer stream of the member replaces this one
}

func newCollector(m *Manager) *collector {
	return &collector{
		manager: m, epoch: time.Now().UnixNano(),
		attendees: map[string]*attendee{}, peers: map[string]*peerSummary{},
		last: map[string]*fleetpb.Row{}, missing: map[string]time.Time{},
	}
}

// run collects until ctx ends.
func (c *collector) run(ctx context.Context) {
	c.takeOver()
	c.setActive(time.Now())
	defer c.setActive(time.Time{})
	var group sync.WaitGroup
	for _, work := range []func(context.Context){c.watch, c.readLists, c.exchangeAll, c.observe, c.probe} {
		group.Go(func() { work(ctx) })
	}
	group.Wait()
}

func (c *collector) setActive(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = since
}

func (c *collector) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.active.IsZero()
}

// attended reports whether a member attends.
func (c *collector) attended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.attendees) > 0
}

// watch keeps the documents current from the platform.
func (c *collector) watch(ctx context.Context) {
	for ctx.Err() == nil {
		asOf, err := c.manager.readDocuments(ctx)
		if err == nil {
			c.follow(ctx, asOf)
		}
		wait(ctx, jitter(c.manager.config.ReportInterval))
	}
}

// follow applies changes after a store revision until changes were lost. A watch
// that ended or went silent is opened again where it stopped.
func (c *collector) follow(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		w, err := c.manager.store.Watch(ctx, documentPrefix, after)
		if fault.Is(err, fault.Conflict) {
			return
		}
		if err == nil {
			after = c.consume(ctx, w, after)
			w.Close()
		}
		wait(ctx, jitter(c.manager.config.ReportInterval))
	}
}

// consume applies the changes of one watch and returns the last store revision.
func (c *collector) consume(ctx context.Context, w objectapi.Watch, after int64) int64 {
	m := c.manager
	for {
		change, err := w.Next(ctx)
		if err != nil {
			return after
		}
		m.touch()
		after = max(after, change.Revision)
		if change.Bookmark {
			m.documents.offerAll(nil, change.Revision)
			continue
		}
		r := revisionOf(change.Object, m.config.Now())
		r.Version, r.Deleted = change.Revision, change.Deleted
		m.documents.offerAll([]revision{r}, change.Revision)
	}
}

// readLists reads the instance list when it is this collector's turn, or when no
// collector has read it for a while. So the reads do not grow with the collectors. A
// daemon that hears no other one although others are listed reads at the slower rate
// of direct reads.
func (c *collector) readLists(ctx context.Context) {
	for ctx.Err() == nil {
		if c.listDue(time.Now()) && c.manager.readList(ctx) == nil {
			c.noteListRead(time.Now())
		}
		if c.alone() {
			wait(ctx, jitter(c.manager.config.DirectInterval))
		} else {
			wait(ctx, c.manager.config.ListInterval)
		}
	}
}

// alone reports whether this collector hears none of the other listed daemons.
func (c *collector) alone() bool {
	others := len(c.manager.current.Load().everyone) > 1
	c.mu.Lock()
	defer c.mu.Unlock()
	return others && len(c.heard()) == 1
}

func (c *collector) listDue(now time.Time) bool {
	if c.listAge() > staleListFactor*c.manager.config.ListInterval {
		return true
	}
	turn, of := c.turn()
	slot := now.UnixNano() / int64(c.manager.config.ListInterval)
	return slot%int64(of) == int64(turn)
}

// turn returns this collector's place among those that it hears, and their number.
func (c *collector) turn() (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, of := 0, 1
	for id, p := range c.peers {
		if !c.fresh(p) {
			continue
		}
		of++
		if id < c.manager.config.Self.ID {
			turn++
		}
	}
	return turn, of
}

// listAge returns how long ago a collector read the instance list.
func (c *collector) listAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.listRead)
}

func (c *collector) noteListRead(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.listRead) {
		c.listRead = at
	}
}
