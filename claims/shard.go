package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Limits of a shard's work.
const (
	maxBatch        = 256                    // claims in one entry
	maxRounds       = 8                      // appends of a batch that lost against other keepers
	batchTimeout    = 4 * time.Second        // one batch, its rounds included
	busyGap         = 200 * time.Millisecond // appends closer than this make a shard busy
	busyWait        = 50 * time.Millisecond  // longest wait of a claim in a busy shard
	maintainTimeout = 5 * time.Second        // compaction and sweeping after a batch
)

// shard grants the claims of one shard, a batch at a time. A goroutine runs while
// claims wait.
type shard struct {
	manager *Manager
	service string
	number  int
	journal journal

	mu       sync.Mutex
	waiting  []*pending
	flushing bool
	lastUsed time.Time

	// Used by the flushing goroutine only.
	ledger     *ledger // nil: load first
	lastAppend time.Time
}

// pending is a claim that waits for its batch.
type pending struct {
	grant  grant
	result chan error // buffered
}

// claim grants the claim to g.Nonce or says why not.
func (s *shard) claim(ctx context.Context, g grant) error {
	p := &pending{grant: g, result: make(chan error, 1)}
	s.enqueue(p)
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return unavailable(ctx.Err())
	}
}

func (s *shard) enqueue(p *pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = s.manager.now()
	s.waiting = append(s.waiting, p)
	if !s.flushing {
		s.flushing = true
		go s.flush()
	}
}

// flush runs batches until no claim waits.
func (s *shard) flush() {
	for {
		time.Sleep(s.batchWait())
		batch := s.take()
		if batch == nil {
			return
		}
		s.grantBatch(batch)
		s.maintain()
	}
}

// batchWait is how long claims wait for others: longer while appends follow each other
// closely, so that a busy shard writes fewer objects.
func (s *shard) batchWait() time.Duration {
	since := s.manager.now().Sub(s.lastAppend)
	busy := time.Duration(float64(s.manager.busyWait) * (1 - float64(since)/float64(busyGap)))
	return max(s.manager.config.BatchInterval, busy)
}

func (s *shard) take() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := min(len(s.waiting), maxBatch)
	if count == 0 {
		s.flushing = false
		return nil
	}
	batch := s.waiting[:count:count]
	s.waiting = s.waiting[count:]
	return batch
}

// grantBatch answers every claim of the batch.
func (s *shard) grantBatch(batch []*pending) {
	ctx, cancel := context.WithTimeout(s.manager.background, batchTimeout)
	defer cancel()
	for round := 0; round < maxRounds && len(batch) > 0; round++ {
		if err := s.load(ctx); err != nil {
			refuseAll(batch, err)
			return
		}
		batch = s.answerKnown(batch)
		fresh := firstOfEachKey(batch)
		if len(fresh) == 0 {
			return
		}
		if err := s.append(ctx, fresh); err != nil {
			refuseAll(batch, err)
			return
		}
	}
	refuseAll(batch, fault.New(fault.Conflict, "other keepers kept appending", ""))
}

// append writes one entry. When another keeper was faster, or the entry may or may not
// exist, the ledger is dropped and the journal read again before the next append.
func (s *shard) append(ctx context.Context, grants []grant) error {
	m := s.manager
	e := entry{Writer: m.view.Self().ID, Nonce: rand.Uint64(), Grants: grants}
	object, err := s.journal.append(ctx, s.ledger.next, e)
	switch {
	case err == nil:
		s.ledger.appended(object, grants)
		s.lastAppend = m.now()
		m.count(func(c *Counters) { c.Appends++; c.Appended += int64(len(grants)) })
		return nil
	case fault.Is(err, fault.Conflict):
		m.count(func(c *Counters) { c.Conflicts++ })
		m.log.Log(event.ClaimShardConflict, event.F("service", s.service), event.F("shard", s.number))
		s.ledger = nil
		return nil
	}
	s.ledger = nil
	m.count(func(c *Counters) { c.Failures++ })
	m.log.Log(event.ClaimAppendFailed, event.F("service", s.service), event.F("shard", s.number), event.Err(err))
	return err
}

func (s *shard) load(ctx context.Context) error {
	if s.ledger != nil {
		return nil
	}
	l, err := loadLedger(ctx, s.journal)
	if err != nil {
		return err
	}
	s.ledger = l
	s.manager.count(func(c *Counters) { c.Loads++ })
	s.manager.log.Log(event.ClaimShardLoaded, event.F("service", s.service), event.F("shard", s.number), event.F("entries", l.next-1))
	return nil
}

// answerKnown answers the claims whose key is granted and returns the others.
func (s *shard) answerKnown(batch []*pending) []*pending {
	var unknown []*pending
	now := s.manager.now()
	for _, p := range batch {
		found, ok := s.ledger.find(p.grant.Key, now, s.manager.config.Retention)
		if !ok {
			unknown = append(unknown, p)
			continue
		}
		p.result <- compare(found, p.grant)
	}
	return unknown
}

// compare says what an earlier grant of the key means for a claim. The same nonce is
// the same claim, whose answer was lost on the way.
func compare(found, claimed grant) error {
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

func firstOfEachKey(batch []*pending) []grant {
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

func refuseAll(batch []*pending, err error) {
	for _, p := range batch {
		p.result <- unavailable(err)
	}
}

func unavailable(cause error) error {
	return fault.Wrap(cause, fault.Unavailable, "the claim journal can't be written",
		"retry with the same key", fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

// maintain compacts a long journal and deletes a few superfluous objects.
func (s *shard) maintain() {
	if s.ledger == nil {
		return
	}
	m := s.manager
	ctx, cancel := context.WithTimeout(m.background, maintainTimeout)
	defer cancel()
	if len(s.ledger.entries) >= compactEntries {
		err := s.ledger.compact(ctx, s.journal, m.view.Self().ID, m.now(), m.config.Retention)
		if err != nil {
			s.ledger = nil
			return
		}
		m.count(func(c *Counters) { c.Compactions++ })
		m.log.Log(event.ClaimShardCompacted, event.F("service", s.service), event.F("shard", s.number), event.F("through", s.ledger.head.Through))
	}
	s.ledger.sweep(ctx, s.journal)
}
