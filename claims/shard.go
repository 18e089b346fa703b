package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Limits for the batches of a shard.
const (
	maxClaimsPerBatch  = 256                    // claims in one entry
	maxAppendAttempts  = 8                      // appends per batch when other daemons append too
	batchTimeout       = 4 * time.Second        // one batch with all its append attempts
	busyAppendInterval = 200 * time.Millisecond // a shard is busy if its last append was within this time
	maxBusyWait        = 50 * time.Millisecond  // longest wait of a claim for its batch in a busy shard
	maintainTimeout    = 5 * time.Second        // compaction and deletions after a batch
)

// shard processes the claims of one shard in batches. Its goroutine runs only while
// claims are waiting.
type shard struct {
	manager *Manager
	service string
	number  int
	journal journal

	mu       sync.Mutex
	waiting  []*pendingClaim
	flushing bool
	lastUsed time.Time

	// Used by the flushing goroutine only.
	state      *journalState // nil if the journal must be loaded first
	lastAppend time.Time
}

// pendingClaim is a claim that waits for its batch.
type pendingClaim struct {
	grant  grant
	result chan error // buffered
}

// claim returns nil if the claim is granted to g.Nonce, and otherwise an error as
// documented at Claimer.
func (s *shard) claim(ctx context.Context, g grant) error {
	p := &pendingClaim{grant: g, result: make(chan error, 1)}
	s.enqueue(p)
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return journalUnavailable(ctx.Err())
	}
}

func (s *shard) enqueue(p *pendingClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = s.manager.now()
	s.waiting = append(s.waiting, p)
	if !s.flushing {
		s.flushing = true
		go s.flush()
	}
}

// flush processes batches until no claim is waiting.
func (s *shard) flush() {
	for {
		time.Sleep(s.batchDelay())
		batch := s.nextBatch()
		if batch == nil {
			return
		}
		s.processBatch(batch)
		s.maintain()
	}
}

// batchDelay returns how long claims wait for a batch. The delay is longer shortly after
// an append, so that a busy shard writes fewer objects.
func (s *shard) batchDelay() time.Duration {
	elapsed := s.manager.now().Sub(s.lastAppend)
	busyDelay := time.Duration(float64(s.manager.maxBusyWait) * (1 - float64(elapsed)/float64(busyAppendInterval)))
	return max(s.manager.config.BatchInterval, busyDelay)
}

func (s *shard) nextBatch() []*pendingClaim {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(len(s.waiting), maxClaimsPerBatch)
	if count == 0 {
		s.flushing = false
		return nil
	}
	batch := s.waiting[:count:count]
	s.waiting = s.waiting[count:]
	return batch
}

// processBatch sends a result for every claim of the batch.
func (s *shard) processBatch(batch []*pendingClaim) {
	ctx, cancel := context.WithTimeout(s.manager.shardCtx, batchTimeout)
	defer cancel()
	for attempt := 0; attempt < maxAppendAttempts && len(batch) > 0; attempt++ {
		if err := s.load(ctx); err != nil {
			failAll(batch, err)
			return
		}
		batch = s.resolveGranted(batch)
		grants := firstGrantPerKey(batch)
		if len(grants) == 0 {
			return
		}
		if err := s.append(ctx, grants); err != nil {
			failAll(batch, err)
			return
		}
	}
	failAll(batch, fault.New(fault.Conflict, "other daemons appended to the journal on every attempt", ""))
}

// append writes one entry. If another daemon wrote an entry first, or it is unknown whether
// the write took effect, the state is discarded and the journal is loaded again before the
// next append.
func (s *shard) append(ctx context.Context, grants []grant) error {
	m := s.manager
	e := entry{Writer: m.view.Self().ID, Nonce: rand.Uint64(), Grants: grants}
	object, err := s.journal.append(ctx, s.state.next, e)
	switch {
	case err == nil:
		s.state.addEntry(object, grants)
		s.lastAppend = m.now()
		m.count(func(c *Counters) { c.Appends++; c.AppendedClaims += int64(len(grants)) })
		return nil
	case fault.Is(err, fault.Conflict):
		m.count(func(c *Counters) { c.AppendConflicts++ })
		m.log.Log(event.ClaimShardConflict, event.F("service", s.service), event.F("shard", s.number))
		s.state = nil
		return nil
	}
	s.state = nil
	m.count(func(c *Counters) { c.AppendFailures++ })
	m.log.Log(event.ClaimAppendFailed, event.F("service", s.service), event.F("shard", s.number), event.Err(err))
	return err
}

func (s *shard) load(ctx context.Context) error {
	if s.state != nil {
		return nil
	}
	state, err := loadJournalState(ctx, s.journal)
	if err != nil {
		return err
	}
	s.state = state
	s.manager.count(func(c *Counters) { c.JournalLoads++ })
	s.manager.log.Log(event.ClaimShardLoaded, event.F("service", s.service), event.F("shard", s.number), event.F("entries", state.next-1))
	return nil
}

// resolveGranted sends the results of the claims whose key has a grant and returns the
// remaining claims.
func (s *shard) resolveGranted(batch []*pendingClaim) []*pendingClaim {
	var ungranted []*pendingClaim
	now := s.manager.now()
	for _, p := range batch {
		found, ok := s.state.findGrant(p.grant.Key, now, s.manager.config.Retention)
		if !ok {
			ungranted = append(ungranted, p)
			continue
		}
		p.result <- resultFor(found, p.grant)
	}
	return ungranted
}

// resultFor returns the result of a claim whose key has a grant. The same nonce means that
// the grant was made for this claim, either just now or by an earlier attempt whose
// response was lost.
func resultFor(found, claimed grant) error {
	switch {
	case found.Nonce == claimed.Nonce:
		return nil
	case found.Fingerprint != claimed.Fingerprint:
		return fault.New(fault.Conflict, "the request key was used for another request",
			"use a new key for each intended effect", fault.WithOutcome(fault.NotRun))
	}
	return fault.New(fault.Claimed, "a request with this key was sent before",
		"look up whether its effect took place", fault.WithOutcome(fault.Unknown))
}

func firstGrantPerKey(batch []*pendingClaim) []grant {
	seen := make(map[string]bool, len(batch))
	var grants []grant
	for _, p := range batch {
		if !seen[p.grant.Key] {
			seen[p.grant.Key] = true
			grants = append(grants, p.grant)
		}
	}
	return grants
}

func failAll(batch []*pendingClaim, err error) {
	for _, p := range batch {
		p.result <- journalUnavailable(err)
	}
}

func journalUnavailable(cause error) error {
	return fault.Wrap(cause, fault.Unavailable, "the claim journal can't be written",
		"retry with the same key", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

// maintain compacts the journal if it is long and deletes a few obsolete objects.
func (s *shard) maintain() {
	if s.state == nil {
		return
	}
	m := s.manager
	ctx, cancel := context.WithTimeout(m.shardCtx, maintainTimeout)
	defer cancel()
	if len(s.state.entries) >= compactionThreshold {
		err := s.state.compact(ctx, s.journal, m.view.Self().ID, m.now(), m.config.Retention)
		if err != nil {
			s.state = nil
			return
		}
		m.count(func(c *Counters) { c.Compactions++ })
		m.log.Log(event.ClaimShardCompacted, event.F("service", s.service), event.F("shard", s.number), event.F("through", s.state.head.Through))
	}
	s.state.deleteObsolete(ctx, s.journal)
}
