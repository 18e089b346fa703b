package batch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// endlessBackend streams well-formed events without end from the replicas of the set, and a completion
// of one event from others.
type endlessBackend struct {
	endless map[string]bool
	data    string
	sent    *atomic.Int64 // events read from endless replicas
	silent  bool          // other replicas end their streams without an event
}

// Send implements upstream.Backend.
func (b endlessBackend) Send(_ context.Context, call upstream.Call) (*upstream.Response, error) {
	return &upstream.Response{
		Status: http.StatusOK, Signed: true, Version: 1, Body: io.NopCloser(strings.NewReader("")),
		Header: http.Header{"Replica": {call.Replica.ID}, "After": {fmt.Sprint(call.ResumeAfter)}},
	}, nil
}

// Events implements upstream.Backend.
func (b endlessBackend) Events(resp *upstream.Response) upstream.EventReader {
	var after int64
	_, _ = fmt.Sscan(resp.Header.Get("After"), &after)
	return &endlessEvents{backend: b, id: after, endless: b.endless[resp.Header.Get("Replica")], sent: b.silent}
}

type endlessEvents struct {
	backend endlessBackend
	id      int64
	endless bool
	sent    bool
}

// Next implements upstream.EventReader.
func (e *endlessEvents) Next() (upstream.Event, error) {
	if !e.endless && e.sent {
		return upstream.Event{}, io.EOF
	}
	e.sent = true
	e.id++
	if !e.endless {
		return upstream.Event{ID: e.id, Data: "end", Version: 1}, nil
	}
	e.backend.sent.Add(1)
	return upstream.Event{ID: e.id, Data: e.backend.data, Version: 1}, nil
}

// Guards against a process that runs out of memory since a replica sends events without end for an
// item: no event is over its bound, the completion was over any. The item must be complete by another
// replica, and the completions together must stay within their memory.
func TestEndlessCompletionIsGeneratedElsewhere(t *testing.T) {
	const items, limit = 24, 1 << 20
	for name, tokens := range map[string]int64{"tokens known": 200, "tokens unknown": 0} {
		sent := &atomic.Int64{}
		m := runManager(endlessBackend{endless: map[string]bool{"large-0": true}, data: strings.Repeat("x", 4000), sent: sent}, 2)
		route := m.configuration().Routes[0]
		route.MaxAttempts = 1000 // no item fails for its size
		configuration := catalog.NewConfiguration(1, []catalog.Route{route}, nil, catalog.Limits{})
		m.configuration = func() *catalog.Configuration { return configuration }
		m.texts = connlimit.NewBudget(limit)
		job := Job{ID: "b", Host: "h"}
		for n := range items {
			job.Items = append(job.Items, Item{ID: fmt.Sprint("i", n), Group: fmt.Sprint(n), Path: "/x", MaxTokens: tokens})
		}
		r := m.start(job, newResultLog("b", m.store, nil), nil, m.itemMemory.Holder(0))
		most, deadline := int64(0), time.Now().Add(20*time.Second)
		for r.results.confirmedCount() < items && time.Now().Before(deadline) {
			most = max(most, m.texts.Used())
			time.Sleep(time.Millisecond)
		}
		results, _ := r.results.page(0)
		for _, result := range results {
			if result.State != Completed || !strings.HasSuffix(result.Output, "end") || int64(len(result.Output)) > textLimit(&job.Items[0]) {
				t.Errorf("%s: %s is %s with %d bytes", name, result.ID, result.State, len(result.Output))
			}
		}
		if len(results) != items {
			t.Errorf("%s: %d of %d items have a result", name, len(results), items)
		}
		if sent.Load() == 0 {
			t.Errorf("%s: no item was sent to the faulty replica", name)
		}
		// The only large completion may take more than the budget, up to one object of results.
		if most > limit+maxTextBytes {
			t.Errorf("%s: completions took %d bytes", name, most)
		}
		r.stop()
		if used := m.texts.Used(); used != 0 {
			t.Errorf("%s: %d bytes are charged at the end", name, used)
		}
	}
}

// An item that outgrows one object of results everywhere fails after the attempts of its route; one
// whose tokens can't produce so much is only the fault of its replica.
func TestItemFailsOnlyIfItMayProduceTooMuch(t *testing.T) {
	m := runManager(nil, 0)
	r := &run{Manager: m, ctx: t.Context(), job: Job{Host: "h"}, failures: map[string]int{}}
	small, unknown := &Item{ID: "small", Path: "/x", MaxTokens: 100}, &Item{ID: "unknown", Path: "/x"}
	for attempt := 1; attempt <= 3; attempt++ {
		if err := r.textError(small); err != errTextTooLong {
			t.Errorf("attempt %d of the small item: %v", attempt, err)
		}
		if err := r.textError(unknown); (err == errItemFailed) != (attempt == 3) {
			t.Errorf("attempt %d of the item of unknown size: %v", attempt, err)
		}
	}
}

// Guards against a completion with text that no replica ends (found by the soak, seed 7129): a faulty
// replica goes on after the last event, its stream breaks off, and the next replica has nothing to add. The
// completion starts over, but only once: a stream may also break right before its end.
func TestEndThatNoReplicaHasGeneratedIsNotTaken(t *testing.T) {
	m := runManager(nil, 0)
	r := &run{Manager: m, ctx: t.Context(), job: Job{Host: "h"}, failures: map[string]int{}, textHolders: map[string]*connlimit.Holder{}}
	item := &Item{ID: "i", Path: "/x"}
	task := &task{item: item}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	resume := func(events []string, sound endlessBackend) (Completion, error) {
		m.backend = sound
		s := &completionStream{task: task, completion: Completion{Events: events, Versions: []int64{1}}, text: r.textHolder(item), textLimit: textLimit(item)}
		resp, err := sound.Send(t.Context(), upstream.Call{ResumeAfter: int64(len(events))})
		if err != nil {
			t.Fatal(err)
		}
		err = r.readEvents(s, resp, timer)
		return s.completion, err
	}
	silent := endlessBackend{silent: true}
	if c, err := resume([]string{"a", "b", "too much"}, silent); err != errEndNotConfirmed || len(c.Events) != 0 || c.Complete {
		t.Errorf("the first time: %v, %+v", err, c)
	}
	if c, err := resume([]string{"a", "b"}, silent); err != nil || len(c.Events) != 2 || !c.Complete {
		t.Errorf("the second time: %v, %+v", err, c)
	}
}
