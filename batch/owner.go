package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	// itemsPerOwner is the number of items of a step that one daemon runs. A trainer with larger
	// steps has them distributed over more daemons in turn.
	itemsPerOwner = 256
	// forwardTimeout bounds the call that forwards a batch. An owner that does not respond is
	// skipped for minOwnerBackoff, doubled with each failure up to maxOwnerBackoff: a daemon
	// that is cut off from its peers stays a member as long as it can announce itself.
	forwardTimeout  = 700 * time.Millisecond
	minOwnerBackoff = 5 * time.Second
	maxOwnerBackoff = 5 * time.Minute
	// maxForwardBytes bounds the items of a batch that is forwarded, and maxLargeForwards the number of those over
	// smallPartBytes at a time: both daemons hold a forwarded batch several times, and the owner has read it
	// before it can refuse it.
	maxForwardBytes  = 2 << 20
	maxLargeForwards = 2
)

// chooseOwner chooses the daemon that runs a batch. Load pattern: the steps of one trainer follow
// each other on the same replicas. The daemon that ran the last step has connections to them,
// knows their load from its own requests and holds the completions of groups that are
// submitted again.
func (m *Manager) chooseOwner(job Job) string {
	owners := 1 + len(job.Items)/itemsPerOwner
	key := fmt.Sprintf("%s %d", job.Model, job.Step%int64(owners))
	members := largeEnough(m.members(), m.cores())
	m.mu.Lock()
	defer m.mu.Unlock()
	best, bestWeight := m.self, uint64(0)
	for id := range members {
		if time.Now().Before(m.ownerBackoffs[id].until) || id == m.self && m.draining {
			continue
		}
		if w := weight(key, id); w > bestWeight {
			best, bestWeight = id, w
		}
	}
	return best
}

// minCoreShare is the share of the processor time of the largest instance from which an instance is
// large enough to own batches.
const minCoreShare = 0.5

// largeEnough returns the daemons that own batches: those on the larger instances of a fleet. Load
// pattern: a step of 150 completions takes a tenth of a second of processor time to read, which lasts
// most of a second on an instance with a seventh of a core and delays each step of its trainer. Daemons
// whose processor time is unknown are large enough.
func largeEnough(members map[string]string, cores map[string]float64) map[string]string {
	largest := 0.0
	for id := range members {
		largest = max(largest, cores[id])
	}
	found := make(map[string]string, len(members))
	for id, address := range members {
		if cores[id] == 0 || cores[id] >= minCoreShare*largest {
			found[id] = address
		}
	}
	return found
}

// forward has another daemon store and run the batch. An error with outcome fault.NotRun means
// that the owner did not store it and never will.
func (m *Manager) forward(ctx context.Context, owner string, job Job) error {
	size := job.itemMemory()
	if size > maxForwardBytes {
		return notForwardedError("the batch is too large to be forwarded")
	}
	if size > smallPartBytes {
		select {
		case m.largeForwards <- struct{}{}:
			defer func() { <-m.largeForwards }()
		default:
			return notForwardedError("other batches are being forwarded")
		}
	}
	value, err := json.Marshal(job)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the batch can't be encoded for forwarding", "report this defect", fault.WithOutcome(fault.NotRun))
	}
	if len(value) > maxMessageBytes { // escapes make it longer than its items are
		return notForwardedError("the batch is too large to be forwarded")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	members := m.members() // called without m.mu: the mirror calls this manager with its own lock held
	conn, err := m.conns.Conn(ctx, members[owner])
	if err != nil {
		err = fault.Wrap(err, fault.Unavailable, "daemon "+owner+" can't be reached", "run the batch here", fault.WithOutcome(fault.NotRun))
	} else {
		_, err = batchpb.NewDRPCBatchClient(conn).Host(ctx, &batchpb.JobRequest{Id: job.ID, Json: value})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if fault.Is(err, fault.Forbidden) || fault.Is(err, fault.Overloaded) {
		return err // a response: the owner is not at fault
	}
	if err != nil {
		delay := min(max(minOwnerBackoff, 2*m.ownerBackoffs[owner].delay), maxOwnerBackoff)
		m.ownerBackoffs[owner] = ownerBackoff{until: time.Now().Add(delay), delay: delay}
		m.reportUnresponsive(owner)
		m.log.Log(event.BatchOwnerSkipped, event.F("batch", job.ID), event.F("host", owner), event.Err(err))
		return err
	}
	delete(m.ownerBackoffs, owner)
	m.log.Log(event.BatchForwarded, event.F("batch", job.ID), event.F("host", owner), event.F("members", len(members)))
	return nil
}

// notForwardedError is the error of a batch that this daemon keeps; the owner is not at fault.
func notForwardedError(reason string) error {
	return fault.New(fault.Overloaded, reason, "run the batch here", fault.WithOutcome(fault.NotRun))
}

// ownerBackoff is the period in which a daemon is not chosen as an owner.
type ownerBackoff struct {
	until time.Time
	delay time.Duration
}
