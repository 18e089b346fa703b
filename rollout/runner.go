package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

const (
	heartbeatInterval = time.Second      // of a run in progress
	abandonAfter      = 10 * time.Second // a sample in progress that no owner waits for is cut after this
)

// runner runs groups on this daemon and holds the payloads of finished samples until
// the owner says that the trainer has them. A sample belongs to its step, not to the
// owner that asked for it: a new owner finds it again.
type runner struct {
	m      *Manager
	speeds *speeds

	mu     sync.Mutex
	jobs   map[jobKey]*job
	groups map[groupKey]int // runs in progress by group
	drain  bool
}

// jobKey names one sample of one step.
type jobKey struct {
	step stepKey
	id   int32
}

// groupKey names one group of one step.
type groupKey struct {
	step stepKey
	id   string
}

func newRunner(m *Manager) *runner {
	return &runner{m: m, speeds: newSpeeds(), jobs: map[jobKey]*job{}, groups: map[groupKey]int{}}
}

// run runs one group and sends an event for each finished sample, a heartbeat at
// least each heartbeatInterval. It returns when all wanted samples were finished.
func (r *runner) run(ctx context.Context, request *rolloutpb.RunRequest, send func(*rolloutpb.RunEvent) error) error {
	g := newGroupRun(r, request)
	if g == nil {
		return invalidStep("the run has no group")
	}
	if !r.enter(g) {
		r.m.counters.busy.Add(1)
		return send(&rolloutpb.RunEvent{Busy: true})
	}
	defer r.leave(g)
	return g.watch(ctx, r.attach(g), send)
}

// enter counts the run unless this daemon runs enough groups.
func (r *runner) enter(g *groupRun) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.groups[g.key]
	if !known && (r.drain || len(r.groups) >= r.m.config.GroupsInProgress) && !r.holdsAll(g) {
		return false
	}
	r.groups[g.key]++
	return true
}

// holdsAll reports whether all wanted samples are held already. The caller holds mu.
func (r *runner) holdsAll(g *groupRun) bool {
	for _, id := range g.request.Wanted {
		job, ok := r.jobs[jobKey{step: g.key.step, id: id}]
		if !ok || g.again[id] || !job.finished() {
			return false
		}
	}
	return true
}

func (r *runner) leave(g *groupRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groups[g.key]--
	if r.groups[g.key] == 0 {
		delete(r.groups, g.key)
	}
}

// attach returns the jobs of the wanted samples and starts those that are missing.
func (r *runner) attach(g *groupRun) []*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	var started []*job
	for _, id := range g.request.Wanted {
		key := jobKey{step: g.key.step, id: id}
		j, ok := r.jobs[key]
		if ok && g.again[id] && j.finished() {
			j.cancel()
			ok = false
		}
		if !ok {
			j = newJob(r.m, g, id)
			r.jobs[key] = j
			started = append(started, j)
		}
		j.attach()
		g.siblings = append(g.siblings, j)
	}
	r.earnHedges(g, len(started))
	for _, j := range started {
		go j.run()
	}
	return g.siblings
}

// earnHedges gives the service hedge credit for samples that are started.
func (r *runner) earnHedges(g *groupRun, samples int) {
	doc, err := r.m.document(g.definition.Service)
	if err == nil {
		r.speeds.earn(doc, samples)
	}
}

// payloads returns the finished samples of the request that are held here.
func (r *runner) payloads(request *rolloutpb.FetchRequest) []*rolloutpb.Payload {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*rolloutpb.Payload
	for _, id := range request.Ids {
		j, ok := r.jobs[jobKeyOf(request, id)]
		if !ok || !j.finished() {
			continue
		}
		found = append(found, payloadOf(j.sample))
	}
	return found
}

// release frees the payloads of samples that the trainer has.
func (r *runner) release(request *rolloutpb.FetchRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range request.Ids {
		key := jobKeyOf(request, id)
		if j, ok := r.jobs[key]; ok {
			j.cancel()
			delete(r.jobs, key)
		}
	}
}

func jobKeyOf(r *rolloutpb.FetchRequest, id int32) jobKey {
	return jobKey{step: stepKey{trainer: r.Trainer, step: r.Step, layout: r.Layout}, id: id}
}

// sweep cuts samples in progress that no owner waits for and forgets payloads that
// nobody asked for since oldest.
func (r *runner) sweep(oldest time.Time) {
	abandoned := r.m.now().Add(-abandonAfter)
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, j := range r.jobs {
		if j.idleBefore(abandoned, oldest) {
			j.cancel()
			delete(r.jobs, key)
		}
	}
}

// held returns how many payloads are held.
func (r *runner) held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, j := range r.jobs {
		if j.finished() {
			count++
		}
	}
	return count
}

func (r *runner) groupsInProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.groups)
}
