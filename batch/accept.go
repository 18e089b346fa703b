package batch

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	storePause = 150 * time.Millisecond // between two tries of a write; doubled maxBackoff times
	maxBackoff = 2
)

// Accept stores a batch. After a nil error the batch is kept and will run. An error with
// outcome fault.NotRun says that no part of it runs or ever will.
func (m *Manager) Accept(ctx context.Context, job Job) error {
	if err := job.Validate(); err != nil {
		return err
	}
	if m.knows(job.ID) {
		return nil
	}
	unsettled := false
	if host := m.hostOf(job); host != m.self {
		err := m.hostElsewhere(ctx, host, job)
		if err == nil {
			return nil
		}
		// A host that did not answer may have stored the batch or may do so later: the
		// write below finds it, but if that fails too nothing is promised.
		unsettled = fault.OutcomeOf(err) != fault.NotRun
	}
	return m.acceptHere(ctx, job, unsettled)
}

// acceptHere stores a batch that this daemon will run. unsettled says that another daemon
// may have stored it.
func (m *Manager) acceptHere(ctx context.Context, job Job, unsettled bool) error {
	job.Owner, job.Accepted = m.self, time.Now()
	w := &acceptance{Manager: m, job: job, unsettled: unsettled}
	return w.run(ctx)
}

func (m *Manager) isDraining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining
}

func (m *Manager) knows(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.jobs[id]
	return k != nil && k.job.ID != ""
}

// acceptance is the writing of one batch.
type acceptance struct {
	*Manager

	job       Job
	unsettled bool // a write may have taken effect or may do so later
}

func (w *acceptance) run(ctx context.Context) error {
	var last error
	for try := 0; ctx.Err() == nil; try++ {
		done, err := w.write(ctx)
		if done {
			return nil
		}
		if fault.Is(err, fault.Invalid) {
			return err
		}
		last = err
		clock.Sleep(ctx, storePause<<min(try, maxBackoff))
	}
	if w.unsettled {
		return fault.Wrap(last, fault.Ambiguous, "the batch may have been accepted", "submit it again with the same id",
			fault.WithOutcome(fault.Unknown)) // whatever the last try met
	}
	return fault.Wrap(last, fault.Unavailable, "the batch could not be stored", "submit it again",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

// write makes one try to store the batch. An object that exists means that it is accepted.
func (w *acceptance) write(ctx context.Context) (bool, error) {
	head, parts, err := w.job.encode()
	if err != nil {
		return false, err
	}
	for i, part := range parts {
		if _, err := w.store.Create(ctx, partKey(w.job.ID, i), part); err != nil && !fault.Is(err, fault.Conflict) {
			return false, err // without its head a part is nothing
		}
	}
	w.job.Parts = len(parts)
	created, err := w.store.Create(ctx, jobKey(w.job.ID), head)
	switch {
	case err == nil:
		w.log.Log(event.BatchAccepted, event.F("batch", w.job.ID), event.F("step", w.job.Step),
			event.F("items", len(w.job.Items)), event.F("needed_groups", w.job.GroupCount), event.F("version", created.Version))
		w.begin()
		return true, nil
	case fault.Is(err, fault.Conflict):
		return true, nil
	case fault.Is(err, fault.Ambiguous):
		w.unsettled = true
	}
	return false, err
}

// begin starts a batch that this daemon has just stored. It is new: nothing is listed.
func (w *acceptance) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.learn(w.job)
	if k.run == nil && !k.starting && !k.ended && !w.draining {
		k.run = w.start(w.job, k.log, w.carried(w.job))
	}
}
