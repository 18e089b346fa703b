package fleet

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

const (
	maxFetchMessages = 1000 // messages in one fetch
	maxQueuedFetches = 8    // peers queued for a fetch
)

// requestFetch queues a fetch from a peer that has newer data. If the queue is full, the
// request is discarded, because the next summary or report triggers it again.
func (m *Manager) requestFetch(address string) {
	if address == "" {
		return
	}
	select {
	case m.fetchRequests <- address:
	default:
	}
}

// runFetches processes the queued fetches until ctx ends.
func (m *Manager) runFetches(ctx context.Context) {
	for {
		select {
		case address := <-m.fetchRequests:
			m.fetch(ctx, address)
		case <-ctx.Done():
			return
		}
	}
}

// fetch gets newer documents and the newer instance list from a peer.
func (m *Manager) fetch(ctx context.Context, address string) {
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return
	}
	client := fleetpb.NewDRPCFleetClient(conn)
	for range maxFetchMessages {
		list, _ := m.listSnapshot()
		callCtx, cancel := context.WithTimeout(ctx, m.config.MemberTimeout)
		response, err := client.Fetch(callCtx, &fleetpb.FetchRequest{After: m.documents.head(), ListRevision: list.Revision})
		cancel()
		if err != nil {
			return
		}
		m.recordContact()
		m.counts.fetches.Add(1)
		if response.List != nil {
			m.applyList(applyListChange(list, response.List))
		}
		m.applyDocuments(response.Documents, response.Whole, response.AsOf)
		if !response.More {
			return
		}
	}
}

// Fetch returns the documents and the instance list that the caller does not have.
func (s *rpcServer) Fetch(_ context.Context, request *fleetpb.FetchRequest) (*fleetpb.FetchAnswer, error) {
	m := s.manager
	state := receiverState{manager: m, sentVersion: request.After, sentAhead: map[string]int64{}}
	update := &fleetpb.Update{}
	response := &fleetpb.FetchAnswer{}
	response.More = state.addDocuments(update)
	response.Documents, response.AsOf, response.Whole = update.Documents, update.AsOf, update.Whole
	response.List = m.listChangeSince(request.ListRevision)
	return response, nil
}
