package fleet

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
)

const (
	fetchRounds  = 1000 // most messages of one fetch
	waitingPulls = 8    // peers that wait to be fetched from
)

// pull asks for a fetch from a peer that holds something newer. It is dropped while
// enough others wait; the next summary or report asks again.
func (m *Manager) pull(address string) {
	if address == "" {
		return
	}
	select {
	case m.pulls <- address:
	default:
	}
}

// pullAll fetches what pull asked for until ctx ends.
func (m *Manager) pullAll(ctx context.Context) {
	for {
		select {
		case address := <-m.pulls:
			m.fetch(ctx, address)
		case <-ctx.Done():
			return
		}
	}
}

// fetch takes over what a peer has newer.
func (m *Manager) fetch(ctx context.Context, address string) {
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return
	}
	client := fleetpb.NewDRPCFleetClient(conn)
	for range fetchRounds {
		list, _ := m.listSnapshot()
		callCtx, cancel := context.WithTimeout(ctx, m.config.MemberTimeout)
		answer, err := client.Fetch(callCtx, &fleetpb.FetchRequest{After: m.documents.head(), ListRevision: list.Revision})
		cancel()
		if err != nil {
			return
		}
		m.touch()
		m.counts.fetches.Add(1)
		if answer.List != nil {
			m.offerList(applyListChange(list, answer.List))
		}
		m.applyDocuments(answer.Documents, answer.Whole, answer.AsOf)
		if !answer.More {
			return
		}
	}
}

// Fetch returns what the caller does not have.
func (s *service) Fetch(_ context.Context, request *fleetpb.FetchRequest) (*fleetpb.FetchAnswer, error) {
	m := s.manager
	out := outbox{manager: m, sent: request.After, ahead: map[string]int64{}}
	update := &fleetpb.Update{}
	answer := &fleetpb.FetchAnswer{}
	answer.More = out.addDocuments(update)
	answer.Documents, answer.AsOf, answer.Whole = update.Documents, update.AsOf, update.Whole
	answer.List = m.listSince(request.ListRevision)
	return answer, nil
}
