package batch

import (
	"bytes"
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	storeRetryDelay   = 150 * time.Millisecond // delay between write attempts; doubled up to maxRetryDoublings times
	maxRetryDoublings = 2

	// smallPartBytes is the size up to which a part is written beside any number of others. Of the larger ones
	// maxLargeWrites are: each is held several times while it is encoded and sent.
	smallPartBytes = 128 << 10
	maxLargeWrites = 2
)

// Accept stores a batch. A nil error means that the batch is stored and will run. An error with
// outcome fault.NotRun means that no part of it runs or ever will. memory holds the memory of its items; if
// the batch runs on this daemon, that is left with an empty holder and the run has the bytes.
func (m *Manager) Accept(ctx context.Context, job Job, memory *connlimit.Holder) error {
	if err := job.Validate(); err != nil {
		return err
	}
	if m.isKnown(job.ID) {
		return m.checkOwner(ctx, job)
	}
	mayBeStored := false
	if owner := m.chooseOwner(job); owner != m.self {
		err := m.forward(ctx, owner, job)
		if err == nil || fault.Is(err, fault.Forbidden) {
			return err
		}
		// An owner that did not respond may have stored the batch or may do so later. The write
		// below finds the stored batch; if that write fails too, the outcome is unknown.
		mayBeStored = fault.OutcomeOf(err) != fault.NotRun
	}
	return m.acceptLocally(ctx, job, memory, mayBeStored)
}

// acceptLocally stores a batch that this daemon will run. mayBeStored means that another daemon
// may have stored it already.
func (m *Manager) acceptLocally(ctx context.Context, job Job, memory *connlimit.Holder, mayBeStored bool) error {
	job.Owner, job.AcceptedAt = m.self, time.Now()
	defer m.beginAccepting(job.ID)()
	a := &acceptance{Manager: m, job: job, memory: memory, mayBeStored: mayBeStored}
	return a.run(ctx)
}

// beginAccepting records that a submission is being stored, until the returned function is called. Failure: the mirror
// delivered the batch before its submission had started it, so that this daemon took it over from itself: it read
// all items once more, and found no room for them beside those of the submission.
func (m *Manager) beginAccepting(id string) (end func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepting[id]++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.accepting[id]--; m.accepting[id] == 0 {
			delete(m.accepting, id)
		}
	}
}

// checkOwner returns an error if the batch with the job's ID belongs to another organisation.
func (m *Manager) checkOwner(ctx context.Context, job Job) error {
	if job.Organisation == "" {
		return nil
	}
	owner, err := m.Organisation(ctx, job.ID)
	if err != nil || owner == job.Organisation {
		return err
	}
	return fault.New(fault.Forbidden, "batch "+job.ID+" belongs to another organisation", "submit the batch under another id", fault.WithOutcome(fault.NotRun))
}

// Organisation returns the organisation that submitted a batch, "" if none did.
func (m *Manager) Organisation(ctx context.Context, id string) (string, error) {
	b, err := m.find(ctx, id)
	if err != nil {
		return "", err
	}
	return m.jobOf(b).Organisation, nil
}

func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

func (m *Manager) isKnown(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.batches[id]
	return b != nil && b.job.ID != ""
}

// acceptance is the state of storing one batch.
type acceptance struct {
	*Manager

	job         Job
	memory      *connlimit.Holder // of the items
	storedParts int               // parts that the store has
	mayBeStored bool              // a write may have taken effect or may do so later
}

func (a *acceptance) run(ctx context.Context) error {
	// The error if ctx ends before the first attempt: the client has left, or its deadline passed
	// while the batch was decoded.
	lastErr := fault.New(fault.Canceled, "no time was left to store it", "")
	for attempt := 0; ctx.Err() == nil; attempt++ {
		done, err := a.write(ctx)
		if done {
			return nil
		}
		if fault.Is(err, fault.Invalid) || fault.Is(err, fault.Forbidden) {
			return err
		}
		lastErr = err
		clock.Sleep(ctx, storeRetryDelay<<min(attempt, maxRetryDoublings))
	}
	if a.mayBeStored {
		return fault.Wrap(lastErr, fault.Ambiguous, "the batch may have been accepted", "submit it again with the same id",
			fault.WithOutcome(fault.Unknown)) // whatever the outcome of the last attempt
	}
	return fault.Wrap(lastErr, fault.Unavailable, "the batch could not be stored", "submit it again",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

// write makes one attempt to store the batch. An existing object means that it was accepted before.
func (a *acceptance) write(ctx context.Context) (bool, error) {
	a.job.Parts = 0
	head, hasItems := a.job.encodeHead()
	if !hasItems {
		if err := a.writeParts(ctx); err != nil {
			return false, err // parts without a head are ignored
		}
		a.job.Parts = a.storedParts
		head, _ = a.job.encodeHead()
	}
	created, err := a.store.Create(ctx, jobKey(a.job.ID), head)
	switch {
	case err == nil:
		a.log.Log(event.BatchAccepted, event.F("batch", a.job.ID), event.F("step", a.job.Step),
			event.F("items", len(a.job.Items)), event.F("needed_groups", a.job.GroupCount), event.F("version", created.Version))
		a.startRun()
		return true, nil
	case fault.Is(err, fault.Conflict):
		a.mayBeStored = true
		err := a.checkOwner(ctx, a.job)
		return err == nil, err
	case fault.Is(err, fault.Ambiguous):
		a.mayBeStored = true
	}
	return false, err
}

// writeParts stores the parts that the store does not have yet.
func (a *acceptance) writeParts(ctx context.Context) error {
	a.job.PartFormat = newestPartFormat
	for n, part := range a.job.parts() {
		if n < a.storedParts {
			continue
		}
		if err := a.writePart(ctx, n, part); err != nil {
			return err
		}
		a.storedParts = n + 1
	}
	return nil
}

func (a *acceptance) writePart(ctx context.Context, n int, part []byte) error {
	if len(part) > smallPartBytes {
		select {
		case a.largeWrites <- struct{}{}:
			defer func() { <-a.largeWrites }()
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Canceled, "no time was left to store it", "")
		}
	}
	_, err := a.store.Create(ctx, a.job.partKey(n), part)
	if fault.Is(err, fault.Conflict) {
		return a.checkPart(ctx, n, part)
	}
	return err
}

// checkPart returns an error if a part that is stored already has other items. Failure: another submission
// with the same ID, perhaps of another organisation, stored only its parts; their items must not run for this one.
func (a *acceptance) checkPart(ctx context.Context, n int, own []byte) error {
	stored, err := a.store.Get(ctx, a.job.partKey(n))
	if err != nil || bytes.Equal(stored.Value, own) {
		return err
	}
	return fault.New(fault.Forbidden, "batch "+a.job.ID+" was submitted with other items", "submit the batch under another id", fault.WithOutcome(fault.NotRun))
}

// startRun starts a batch that this daemon has just stored. A new batch has no results yet. One that has ended
// meanwhile, or that this daemon leaves to others, needs no items here.
func (a *acceptance) startRun() {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.addBatch(a.job)
	switch {
	case b.run != nil, b.starting:
	case b.ended, a.draining:
		b.dropItems()
	default:
		b.run = a.start(a.job, b.log, a.carriedOver(a.job), a.memory.Transfer())
	}
}
