package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// staleListFactor is the number of list intervals without a known read of the instance
// list after which a collector reads it out of turn.
const staleListFactor = 3

// collector implements the collector role: it watches the platform, sends updates to the
// connected members and exchanges summaries with the other collectors.
type collector struct {
	manager *Manager

	mu             sync.Mutex
	activeSince    time.Time // start of the current run; zero if not running
	epoch          int64     // creation time in ns since the Unix epoch; changes with a restart
	sequence       int64     // version of the rows in the summary; increases when they change
	ownRow         *fleetpb.Row
	members        map[string]*connectedMember
	peers          map[string]*peerSummary
	lastRows       map[string]*fleetpb.Row // last rows of disconnected members
	noContactSince map[string]time.Time    // daemons without contact, with the start of that state
	listReadAt     time.Time               // newest known read of the instance list by any collector
}

// connectedMember is the collector's state of one member's stream.
type connectedMember struct {
	address    string // peer address, "" if the member serves none
	row        *fleetpb.Row
	reportedAt time.Time
	replaced   chan struct{} // closed when a newer stream of the same member replaces this one
}

func newCollector(m *Manager) *collector {
	return &collector{
		manager: m, epoch: time.Now().UnixNano(),
		members: map[string]*connectedMember{}, peers: map[string]*peerSummary{},
		lastRows: map[string]*fleetpb.Row{}, noContactSince: map[string]time.Time{},
	}
}

// run performs the collector role until ctx ends.
func (c *collector) run(ctx context.Context) {
	c.adoptFlags()
	c.setActive(time.Now())
	defer c.setActive(time.Time{})
	var wg sync.WaitGroup
	for _, work := range []func(context.Context){c.watchDocuments, c.readListPeriodically, c.exchangeAll, c.publishSilentPeriodically, c.probeSilent} {
		wg.Go(func() { work(ctx) })
	}
	wg.Wait()
}

func (c *collector) setActive(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeSince = since
}

func (c *collector) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.activeSince.IsZero()
}

// hasMembers reports whether a member is connected.
func (c *collector) hasMembers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members) > 0
}

// watchDocuments keeps the documents up to date from the platform.
func (c *collector) watchDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		asOf, err := c.manager.readDocuments(ctx)
		if err == nil {
			c.followChanges(ctx, asOf)
		}
		wait(ctx, jitter(c.manager.config.ReportInterval))
	}
}

// followChanges applies the document changes after a store revision. If a watch ends or
// stops delivering, followChanges opens a new one at the last revision. It returns when the
// platform no longer has the changes after that revision, so that all documents must be
// read again.
func (c *collector) followChanges(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		w, err := c.manager.store.Watch(ctx, documentPrefix, after)
		if fault.Is(err, fault.Conflict) {
			return
		}
		if err == nil {
			after = c.applyWatch(ctx, w, after)
			w.Close()
		}
		wait(ctx, jitter(c.manager.config.ReportInterval))
	}
}

// applyWatch applies the changes of one watch until it fails, and returns the last store
// revision received.
func (c *collector) applyWatch(ctx context.Context, w objectapi.Watch, after int64) int64 {
	m := c.manager
	for {
		change, err := w.Next(ctx)
		if err != nil {
			return after
		}
		m.recordContact()
		after = max(after, change.Revision)
		if change.Bookmark {
			m.documents.applyAll(nil, change.Revision)
			continue
		}
		r := revisionOf(change.Object, m.config.Now())
		r.Version, r.Deleted = change.Revision, change.Deleted
		m.documents.applyAll([]documentRevision{r}, change.Revision)
	}
}

// readListPeriodically reads the instance list when it is this collector's turn, or when no
// collector has read it recently, so that the read rate does not grow with the number of
// collectors. If none of the other listed daemons is live, it checks at the slower rate of
// direct reads.
func (c *collector) readListPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		if c.listDue(time.Now()) && c.manager.readList(ctx) == nil {
			c.recordListRead(time.Now())
		}
		if c.onlySelfLive() {
			wait(ctx, jitter(c.manager.config.DirectReadInterval))
		} else {
			wait(ctx, c.manager.config.ListInterval)
		}
	}
}

// onlySelfLive reports whether other daemons are listed but none of them is live.
func (c *collector) onlySelfLive() bool {
	others := len(c.manager.current.Load().allMembers) > 1
	c.mu.Lock()
	defer c.mu.Unlock()
	return others && len(c.liveDaemons()) == 1
}

func (c *collector) listDue(now time.Time) bool {
	if c.listAge() > staleListFactor*c.manager.config.ListInterval {
		return true
	}
	turn, count := c.listReadTurn()
	slot := now.UnixNano() / int64(c.manager.config.ListInterval)
	return slot%int64(count) == int64(turn)
}

// listReadTurn returns this collector's position by ID among the live collectors, and
// their number.
func (c *collector) listReadTurn() (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	turn, count := 0, 1
	for id, p := range c.peers {
		if !c.isLive(p) {
			continue
		}
		count++
		if id < c.manager.config.Self.ID {
			turn++
		}
	}
	return turn, count
}

// listAge returns the time since the last known read of the instance list by any collector.
func (c *collector) listAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.listReadAt)
}

func (c *collector) recordListRead(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.listReadAt) {
		c.listReadAt = at
	}
}
