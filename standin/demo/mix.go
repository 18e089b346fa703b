package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
)

const (
	mixWorkers  = 6
	mixInterval = 20 * time.Millisecond // between two requests of a worker
	mixDeadline = 8 * time.Second
)

// mixResult is what the callers count.
type mixResult struct {
	outcomes map[fault.Outcome]int
	kinds    map[string]int // requests without an answer, by outcome and kind
	copies   int            // copies of non-idempotent requests
	wrong    []string
	notRun   []string // ids and keys of requests reported as not run
	keys     []string // keys of non-idempotent requests
}

// mix sends requests until it is stopped.
type mix struct {
	client  *caller.Client
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu     sync.Mutex
	result mixResult
}

func startMix(ctx context.Context, addresses []string) *mix {
	running, cancel := context.WithCancel(ctx)
	m := &mix{client: caller.NewClient(addresses...), cancel: cancel}
	m.result.outcomes = map[fault.Outcome]int{}
	m.result.kinds = map[string]int{}
	for worker := range mixWorkers {
		m.workers.Go(func() { m.work(ctx, running, worker) })
	}
	return m
}

// stop lets requests in progress end and returns the counts.
func (m *mix) stop() mixResult {
	m.cancel()
	m.workers.Wait()
	return m.result
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
		m.record(r, m.client.Generate(ctx, r))
	case 1, 2:
		r.Service, r.Method, r.Path = plainService, http.MethodGet, fmt.Sprintf("/members/%d", worker*1000+i)
		m.record(r, m.client.Plain(ctx, r))
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
	result := m.client.Plain(ctx, r)
	m.recordKey(r.Key)
	answered := result.Outcome == caller.OK
	if answered && len(r.ID)%2 == 0 {
		m.count(result)
		return
	}
	r.ID += "-copy"
	second := m.client.Plain(ctx, r)
	m.countCopy()
	if !answered && second.Outcome == caller.OK || result.Outcome == fault.NotRun {
		result = second
	}
	m.count(result)
	if result.Outcome == fault.NotRun {
		m.recordNotRun(r.Key)
	}
}

func (m *mix) record(r caller.Request, result caller.Result) {
	m.count(result)
	if result.Outcome == fault.NotRun {
		m.recordNotRun(r.ID)
	}
}

func (m *mix) count(result caller.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.outcomes[result.Outcome]++
	if result.Outcome != caller.OK {
		m.result.kinds[reason(result)]++
	}
	if result.Wrong != "" {
		m.result.wrong = append(m.result.wrong, result.Wrong)
	}
}

func (m *mix) countCopy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.copies++
}

func (m *mix) recordKey(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.keys = append(m.result.keys, key)
}

func (m *mix) recordNotRun(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.notRun = append(m.result.notRun, id)
}

// reason names outcome and kind; a connection that broke has no kind.
func reason(r caller.Result) string {
	if r.Kind == "" {
		return string(r.Outcome) + " connection to the daemon ended"
	}
	return string(r.Outcome) + " " + string(r.Kind)
}
