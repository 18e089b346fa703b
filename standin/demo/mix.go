package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/caller"
	"github.com/hornbeamtide/hornbeamtide/standin/tally"
)

const (
	mixWorkers  = 6
	mixInterval = 20 * time.Millisecond // between two requests of a worker
	mixDeadline = 8 * time.Second
)

// mix sends requests until it is stopped.
type mix struct {
	client  *caller.Client
	cancel  context.CancelFunc
	workers sync.WaitGroup
	tally   *tally.Tally
}

func startMix(ctx context.Context, addresses []string) *mix {
	running, cancel := context.WithCancel(ctx)
	m := &mix{client: caller.NewClient(addresses...), cancel: cancel, tally: tally.New()}
	for worker := range mixWorkers {
		m.workers.Go(func() { m.work(ctx, running, worker) })
	}
	return m
}

// stop lets requests in progress end and returns the counts.
func (m *mix) stop() *tally.Tally {
	m.cancel()
	m.workers.Wait()
	return m.tally
}

func (m *mix) work(ctx, running context.Context, worker int) {
	for i := 0; running.Err() == nil; i++ {
		m.request(ctx, worker, i)
		select {
		case <-time.After(mixInterval):
		case <-running.Done():
		}
	}
}

// request sends the i-th request of a worker: streams, lookups and billing entries.
func (m *mix) request(ctx context.Context, worker, i int) {
	r := caller.Request{
		ID: fmt.Sprintf("mix-%d-%d", worker, i), Deadline: mixDeadline,
	}
	switch i % 4 {
	case 0:
		r.Service, r.Prompt, r.MaxTokens, r.Seed = modelService, fmt.Sprintf("Answer the branch desk, question %d.", worker), 32, int64(i)
		r.Prefix = fmt.Sprintf("desk-%d", worker)
		m.tally.Record(r, m.client.Generate(ctx, r))
	case 1, 2:
		r.Service, r.Method, r.Path = plainService, http.MethodGet, fmt.Sprintf("/members/%d", worker*1000+i)
		m.tally.Record(r, m.client.Plain(ctx, r))
	case 3:
		m.bill(ctx, r)
	}
}

// bill sends a billing entry. When it has no answer, and every other time anyway, a
// copy with the same key follows, through whichever daemon comes next.
func (m *mix) bill(ctx context.Context, r caller.Request) {
	r.Service, r.Method, r.Path = plainService, http.MethodPost, "/billing"
	r.Key = "bill-" + r.ID
	r.Body = []byte(r.Key)
	first := m.client.Plain(ctx, r)
	if first.Outcome == caller.OK && len(r.ID)%2 == 0 {
		m.tally.Record(r, first)
		return
	}
	r.ID += "-copy"
	m.tally.RecordCopies(r, first, m.client.Plain(ctx, r))
}
