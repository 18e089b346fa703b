package fakeengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	maxCacheEvents    = 4096
	lostEventInterval = 16 // every 16th event is lost
)

// CacheEvent reports that a block of a prompt prefix was cached or evicted.
type CacheEvent struct {
	Sequence int64  `json:"sequence"` // increases by 1; a gap means that an event was lost
	Block    uint64 `json:"block"`    // hash of the prompt up to the end of the block
	Stored   bool   `json:"stored"`   // true if cached, false if evicted

	recordedAt time.Time
}

// cacheEvents holds the most recent cache events.
type cacheEvents struct {
	lastSequence int64
	recent       []CacheEvent
}

func (c *cacheEvents) add(block uint64, stored bool) {
	c.lastSequence++
	if c.lastSequence%lostEventInterval == 0 {
		return
	}
	c.recent = append(c.recent, CacheEvent{Sequence: c.lastSequence, Block: block, Stored: stored, recordedAt: time.Now()})
	if len(c.recent) > maxCacheEvents {
		c.recent = append([]CacheEvent(nil), c.recent[len(c.recent)-maxCacheEvents/2:]...)
	}
}

// after returns the events after a sequence number whose age is at least lag.
func (c *cacheEvents) after(sequence int64, now time.Time, lag time.Duration) []CacheEvent {
	published := []CacheEvent{}
	for _, e := range c.recent {
		if e.Sequence > sequence && now.Sub(e.recordedAt) >= lag {
			published = append(published, e)
		}
	}
	return published
}

// CacheEvents returns the published cache events after a sequence number. Events are
// published after the report lag, and some are lost.
func (e *Engine) CacheEvents(after int64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.events.after(after, time.Now(), e.config.ReportLag)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	_ = json.NewEncoder(w).Encode(e.CacheEvents(after))
}
