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

// RequestCounts holds the number of requests by outcome.
type RequestCounts struct {
	OK, NotRun, Unknown, Failed int
	RunTwice                    int      // non-idempotent requests that ran more than once
	MismatchedAfterPartialSwap  int      // mismatched streamed responses of the engine whose swap failed partway; not a violation
	Reasons                     []string // requests without a complete response, counted by outcome and kind
}

// load sends requests from several callers.
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
			for n := 0; sleep(running, requestInterval) == nil; n++ {
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

// request sends a lookup, a streamed request or a billing entry with a key.
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

// bill sends the same billing entry through two daemons at the same time.
func (l *load) bill(ctx context.Context, r caller.Request) {
	r.Service, r.Method, r.Path = plainService, http.MethodPost, "/billing"
	r.Key = "bill-" + r.ID
	r.Body = []byte(r.Key)
	var results [2]caller.Result
	var copies sync.WaitGroup
	for i := range results {
		copied := r
		copied.ID = fmt.Sprintf("%s-%d", r.ID, i)
		copied.Daemon = l.addresses[(len(r.ID)+i)%len(l.addresses)]
		copies.Go(func() { results[i] = l.client.Plain(ctx, copied) })
	}
	copies.Wait()
	l.tally.RecordCopies(r, results[:]...)
}

// checkRequests compares the callers' results with the requests that the plain services ran.
func (r *run) checkRequests(ctx context.Context, callerTally *tally.Tally) error {
	executionCounts, err := r.executionCounts(ctx)
	if err != nil {
		return err
	}
	counts := &r.report.Requests
	counts.OK, counts.NotRun = callerTally.Outcomes[caller.OK], callerTally.Outcomes[fault.NotRun]
	counts.Unknown, counts.Failed = callerTally.Outcomes[fault.Unknown], callerTally.Outcomes[fault.Failed]
	counts.Reasons = callerTally.SortedReasons()
	for _, key := range callerTally.RanTwice(executionCounts) {
		counts.RunTwice++
		r.addViolation("non-idempotent request %s ran %d times", key, executionCounts[key])
	}
	for _, id := range callerTally.RanDespiteNotRun(executionCounts) {
		r.addViolation("request %s was reported as not run but ran %d times", id, executionCounts[id])
	}
	for _, mismatched := range callerTally.Mismatched {
		if mismatched.Replica == r.partialSwapReplica {
			counts.MismatchedAfterPartialSwap++
			continue
		}
		r.addViolation("mismatched response of %s to request %s: %s", mismatched.Replica, mismatched.ID, mismatched.Reason)
	}
	if counts.OK == 0 {
		r.addViolation("no request got a complete response")
	}
	return nil
}

// executionCounts returns how often the plain services ran each request, by key or ID.
func (r *run) executionCounts(ctx context.Context) (map[string]int64, error) {
	runs := map[string]int64{}
	for _, plain := range r.plainServices {
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
