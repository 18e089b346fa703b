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

// requestMix sends streamed requests, lookups and billing entries until it is stopped.
type requestMix struct {
	client  *caller.Client
	cancel  context.CancelFunc
	workers sync.WaitGroup
	tally   *tally.Tally
}

func startMix(ctx context.Context, addresses []string) *requestMix {
	running, cancel := context.WithCancel(ctx)
	m := &requestMix{client: caller.NewClient(addresses...), cancel: cancel, tally: tally.New()}
	for worker := range mixWorkers {
		m.workers.Go(func() { m.runWorker(ctx, running, worker) })
	}
	return m
}

// stop waits for the requests in flight and returns the counts.
func (m *requestMix) stop() *tally.Tally {
	m.cancel()
	m.workers.Wait()
	return m.tally
}

func (m *requestMix) runWorker(ctx, running context.Context, worker int) {
	for n := 0; running.Err() == nil; n++ {
		m.request(ctx, worker, n)
		select {
		case <-time.After(mixInterval):
		case <-running.Done():
		}
	}
}

// request sends the n-th request of a worker.
func (m *requestMix) request(ctx context.Context, worker, n int) {
	r := caller.Request{
		ID: fmt.Sprintf("mix-%d-%d", worker, n), Deadline: mixDeadline,
	}
	switch n % 4 {
	case 0:
		r.Service, r.Prompt, r.MaxTokens, r.Seed = modelService, fmt.Sprintf("Answer the branch desk, question %d.", worker), 32, int64(n)
		r.PrefixKey = fmt.Sprintf("desk-%d", worker)
		m.tally.Record(r, m.client.Generate(ctx, r))
	case 1, 2:
		r.Service, r.Method, r.Path = plainService, http.MethodGet, fmt.Sprintf("/members/%d", worker*1000+n)
		m.tally.Record(r, m.client.Plain(ctx, r))
	case 3:
		m.bill(ctx, r)
	}
}

// bill sends a billing entry with a key. If the request does not succeed or the length of
// its ID is odd, bill sends a copy with the same key, possibly through another daemon.
func (m *requestMix) bill(ctx context.Context, r caller.Request) {
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
