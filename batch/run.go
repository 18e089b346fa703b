package batch

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/placement"
)

// run is a batch that this daemon runs.
type run struct {
	*Manager

	job     Job             // without its items
	results *resultLog      // results log of the batch
	ctx     context.Context // ends with the batch or the daemon
	cancel  context.CancelFunc
	done    chan struct{} // closed when all goroutines of the run have ended

	mu               sync.Mutex
	unfinished       map[string]*Completion // completions of items without a result
	finished         map[string]*Completion // completions of items with a result, reused if a later batch has the item
	queue            []*task
	failures         map[string]int               // responses that reported a failure of an item, by item
	remainingByGroup map[string]int               // items without a result, by group
	queueGrew        chan struct{}                // signals that the queue grew
	streams          map[*completionStream]bool   // streams in flight
	textHolders      map[string]*connlimit.Holder // memory of the unfinished completions, by item
	memory           *connlimit.Holder            // of the items

	lastWaitLog time.Time // when logWaiting last logged
}

// task is an item that is queued or in progress.
type task struct {
	item      *Item
	tried     map[string]bool // replicas on which it failed recently
	moves     int             // times it left a replica as a straggler
	timeouts  int             // times a replica sent no event in time
	startedAt time.Time       // when it was first placed

	startedOver bool // see errEndNotConfirmed
}

// start runs a batch and resumes from the given completions of its unfinished items. memory holds the memory
// of the items; the run releases it.
func (m *Manager) start(job Job, log *resultLog, completions map[string]*Completion, memory *connlimit.Holder) *run {
	ctx, cancel := context.WithCancel(m.ctx)
	r := &run{
		Manager: m, job: job.withoutItems(), results: log, ctx: ctx, cancel: cancel, done: make(chan struct{}), memory: memory,
		unfinished: completions, finished: map[string]*Completion{}, failures: map[string]int{}, remainingByGroup: map[string]int{},
		queueGrew: make(chan struct{}, 1), streams: map[*completionStream]bool{}, textHolders: map[string]*connlimit.Holder{},
	}
	if r.unfinished == nil {
		r.unfinished = map[string]*Completion{}
	}
	for id, completion := range r.unfinished {
		if completion.Failures > 0 {
			r.failures[id] = completion.Failures
		}
	}
	for _, item := range orderItems(groupsOf(job.Items), job.GroupCount) {
		if !log.hasResult(item.ID) {
			r.queue = append(r.queue, &task{item: item})
			r.remainingByGroup[item.Group]++
		}
	}
	go r.dispatch()
	return r
}

// dispatch starts tasks until the batch ends.
func (r *run) dispatch() {
	defer close(r.done)
	defer r.releaseItems()
	defer r.releaseTexts()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.results.write(r.ctx, r.observeChunk) })
	wg.Go(r.moveStragglers)
	wg.Go(r.saveCompletions)
	for _, t := range r.takeComplete() {
		wg.Go(func() { r.guardTask(t, func() { r.score(t) }) })
	}
	for r.ctx.Err() == nil {
		r.expireTasks()
		changed := r.tracker.Changed()
		t, lease := r.next()
		if t != nil {
			wg.Go(func() { r.guardTask(t, func() { r.generate(t, lease) }) })
			continue
		}
		r.awaitWork(changed)
	}
}

// releaseItems releases the items of a batch that needs them no more in this process: all are listed, or the
// run has ended.
func (r *run) releaseItems() {
	r.mu.Lock()
	r.queue = nil
	r.memory.Release()
	r.mu.Unlock()
	r.Manager.mu.Lock()
	defer r.Manager.mu.Unlock()
	if b := r.batches[r.job.ID]; b != nil && (b.run == nil || b.run == r) {
		b.dropItems()
	}
}

// guardTask runs the work of a task. If it panics, the item failed once, as if its replica had
// reported that: an item that panics each time would end one daemon after the other.
func (r *run) guardTask(t *task, work func()) {
	if !r.log.Guard("item "+t.item.ID+" of batch "+r.job.ID, work) || r.ctx.Err() != nil {
		return
	}
	if r.recordItemFailure(t.item.ID) >= r.maxAttempts(t.item) {
		r.finish(t.item, Result{ID: t.item.ID, State: Errored})
		return
	}
	r.requeue(t)
}

// takeComplete removes the tasks from the queue whose completion was resumed as complete.
func (r *run) takeComplete() []*task {
	r.mu.Lock()
	defer r.mu.Unlock()
	var complete, rest []*task
	for _, t := range r.queue {
		if completion := r.unfinished[t.item.ID]; completion != nil && completion.Complete {
			complete = append(complete, t)
		} else {
			rest = append(rest, t)
		}
	}
	r.queue = rest
	return complete
}

// expireTasks finishes queued items as errored once the retention period of their route is over.
func (r *run) expireTasks() {
	r.mu.Lock()
	var expired []*task
	var rest []*task
	for _, t := range r.queue {
		if route, ok := r.routeOf(t.item); ok && route.Retention > 0 && time.Since(r.job.AcceptedAt) > route.Retention {
			expired = append(expired, t)
		} else {
			rest = append(rest, t)
		}
	}
	r.queue = rest
	r.mu.Unlock()
	for _, t := range expired {
		r.finish(t.item, Result{ID: t.item.ID, State: Errored})
	}
}

// maxIdleWait bounds the time between two attempts to place queued tasks.
const maxIdleWait = 250 * time.Millisecond

func (r *run) awaitWork(changed <-chan struct{}) {
	r.mu.Lock()
	empty := len(r.queue) == 0
	r.mu.Unlock()
	if empty {
		select {
		case <-r.ctx.Done():
		case <-r.queueGrew:
		}
		return
	}
	timer := time.NewTimer(maxIdleWait)
	defer timer.Stop()
	select {
	case <-r.ctx.Done():
	case <-r.queueGrew:
	case <-changed:
	case <-timer.C:
	}
}

// next returns the first task for which a replica has a free slot. Load pattern: tasks that failed
// come back to the front of the queue while their replicas are full or gone; those behind them start
// as long as another service has room. A service without room is asked only once in a pass, since
// the queue may hold thousands of tasks.
func (r *run) next() (*task, *placement.Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	full := map[string]bool{}
	request := r.placementRequest()
	isUsable := r.usability(request)
	for i, t := range r.queue {
		route, ok := r.routeOf(t.item)
		if !ok {
			continue
		}
		request.Service, request.AffinityKey = usableService(route, t.item.ID, isUsable), t.item.Group
		if full[request.Service] {
			continue
		}
		lease := r.pickReplica(t, request)
		if lease == nil {
			full[request.Service] = true
			continue
		}
		r.queue = append(r.queue[:i:i], r.queue[i+1:]...)
		if t.startedAt.IsZero() {
			t.startedAt = time.Now()
		}
		return t, lease
	}
	return nil, nil
}

// pickReplica reserves a slot for a task on a suitable replica. The caller holds r.mu.
func (r *run) pickReplica(t *task, request placement.Request) *placement.Lease {
	request.Exclude = t.tried
	lease := r.tracker.Pick(request)
	if lease == nil && len(t.tried) > 0 {
		request.Exclude, t.tried = nil, nil
		lease = r.tracker.Pick(request)
	}
	if lease == nil {
		r.logWaiting(t, request)
	}
	return lease
}

// placementRequest returns the requirements for a replica that runs items of the batch, whatever their
// service and group.
func (r *run) placementRequest() placement.Request {
	return placement.Request{Model: r.job.Model, MinVersion: r.job.MinVersion, RequireFreeSlot: true}
}

// requeue puts a task at the front of the queue.
func (r *run) requeue(t *task) {
	r.mu.Lock()
	r.queue = append([]*task{t}, r.queue...)
	r.mu.Unlock()
	select {
	case r.queueGrew <- struct{}{}:
	default:
	}
}

// completion returns a copy of an item's completion, empty if there is none.
func (r *run) completion(item string) Completion {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.unfinished[item]; c != nil {
		return *c.copy()
	}
	return Completion{}
}

func (r *run) setCompletion(item string, completion Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unfinished[item] = &completion
}

// finish records the result of an item.
func (r *run) finish(item *Item, result Result) {
	r.mu.Lock()
	if completion := r.unfinished[item.ID]; completion != nil && completion.Complete {
		completion.Score = result.Score
		r.finished[item.ID] = completion
	}
	delete(r.unfinished, item.ID)
	if holder := r.textHolders[item.ID]; holder != nil {
		holder.Release()
		delete(r.textHolders, item.ID)
	}
	r.remainingByGroup[item.Group]--
	groupComplete := r.remainingByGroup[item.Group] <= 0
	r.mu.Unlock()
	if groupComplete {
		r.measures.Observe(measure.GroupWhole, time.Since(r.job.AcceptedAt), r.job.Model)
	}
	if result.State == Errored {
		r.log.Log(event.BatchItemErrored, event.F("batch", r.job.ID), event.F("item", item.ID))
	}
	r.results.add(result, groupComplete)
}

// recordItemFailure counts a response that reported a failure of an item and returns the number.
func (r *run) recordItemFailure(item string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures[item]++
	return r.failures[item]
}

// stop ends the run and waits for its goroutines. It returns the completions from which another
// daemon resumes: the unfinished ones, and those whose results are not in the store.
func (r *run) stop() map[string]*Completion {
	r.cancel()
	<-r.done
	r.mu.Lock()
	defer r.mu.Unlock()
	completions := r.unfinished
	for id, completion := range r.finished {
		if !r.results.isConfirmed(id) {
			completions[id] = completion
		}
	}
	for id, failures := range r.failures {
		if completions[id] == nil && !r.results.isConfirmed(id) {
			completions[id] = &Completion{}
		}
		if completions[id] != nil {
			completions[id].Failures = failures
		}
	}
	return completions
}
