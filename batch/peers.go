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

// service answers other daemons.
type service struct{ m *Manager }

// Host implements batchpb.DRPCBatchServer.
func (s service) Host(ctx context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	job, err := decodeJob(request.Json)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the batch can't be read", "report this defect", fault.WithOutcome(fault.NotRun))
	}
	if s.m.isDraining() {
		return nil, fault.New(fault.Draining, "this daemon stops", "host the batch yourself", fault.WithOutcome(fault.NotRun))
	}
	return &batchpb.Reply{}, s.m.acceptHere(ctx, job, false)
}

// Reach returns a question to the daemon at an address, whether it answers at all.
func Reach(conns peer.Conns) func(ctx context.Context, address string) error {
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
	s.m.noteEnd(request.Id)
	return &batchpb.Reply{}, nil
}

// Taken implements batchpb.DRPCBatchServer. The caller has taken this daemon for lost and
// runs the batch too, until it hears that this one does.
func (s service) Taken(_ context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	s.m.mu.Lock()
	k := s.m.jobs[request.Id]
	s.m.mu.Unlock()
	if k != nil {
		k.log.contest()
	}
	return &batchpb.Reply{}, nil
}

// tellRunners tells the daemons that may run a batch of its end, since they hear of it
// from the store only later.
func (m *Manager) tellRunners(id string) {
	m.mu.Lock()
	k := m.jobs[id]
	m.mu.Unlock()
	if k == nil {
		return
	}
	peers := m.members()
	for i, daemon := range m.candidates(m.jobOf(k), peers) {
		if i >= askedReaders {
			return
		}
		if daemon == m.self || peers[daemon] == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, askLimit)
		if conn, err := m.conns.Conn(ctx, peers[daemon]); err == nil {
			// The mirror brings the end to a daemon that does not answer.
			_, _ = batchpb.NewDRPCBatchClient(conn).Cancel(ctx, &batchpb.JobRequest{Id: id})
		}
		cancel()
	}
}

// Runs implements batchpb.DRPCBatchServer.
func (s service) Runs(_ context.Context, request *batchpb.JobRequest) (*batchpb.RunsAnswer, error) {
	return &batchpb.RunsAnswer{Running: s.m.Runs(request.Id)}, nil
}

// Results implements batchpb.DRPCBatchServer.
func (s service) Results(ctx context.Context, request *batchpb.ResultsRequest) (*batchpb.ResultsAnswer, error) {
	s.m.mu.Lock()
	k := s.m.jobs[request.Id]
	s.m.mu.Unlock()
	if k == nil {
		return &batchpb.ResultsAnswer{}, nil
	}
	page, runs, err := s.m.runPage(ctx, k, int(request.After), time.Duration(request.WaitMs)*time.Millisecond)
	if !runs || err != nil {
		return &batchpb.ResultsAnswer{}, err
	}
	value, err := json.Marshal(page)
	return &batchpb.ResultsAnswer{Known: true, Json: value}, err
}

// Body implements batchpb.DRPCBatchServer.
func (s service) Body(_ context.Context, request *batchpb.BodyRequest) (*batchpb.BodyAnswer, error) {
	s.m.mu.Lock()
	var items []Item
	if k := s.m.jobs[request.Id]; k != nil {
		items = k.job.Items
	}
	s.m.mu.Unlock()
	body, known := bodyOf(items, request.Item)
	return &batchpb.BodyAnswer{Known: known, Body: body}, nil
}

// TakeOver implements batchpb.DRPCBatchServer.
func (s service) TakeOver(ctx context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	var texts map[string]*Text
	if err := json.Unmarshal(request.Json, &texts); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the texts can't be read", "report this defect")
	}
	k, err := s.m.find(ctx, request.Id)
	if err != nil {
		return nil, err
	}
	s.m.takeOver(ctx, k, texts)
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if k.run == nil && !k.ended {
		return nil, fault.New(fault.Draining, "this daemon does not take the batch", "ask another one", fault.WithOutcome(fault.NotRun))
	}
	return &batchpb.Reply{}, nil
}
