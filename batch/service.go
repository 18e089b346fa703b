package batch

import (
	"context"
	"encoding/json"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

// Register adds the manager's drpc service.
func (m *Manager) Register(mux drpc.Mux) error {
	return batchpb.DRPCRegisterBatch(mux, service{m})
}

// service implements the drpc service called by other daemons.
type service struct{ m *Manager }

// Host implements batchpb.DRPCBatchServer.
func (s service) Host(ctx context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	job, err := decodeJob(request.Json)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the batch can't be decoded", "report this defect", fault.WithOutcome(fault.NotRun))
	}
	if s.m.isDraining() {
		return nil, fault.New(fault.Draining, "this daemon is draining", "run the batch on the calling daemon", fault.WithOutcome(fault.NotRun))
	}
	memory := s.m.itemMemory.LastingHolder(0)
	defer memory.Release()
	if !memory.Take(job.itemMemory()) {
		return nil, fault.New(fault.Overloaded, "the memory for batches is used up", "run the batch on the calling daemon", fault.WithOutcome(fault.NotRun))
	}
	return &batchpb.Reply{}, s.m.acceptLocally(ctx, job, memory, false)
}

// Probe returns a function that checks whether the daemon at an address responds.
func Probe(conns peer.ConnProvider) func(ctx context.Context, address string) error {
	return func(ctx context.Context, address string) error {
		conn, err := conns.Conn(ctx, address)
		if err != nil {
			return err
		}
		_, err = batchpb.NewDRPCBatchClient(conn).Runs(ctx, &batchpb.JobRequest{})
		return err
	}
}

// Cancel implements batchpb.DRPCBatchServer.
func (s service) Cancel(_ context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.m.markEnded(request.Id)
	return &batchpb.Reply{}, nil
}

// Taken implements batchpb.DRPCBatchServer. The caller considered this daemon lost and runs the
// batch too, until it learns that this daemon runs it.
func (s service) Taken(_ context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	s.m.mu.Lock()
	b := s.m.batches[request.Id]
	s.m.mu.Unlock()
	if b != nil {
		b.log.markContested()
	}
	return &batchpb.Reply{}, nil
}

// notifyEnded notifies the daemons that may run a batch of its end, since their mirrors learn of
// it later.
func (m *Manager) notifyEnded(id string) {
	m.mu.Lock()
	b := m.batches[id]
	m.mu.Unlock()
	if b == nil {
		return
	}
	peers := m.members()
	for i, daemon := range m.candidates(m.jobOf(b), peers) {
		if i >= maxPeersAsked {
			return
		}
		if daemon == m.self || peers[daemon] == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, peerCallTimeout)
		if conn, err := m.conns.Conn(ctx, peers[daemon]); err == nil {
			// A daemon that does not respond learns of the end from its mirror.
			_, _ = batchpb.NewDRPCBatchClient(conn).Cancel(ctx, &batchpb.JobRequest{Id: id})
		}
		cancel()
	}
}

// Runs implements batchpb.DRPCBatchServer.
func (s service) Runs(_ context.Context, request *batchpb.JobRequest) (*batchpb.RunsAnswer, error) {
	return &batchpb.RunsAnswer{Running: s.m.IsRunning(request.Id)}, nil
}

// Results implements batchpb.DRPCBatchServer.
func (s service) Results(ctx context.Context, request *batchpb.ResultsRequest) (*batchpb.ResultsAnswer, error) {
	s.m.mu.Lock()
	b := s.m.batches[request.Id]
	s.m.mu.Unlock()
	if b == nil {
		return &batchpb.ResultsAnswer{}, nil
	}
	page, runs, err := s.m.localPage(ctx, b, int(request.After), time.Duration(request.WaitMs)*time.Millisecond)
	if !runs || err != nil {
		return &batchpb.ResultsAnswer{}, err
	}
	return &batchpb.ResultsAnswer{Known: true, Json: encodeJSON(page)}, nil
}

// Body implements batchpb.DRPCBatchServer.
func (s service) Body(_ context.Context, request *batchpb.BodyRequest) (*batchpb.BodyAnswer, error) {
	s.m.mu.Lock()
	var items []Item
	if b := s.m.batches[request.Id]; b != nil {
		items = b.job.Items
	}
	s.m.mu.Unlock()
	body, known := bodyOf(items, request.Item)
	return &batchpb.BodyAnswer{Known: known, Body: body}, nil
}

// TakeOver implements batchpb.DRPCBatchServer.
func (s service) TakeOver(ctx context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	var completions map[string]*Completion
	if err := json.Unmarshal(request.Json, &completions); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the completions can't be decoded", "report this defect")
	}
	b, err := s.m.find(ctx, request.Id)
	if err != nil {
		return nil, err
	}
	s.m.takeOver(ctx, b, completions, request.Settled)
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if b.run == nil && !b.ended {
		return nil, fault.New(fault.Draining, "this daemon did not take over the batch", "hand it to another daemon", fault.WithOutcome(fault.NotRun))
	}
	return &batchpb.Reply{}, nil
}
