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
	"github.com/hornbeamtide/hornbeamtide/standin/tally"
)

const (
	callerCount     = 4
	requestInterval = 25 * time.Millisecond // between two requests of a caller
	requestDeadline = 5 * time.Second
)

// RequestCounts counts the requests by outcome.
type RequestCounts struct {
	OK, NotRun, Unknown, Failed int
	RunTwice                    int      // non-idempotent requests that ran more than once
	Mixed                       int      // streamed answers of the engine whose swap failed partway
	Reasons                     []string // requests without an answer, by outcome and kind
}

// load is a set of callers.
type load struct {
	client    *caller.Client
	addresses []string
	cancel    context.CancelFunc
	callers   sync.WaitGroup
	tally     *tally.Tally
}

func startLoad(ctx context.Context, addresses []string) *load {
	running, cancel := context.WithCancel(ctx)
	l := &load{client: caller.NewClient(), addresses: addresses, cancel: cancel, tally: tally.New()}
	for i := range callerCount {
		l.callers.Go(func() {
			for n := 0; pause(running, requestInterval) == nil; n++ {
				l.request(ctx, i, n)
			}
		})
	}
	return l
}

func (l *load) stop() *tally.Tally {
	l.cancel()
	l.callers.Wait()
	return l.tally
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
		l.tally.Record(r, l.client.Plain(ctx, r))
	case 1:
		r.Service, r.Prompt, r.MaxTokens = modelService, "Answer the desk.", 16
		l.tally.Record(r, l.client.Generate(ctx, r))
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
	l.tally.RecordCopies(r, results[:]...)
}

// checkRequests compares what the callers saw with what the plain services ran.
func (r *run) checkRequests(ctx context.Context, seen *tally.Tally) error {
	runs, err := r.runs(ctx)
	if err != nil {
		return err
	}
	counts := &r.report.Requests
	counts.OK, counts.NotRun = seen.Outcomes[caller.OK], seen.Outcomes[fault.NotRun]
	counts.Unknown, counts.Failed = seen.Outcomes[fault.Unknown], seen.Outcomes[fault.Failed]
	counts.Reasons = seen.SortedReasons()
	for _, key := range seen.RanTwice(runs) {
		counts.RunTwice++
		r.broken("non-idempotent request %s ran %d times", key, runs[key])
	}
	for _, id := range seen.RanAfterAll(runs) {
		r.broken("request %s was reported as not run and ran %d times", id, runs[id])
	}
	for _, wrong := range seen.Wrong {
		if wrong.Replica == r.partial {
			counts.Mixed++
			continue
		}
		r.broken("answer of %s to request %s is not its own: %s", wrong.Replica, wrong.ID, wrong.Reason)
	}
	if counts.OK == 0 {
		r.broken("no request was answered")
	}
	return nil
}

// runs returns how often the plain services ran each request, by key or id.
func (r *run) runs(ctx context.Context) (map[string]int64, error) {
	runs := map[string]int64{}
	for _, plain := range r.plain {
		var counts fakeplain.Counts
		if err := r.cluster.Get(ctx, plain.Address, "/control/counts", &counts); err != nil {
			return nil, err
		}
		for key, n := range counts.RunsByKey {
			runs[key] += n
		}
	}
	return runs, nil
}
