package batch

import (
	"context"
	"encoding/json"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// items returns a batch's items, read from its parts if the head does not hold them.
func (m *Manager) items(ctx context.Context, job Job) ([]Item, error) {
	if len(job.Items) > 0 {
		return job.Items, nil
	}
	var items []Item
	for i := range job.Parts {
		o, err := m.store.Get(ctx, partKey(job.ID, i))
		if err != nil {
			return nil, storeUnavailable(err)
		}
		part, err := decodeItems(o.Value)
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "items of batch "+job.ID+" can't be decoded", "report this defect")
		}
		items = append(items, part...)
	}
	return items, nil
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
	items, err := m.items(ctx, job)
	if err != nil {
		return nil, err
	}
	if body, ok := bodyOf(items, item); ok {
		return body, nil
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

func decodeItems(value []byte) ([]Item, error) {
	var items []Item
	err := json.Unmarshal(value, &items)
	return items, err
}
