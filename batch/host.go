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
	// itemsAHost is how many items of a step one daemon runs before a trainer's steps are
	// dealt to more daemons in turn.
	itemsAHost = 256
	// hostLimit bounds the question to host a batch; a daemon that does not answer is
	// passed over for shunTime, and twice as long each time: one that is cut off stays
	// listed while it can announce itself.
	hostLimit   = 700 * time.Millisecond
	shunTime    = 5 * time.Second
	maxShunTime = 5 * time.Minute
)

// hostOf chooses the daemon that runs a batch. Load pattern: one trainer's steps follow each
// other on the same replicas; the daemon that ran the last one has connections to them,
// knows their load from its own requests and holds the texts of groups that come back.
func (m *Manager) hostOf(job Job) string {
	hosts := 1 + len(job.Items)/itemsAHost
	key := fmt.Sprintf("%s %d", job.Model, job.Step%int64(hosts))
	members := m.members()
	m.mu.Lock()
	defer m.mu.Unlock()
	best, bestWeight := m.self, uint64(0)
	for id := range members {
		if time.Now().Before(m.shunned[id].until) || id == m.self && m.draining {
			continue
		}
		if w := weight(key, id); w > bestWeight {
			best, bestWeight = id, w
		}
	}
	return best
}

// hostElsewhere has another daemon store and run the batch. After an error with outcome
// fault.NotRun it did not and never will.
func (m *Manager) hostElsewhere(ctx context.Context, host string, job Job) error {
	value, err := json.Marshal(job)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "the batch can't be passed on", "report this defect", fault.WithOutcome(fault.NotRun))
	}
	ctx, cancel := context.WithTimeout(ctx, hostLimit)
	defer cancel()
	members := m.members() // not under the lock: the mirror calls this manager under its own
	conn, err := m.conns.Conn(ctx, members[host])
	if err != nil {
		err = fault.Wrap(err, fault.Unavailable, "host "+host+" can't be reached", "run the batch here", fault.WithOutcome(fault.NotRun))
	} else {
		_, err = batchpb.NewDRPCBatchClient(conn).Host(ctx, &batchpb.JobRequest{Id: job.ID, Json: value})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		pause := min(max(shunTime, 2*m.shunned[host].pause), maxShunTime)
		m.shunned[host] = shunning{until: time.Now().Add(pause), pause: pause}
		m.suspect(host)
		m.log.Log(event.BatchHostPassedOver, event.F("batch", job.ID), event.F("host", host), event.Err(err))
		return err
	}
	delete(m.shunned, host)
	m.log.Log(event.BatchForwarded, event.F("batch", job.ID), event.F("host", host), event.F("members", len(members)))
	return nil
}

// shunning is the time for which a daemon hosts nothing.
type shunning struct {
	until time.Time
	pause time.Duration
}
