package batch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/batch/batchpb"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Register adds the manager's drpc service.
func (m *Manager) Register(mux drpc.Mux) error {
	return batchpb.DRPCRegisterBatch(mux, service{m})
}

// otherPeer returns the address of another daemon, a different one at each try.
func (m *Manager) otherPeer(try int) string {
	peers := m.members()
	delete(peers, m.self)
	var addresses []string
	for _, address := range peers {
		addresses = append(addresses, address)
	}
	if len(addresses) == 0 || try > len(addresses) {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// askPeer has another daemon store the batch, since the store turns this one away.
func (w *acceptance) askPeer(ctx context.Context, try int) bool {
	address := w.otherPeer(try)
	if address == "" {
		return false
	}
	value, err := json.Marshal(w.job)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	conn, err := w.conns.Conn(ctx, address)
	if err != nil {
		return false
	}
	_, err = batchpb.NewDRPCBatchClient(conn).Accept(ctx, &batchpb.JobRequest{Id: w.job.ID, Json: value})
	if err != nil && fault.OutcomeOf(err) != fault.NotRun {
		w.unsettled = true
	}
	return err == nil
}

func (m *Manager) askPeerToEnd(ctx context.Context, id string, try int) bool {
	address := m.otherPeer(try)
	if address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return false
	}
	_, err = batchpb.NewDRPCBatchClient(conn).End(ctx, &batchpb.JobRequest{Id: id})
	return err == nil
}

// service answers other daemons.
type service struct{ m *Manager }

// Accept implements batchpb.DRPCBatchServer. It does not ask further daemons.
func (s service) Accept(ctx context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	job, err := decodeJob(request.Json)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the batch can't be read", "report this defect", fault.WithOutcome(fault.NotRun))
	}
	if s.m.knows(job.ID) {
		return &batchpb.Reply{}, nil
	}
	job.Owner, job.Accepted = s.m.self, time.Now()
	w := &acceptance{Manager: s.m, job: job}
	done, err := w.write(ctx)
	switch {
	case done:
		return &batchpb.Reply{}, nil
	case w.unsettled:
		return nil, fault.Wrap(err, fault.Ambiguous, "the batch may have been accepted", "submit it again")
	}
	return nil, fault.Wrap(err, fault.Unavailable, "the batch was not stored", "ask another daemon", fault.WithOutcome(fault.NotRun))
}

// End implements batchpb.DRPCBatchServer. It does not ask further daemons.
func (s service) End(ctx context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	_, err := s.m.store.Create(ctx, endKey(request.Id), endValue)
	if err != nil && !fault.Is(err, fault.Conflict) {
		return nil, err
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.m.noteEnd(request.Id)
	return &batchpb.Reply{}, nil
}

// Cancel implements batchpb.DRPCBatchServer.
func (s service) Cancel(_ context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	s.m.noteEnd(request.Id)
	return &batchpb.Reply{}, nil
}

// Taken implements batchpb.DRPCBatchServer. The caller has taken this daemon for lost and
// runs the batch now.
func (s service) Taken(_ context.Context, request *batchpb.JobRequest) (*batchpb.Reply, error) {
	s.m.yield(request.Id)
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
