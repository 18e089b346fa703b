package usage

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/usage/usagepb"
)

const (
	// receiverCount is the number of other daemons that keep this daemon's counts.
	receiverCount = 2
	// sendTimeout bounds one message. A daemon that does not respond in time is passed over for
	// minFailedTime, doubled with each further time up to maxFailedTime.
	sendTimeout   = 300 * time.Millisecond
	minFailedTime = 2 * time.Second
	maxFailedTime = 16 * time.Second
)

// receiver is what this daemon knows about a daemon to which it sends counts. Times are of the
// boot-time clock.
type receiver struct {
	address     string
	incarnation int64         // that confirmed the counts; 0 if none did
	confirmed   uint64        // sequence number up to which it has the counts
	sending     bool          // a message is in flight
	waiting     bool          // counts became due while a message was in flight
	failedUntil time.Duration // passed over until then
	failedTime  time.Duration // last time for which it was passed over
}

// receivers holds the receivers by the ID of the daemon.
type receivers struct {
	recheck chan struct{} // signals that there may be more to send before the next change

	mu   sync.Mutex
	byID map[string]*receiver
}

// choose returns the first responsive daemons of the order other than self that have no message in
// flight and lack counts, and marks them as being sent to. A daemon that does not respond takes a place
// until its message has failed; the messages to the others do not wait for it.
func (r *receivers) choose(order []string, members map[string]string, self string, sequence uint64, now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byID {
		if members[id] == "" {
			delete(r.byID, id)
		}
	}
	var chosen []string
	places := receiverCount
	for _, id := range order {
		if places == 0 {
			break
		}
		if id == self {
			continue
		}
		known := r.byID[id]
		if known == nil || known.address != members[id] {
			known = &receiver{address: members[id]}
			r.byID[id] = known
		}
		if now < known.failedUntil {
			continue
		}
		places--
		switch {
		case known.confirmed >= sequence:
		case known.sending:
			known.waiting = true
		default:
			known.sending, known.waiting = true, false
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// failed returns the number of receivers that are passed over.
func (r *receivers) failed(now time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, known := range r.byID {
		if now < known.failedUntil {
			n++
		}
	}
	return n
}

// requestCheck causes the receivers to be chosen again at once.
func (r *receivers) requestCheck() {
	select {
	case r.recheck <- struct{}{}:
	default:
	}
}

// get returns a copy of a receiver.
func (r *receivers) get(id string) receiver {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byID[id]; known != nil {
		return *known
	}
	return receiver{}
}

// recordFailure records that a receiver did not respond to the message that was sent to it.
func (r *receivers) recordFailure(id string, sent receiver, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.byID[id]; known != nil && known.address == sent.address {
		known.sending = false
		known.failedTime = min(max(minFailedTime, 2*known.failedTime), maxFailedTime)
		known.failedUntil = now + known.failedTime
	}
}

// recordAnswer records the answer to the counts up to a sequence number that the receiver, as it was
// when they were sent, had not confirmed. It reports whether the receiver lacks earlier counts because
// it was restarted, and whether more counts are due.
func (r *receivers) recordAnswer(id string, sent receiver, sequence uint64, answer *usagepb.UpdateAnswer) (restarted, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byID[id]
	if known == nil || known.address != sent.address {
		return false, false
	}
	restarted = sent.confirmed > 0 && sent.incarnation != answer.Incarnation
	known.sending, known.failedTime, known.incarnation = false, 0, answer.Incarnation
	switch {
	case restarted:
		known.confirmed = 0
	case answer.Complete:
		known.confirmed = sequence
	}
	return restarted, restarted || known.waiting
}

// sendChanges sends counts a moment after a change until ctx ends.
func (m *Manager) sendChanges(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	check := time.NewTimer(checkInterval)
	defer check.Stop()
	var due <-chan time.Time // when counts that changed are sent
	changed := m.Recorder.changed
	for {
		select {
		case <-ctx.Done():
			// The counts of the last moment before a planned stop. Each message ends after sendTimeout.
			if m.Recorder.hasRecent() {
				m.sendDue(context.WithoutCancel(ctx), &group)
			}
			return
		case <-changed:
			due, changed = time.After(delayFor(len(m.Members()))), nil
			continue
		case <-due:
			due, changed = nil, m.Recorder.changed
			select {
			case <-changed: // it is among the counts that are sent now
			default:
			}
		case <-m.receivers.recheck:
		case <-check.C:
		}
		if !m.Recorder.hasRecent() {
			continue // the next change starts the checks again
		}
		check.Reset(checkInterval)
		m.sendDue(ctx, &group)
	}
}

// sendDue begins to send the receivers the counts that they lack.
func (m *Manager) sendDue(ctx context.Context, sending *sync.WaitGroup) {
	order, members := m.order()
	for _, id := range m.receivers.choose(order, members, m.Self, m.Recorder.lastSequence(), m.Clock.boot()) {
		sending.Go(func() { m.send(ctx, id) })
	}
}

// send sends a receiver the counts that it has not confirmed. Each count is complete in itself, so
// that a repeated or late message does no harm.
func (m *Manager) send(ctx context.Context, id string) {
	to := m.receivers.get(id)
	changed, sequence := m.Recorder.changedSince(to.confirmed)
	var encoder tableEncoder
	for window, counts := range changed {
		encoder.add(window, m.counterID(), counts)
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	answer, err := m.remote.update(ctx, to.address, &usagepb.UpdateRequest{Table: encoder.table()})
	if err != nil {
		m.receivers.recordFailure(id, to, m.Clock.boot())
		m.Log.Log(event.UsageReceiverUnresponsive, event.F("member", id), event.Err(err))
		m.receivers.requestCheck()
		return
	}
	restarted, more := m.receivers.recordAnswer(id, to, sequence, answer)
	if restarted {
		m.Log.Log(event.UsageReceiverRestarted, event.F("member", id))
	}
	if more {
		m.receivers.requestCheck()
	}
}
