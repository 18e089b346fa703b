package fakeengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	keptCacheEvents = 4096
	cacheEventGap   = 16 // each such event is lost
)

// CacheEvent says that a block of a prompt prefix was cached or evicted.
type CacheEvent struct {
	Sequence int64  `json:"sequence"` // grows by 1; a gap is an event that was lost
	Block    uint64 `json:"block"`    // hash of the prompt up to the block's end
	Stored   bool   `json:"stored"`   // false: evicted

	at time.Time
}

// cacheEvents keeps the newest cache events.
type cacheEvents struct {
	next int64
	kept []CacheEvent
}

func (c *cacheEvents) add(block uint64, stored bool) {
	c.next++
	if c.next%cacheEventGap == 0 {
		return
	}
	c.kept = append(c.kept, CacheEvent{Sequence: c.next, Block: block, Stored: stored, at: time.Now()})
	if len(c.kept) > keptCacheEvents {
		c.kept = append([]CacheEvent(nil), c.kept[len(c.kept)-keptCacheEvents/2:]...)
	}
}

// after returns the events after a sequence number that are at least as old as lag.
func (c *cacheEvents) after(sequence int64, now time.Time, lag time.Duration) []CacheEvent {
	published := []CacheEvent{}
	for _, e := range c.kept {
		if e.Sequence > sequence && now.Sub(e.at) >= lag {
			published = append(published, e)
		}
	}
	return published
}

// CacheEvents returns the published cache events after a sequence number: late by the
// report lag and with gaps.
func (e *Engine) CacheEvents(after int64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.events.after(after, time.Now(), e.config.ReportLag)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	_ = json.NewEncoder(w).Encode(e.CacheEvents(after))
}
