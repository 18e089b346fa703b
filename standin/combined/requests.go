package combined

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
)

const (
	callerCount     = 4
	requestInterval = 25 * time.Millisecond // between two requests of a caller
	requestDeadline = 5 * time.Second
)

// RequestCounts counts the requests by outcome.
type RequestCounts struct {
	OK, NotRun, Unknown, Failed int
	RunTwice                    int // non-idempotent requests that ran more than once
	Mixed                       int // streamed answers of the engine whose swap failed partway
}

// requests is what the callers saw.
type requests struct {
	counts RequestCounts
	wrong  []wrongAnswer
	keys   []string // keys of non-idempotent requests
	notRun []string // ids or keys of which every copy was reported as not run
}

// wrongAnswer is an answer that claims to be whole and is not what was asked for.
type wrongAnswer struct{ id, replica, reason string }

// load is a set of callers.
type load struct {
	client    *caller.Client
	addresses []string
	cancel    context.CancelFunc
	callers   sync.WaitGroup

	mu   sync.Mutex
	seen requests
}

func startLoad(ctx context.Context, addresses []string) *load {
	running, cancel := context.WithCancel(ctx)
	l := &load{client: caller.NewClient(), addresses: addresses, cancel: cancel}
	for i := range callerCount {
		l.callers.Go(func() {
			for n := 0; pause(running, requestInterval) == nil; n++ {
				l.request(ctx, i, n)
			}
		})
	}
	return l
}

func (l *load) stop() requests {
	l.cancel()
	l.callers.Wait()
	return l.seen
}

// request sends a lookup, a stream or a keyed billing entry.
func (l *load) request(ctx context.Context, callerID, n int) {
	r := caller.Request{
		Daemon: l.addresses[(callerID+n)%len(l.addresses)], ID: fmt.Sprintf("caller-%d-%d", callerID, n),
		Deadline: requestDeadline,
	}
	ctx, cancel := context.WithTimeout(ctx, 2*requestDeadline)
	defer cancel()
	switch n % 3 {
	case 0:
		r.Service, r.Method, r.Path = plainService, http.MethodGet, fmt.Sprintf("/members/%d", n)
		l.take(r.ID, l.client.Plain(ctx, r))
	case 1:
		r.Service, r.Prompt, r.MaxTokens = modelService, "Answer the desk.", 16
		l.take(r.ID, l.client.Generate(ctx, r))
	case 2:
		l.bill(ctx, r)
	}
}

// bill sends the same billing entry through two daemons at once.
func (l *load) bill(ctx context.Context, r caller.Request) {
	r.Service, r.Method, r.Path = plainService, http.MethodPost, "/billing"
	r.Key = "bill-" + r.ID
	r.Body = []byte(r.Key)
	var results [2]caller.Result
	var copies sync.WaitGroup
	for i := range results {
		one := r
		one.ID = fmt.Sprintf("%s-%d", r.ID, i)
		one.Daemon = l.addresses[(len(r.ID)+i)%len(l.addresses)]
		copies.Go(func() { results[i] = l.client.Plain(ctx, one) })
	}
	copies.Wait()
	notRun := results[0].Outcome == fault.NotRun && results[1].Outcome == fault.NotRun
	for _, result := range results {
		l.take("", result)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen.keys = append(l.seen.keys, r.Key)
	if notRun {
		l.seen.notRun = append(l.seen.notRun, r.Key)
	}
}

func (l *load) take(id string, result caller.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch result.Outcome {
	case caller.OK:
		l.seen.counts.OK++
	case fault.NotRun:
		l.seen.counts.NotRun++
	case fault.Failed:
		l.seen.counts.Failed++
	default:
		l.seen.counts.Unknown++
	}
	if result.Outcome == fault.NotRun && id != "" {
		l.seen.notRun = append(l.seen.notRun, id)
	}
	if result.Wrong != "" {
		l.seen.wrong = append(l.seen.wrong, wrongAnswer{id, result.Replica, result.Wrong})
	}
}

// checkRequests compares what the callers saw with what the plain services ran.
func (r *run) checkRequests(ctx context.Context, seen requests) error {
	runs := map[string]int64{}
	for _, plain := range r.plain {
		var counts fakeplain.Counts
		if err := r.cluster.Get(ctx, plain.Address, "/control/counts", &counts); err != nil {
			return err
		}
		for key, n := range counts.RunsByKey {
			runs[key] += n
		}
	}
	for _, key := range seen.keys {
		if runs[key] > 1 {
			r.report.Requests.RunTwice++
			r.broken("non-idempotent request %s ran %d times", key, runs[key])
		}
	}
	for _, id := range seen.notRun {
		if runs[id] > 0 {
			r.broken("request %s was reported as not run and ran %d times", id, runs[id])
		}
	}
	for _, wrong := range seen.wrong {
		if wrong.replica == r.partial {
			r.report.Requests.Mixed++
			continue
		}
		r.broken("answer of %s to request %s is not its own: %s", wrong.replica, wrong.id, wrong.reason)
	}
	if seen.counts.OK == 0 {
		r.broken("no request was answered")
	}
	return nil
}
