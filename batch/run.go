package batch

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

// run is a batch that this daemon runs.
type run struct {
	*Manager

	job     Job
	results *resultLog      // the log of the batch
	ctx     context.Context // ends with the batch or the daemon
	cancel  context.CancelFunc
	done    chan struct{} // closed when all of the run's goroutines ended

	mu      sync.Mutex
	texts   map[string]*Text // of items that are not finished
	whole   map[string]*Text // of items that are, for a later batch in which they come back
	queue   []*task
	left    map[string]int       // unfinished items by group
	queued  chan struct{}        // the queue grew
	streams map[*textStream]bool // on their way

	toldWaits time.Time // when it was last logged that items wait
}

// task is an item that waits for its turn or is being worked on.
type task struct {
	item     *Item
	tried    map[string]bool // replicas that failed it a short time ago
	failures int             // answers that say that the item failed
	moves    int             // times that it left a replica for being slow there
	begun    time.Time       // when it was placed first
}

// start runs a batch with what is known of its unfinished texts.
func (m *Manager) start(job Job, log *resultLog, texts map[string]*Text) *run {
	ctx, cancel := context.WithCancel(m.ctx)
	r := &run{
		Manager: m, job: job, results: log, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		texts: texts, whole: map[string]*Text{}, left: map[string]int{}, queued: make(chan struct{}, 1), streams: map[*textStream]bool{},
	}
	if r.texts == nil {
		r.texts = map[string]*Text{}
	}
	for _, item := range orderItems(groupsOf(job.Items), job.GroupCount) {
		if !log.has(item.ID) {
			r.queue = append(r.queue, &task{item: item})
			r.left[item.Group]++
		}
	}
	go r.work()
	return r
}

// work hands out tasks until the batch ends.
func (r *run) work() {
	defer close(r.done)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { r.results.write(r.ctx, r.chunkListed) })
	group.Go(r.review)
	group.Go(r.saveTexts)
	for _, t := range r.takeWhole() {
		group.Go(func() { r.score(t) })
	}
	for r.ctx.Err() == nil {
		r.giveUpLate()
		changed := r.tracker.Changed()
		t, lease := r.next()
		if t != nil {
			group.Go(func() { r.generate(t, lease) })
			continue
		}
		r.await(changed)
	}
}

// takeWhole takes the tasks out of the queue whose text is whole already.
func (r *run) takeWhole() []*task {
	r.mu.Lock()
	defer r.mu.Unlock()
	var whole, rest []*task
	for _, t := range r.queue {
		if text := r.texts[t.item.ID]; text != nil && text.Whole {
			whole = append(whole, t)
		} else {
			rest = append(rest, t)
		}
	}
	r.queue = rest
	return whole
}

// giveUpLate lists the waiting items as errored once their route keeps them no longer.
func (r *run) giveUpLate() {
	r.mu.Lock()
	var late []*task
	var rest []*task
	for _, t := range r.queue {
		if route, ok := r.routeOf(t.item); ok && route.Retention > 0 && time.Since(r.job.Accepted) > route.Retention {
			late = append(late, t)
		} else {
			rest = append(rest, t)
		}
	}
	r.queue = rest
	r.mu.Unlock()
	for _, t := range late {
		r.finish(t.item, Result{ID: t.item.ID, State: Errored})
	}
}

// idleLook is the longest time between two looks at what waits.
const idleLook = 250 * time.Millisecond

func (r *run) await(changed <-chan struct{}) {
	r.mu.Lock()
	empty := len(r.queue) == 0
	r.mu.Unlock()
	if empty {
		select {
		case <-r.ctx.Done():
		case <-r.queued:
		}
		return
	}
	timer := time.NewTimer(idleLook)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-r.queued:
	case <-changed:
	case <-timer.C:
	}
}

// next takes the first task for which there is a place.
func (r *run) next() (*task, *placement.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, t := range r.queue {
		lease := r.place(t)
		if lease != nil {
			r.queue = append(r.queue[:i:i], r.queue[i+1:]...)
			if t.begun.IsZero() {
				t.begun = time.Now()
			}
			return t, lease
		}
		if i >= lookAhead {
			break
		}
	}
	return nil, nil
}

// lookAhead is how many tasks behind the first may pass it: one whose replicas are full
// or failed should not hold up the others.
const lookAhead = 2

// place takes a place for a task at a replica that may run it. The run's lock is held.
func (r *run) place(t *task) *placement.Lease {
	request, ok := r.needs(t.item)
	if !ok {
		return nil
	}
	request.Exclude = t.tried
	lease := r.tracker.Pick(request)
	if lease == nil && len(t.tried) > 0 {
		request.Exclude, t.tried = nil, nil
		lease = r.tracker.Pick(request)
	}
	if lease == nil {
		r.logWaits(t, request)
	}
	return lease
}

// needs are what a replica must be to run an item.
func (r *run) needs(item *Item) (placement.Request, bool) {
	route, ok := r.routeOf(item)
	if !ok {
		return placement.Request{}, false
	}
	return placement.Request{
		Service: serviceOf(route, item.ID), Model: r.job.Model,
		MinVersion: r.job.MinVersion, Affinity: item.Group, MustFit: true,
	}, true
}

// again puts a task back to the front of the queue.
func (r *run) again(t *task) {
	r.mu.Lock()
	r.queue = append([]*task{t}, r.queue...)
	r.mu.Unlock()
	select {
	case r.queued <- struct{}{}:
	default:
	}
}

// text returns a copy of what was generated of an item, empty if nothing was.
func (r *run) text(item string) Text {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.texts[item]; t != nil {
		return *t.copy()
	}
	return Text{}
}

func (r *run) keepText(item string, t Text) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.texts[item] = &t
}

// finish lists the result of an item.
func (r *run) finish(item *Item, result Result) {
	r.mu.Lock()
	if text := r.texts[item.ID]; text != nil && text.Whole {
		r.whole[item.ID] = text
	}
	delete(r.texts, item.ID)
	r.left[item.Group]--
	whole := r.left[item.Group] <= 0
	r.mu.Unlock()
	if whole {
		r.measures.Observe(measure.GroupWhole, time.Since(r.job.Accepted), r.job.Model)
	}
	if result.State == Errored {
		r.log.Log(event.BatchItemErrored, event.F("batch", r.job.ID), event.F("item", item.ID))
	}
	r.results.add(result, whole)
}

// stop ends the run and waits for its goroutines. It returns the unfinished texts.
func (r *run) stop() map[string]*Text {
	r.cancel()
	<-r.done
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.texts
}
