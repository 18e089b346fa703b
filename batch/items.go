package batch

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// A part takes partMemoryFactor times the memory of its items while it is read and decoded, at most maxPartMemory.
const (
	partMemoryFactor = 4
	maxPartMemory    = partMemoryFactor * objectapi.MaxValueBytes
)

// loadItems returns a batch's items, read from its parts if the head does not hold them. It takes their memory
// before it reads them.
func (m *Manager) loadItems(ctx context.Context, job Job, memory *connlimit.Holder) ([]Item, error) {
	size := job.itemMemory()
	if len(job.Items) == 0 {
		size += min(partMemoryFactor*size, maxPartMemory)
	}
	if !memory.Take(size) {
		m.log.Log(event.BatchTakeoverDeferred, event.F("batch", job.ID), event.F("bytes", size))
		return nil, fault.New(fault.Overloaded, "the memory for batches is used up", "take the batch over later", fault.WithOutcome(fault.NotRun))
	}
	if len(job.Items) > 0 {
		return job.Items, nil
	}
	items := make([]Item, 0, job.total())
	err := m.readItems(ctx, job, func(item *Item) bool {
		items = append(items, *item)
		return true
	})
	return items, err
}

// readItems calls f for each item in the parts of a batch until f returns false. It holds one part at a time.
func (m *Manager) readItems(ctx context.Context, job Job, f func(*Item) bool) error {
	var reader itemReader
	for i := range job.Parts {
		o, err := m.store.Get(ctx, job.partKey(i))
		if err != nil {
			return storeUnavailable(err)
		}
		more, err := reader.read(o.Value, f)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "items of batch "+job.ID+" can't be decoded", "report this defect")
		}
		if !more {
			return nil
		}
	}
	reader.end(f)
	return nil
}

// Body returns the request body of an item.
func (m *Manager) Body(ctx context.Context, id, item string) ([]byte, error) {
	b, err := m.find(ctx, id)
	if err != nil {
		return nil, err
	}
	job := m.jobOf(b)
	if len(job.Items) == 0 {
		if body, ok := m.peerBody(ctx, job, item); ok {
			return body, nil
		}
	}
	body, found := bodyOf(job.Items, item)
	if len(job.Items) == 0 {
		err = m.readItems(ctx, job, func(stored *Item) bool {
			if found = stored.ID == item; found {
				body = stored.Body
			}
			return !found
		})
	}
	if err != nil || found {
		return body, err
	}
	return nil, fault.New(fault.NotFound, "unknown item "+item, "check its id")
}

func bodyOf(items []Item, id string) ([]byte, bool) {
	for _, i := range items {
		if i.ID == id {
			return i.Body, true
		}
	}
	return nil, false
}

// peerBody reads a body from the daemons most likely to hold the batch's items.
func (m *Manager) peerBody(ctx context.Context, job Job, item string) ([]byte, bool) {
	peers := m.members()
	for i, id := range m.candidates(job, peers) {
		if i >= maxPeersAsked {
			break
		}
		if id == m.self || peers[id] == "" {
			continue
		}
		peerCtx, cancel := context.WithTimeout(ctx, peerReadTimeout)
		conn, err := m.conns.Conn(peerCtx, peers[id])
		if err == nil {
			var resp *batchpb.BodyAnswer
			resp, err = batchpb.NewDRPCBatchClient(conn).Body(peerCtx, &batchpb.BodyRequest{Id: job.ID, Item: item})
			if err == nil && resp.Known {
				cancel()
				return resp.Body, true
			}
		}
		cancel()
	}
	return nil, false
}
