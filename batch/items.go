package batch

import (
	"context"
	"encoding/json"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// items returns a batch's items, from its parts if it has any.
func (m *Manager) items(ctx context.Context, job Job) ([]Item, error) {
	if len(job.Items) > 0 {
		return job.Items, nil
	}
	var items []Item
	for i := range job.Parts {
		o, err := m.store.Get(ctx, partKey(job.ID, i))
		if err != nil {
			return nil, unsure(err)
		}
		part, err := decodeItems(o.Value)
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "items of batch "+job.ID+" can't be read", "report this defect")
		}
		items = append(items, part...)
	}
	return items, nil
}

// Body returns the body of an item.
func (m *Manager) Body(ctx context.Context, id, item string) ([]byte, error) {
	k, err := m.find(ctx, id)
	if err != nil {
		return nil, err
	}
	job := m.jobOf(k)
	if len(job.Items) == 0 {
		if body, ok := m.runnersBody(ctx, job, item); ok {
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
	return nil, fault.New(fault.NotFound, "the batch has no item "+item, "check its id")
}

func bodyOf(items []Item, id string) ([]byte, bool) {
	for _, i := range items {
		if i.ID == id {
			return i.Body, true
		}
	}
	return nil, false
}

// runnersBody asks the daemons that probably hold a batch's items for a body.
func (m *Manager) runnersBody(ctx context.Context, job Job, item string) ([]byte, bool) {
	peers := m.members()
	for i, id := range m.candidates(job, peers) {
		if i >= askedReaders {
			break
		}
		if id == m.self || peers[id] == "" {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, peerLimit)
		conn, err := m.conns.Conn(limited, peers[id])
		if err == nil {
			var answer *batchpb.BodyAnswer
			answer, err = batchpb.NewDRPCBatchClient(conn).Body(limited, &batchpb.BodyRequest{Id: job.ID, Item: item})
			if err == nil && answer.Known {
				cancel()
				return answer.Body, true
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
