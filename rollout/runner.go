package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

const (
	heartbeatInterval   = time.Second      // interval between heartbeats of a run in progress
	abandonedJobTimeout = 10 * time.Second // a sample in progress that no owner waits for is canceled after this
)

// runner runs groups on this daemon and holds the payloads of finished samples until the
// owner reports that the trainer has them. A sample belongs to its step, not to the owner
// that requested it, so a new owner reuses it.
type runner struct {
	m     *Manager
	stats *generationStats

	mu       sync.Mutex
	jobs     map[jobKey]*job
	groups   map[groupKey]int // runs in progress by group
	draining bool
}

// jobKey identifies a sample of a step.
type jobKey struct {
	step stepKey
	id   int32
}

// groupKey identifies a group of a step.
type groupKey struct {
	step stepKey
	id   string
}

func newRunner(m *Manager) *runner {
	return &runner{m: m, stats: newGenerationStats(), jobs: map[jobKey]*job{}, groups: map[groupKey]int{}}
}

// run runs one group. It sends an event for each finished sample and a heartbeat every
// heartbeatInterval, and returns when all wanted samples are finished. If the runner
// accepts no more groups, it sends one Busy event.
func (r *runner) run(ctx context.Context, request *rolloutpb.RunRequest, send func(*rolloutpb.RunEvent) error) error {
	g := newGroupRun(r, request)
	if g == nil {
		return invalidStep("the run must have exactly one group")
	}
	if !r.admit(g) {
		r.m.counters.runsRefused.Add(1)
		return send(&rolloutpb.RunEvent{Busy: true})
	}
	defer r.unregister(g)
	return g.sendEvents(ctx, r.attach(g), send)
}

// admit registers the run. It returns false if the runner drains or has reached
// MaxConcurrentGroups, unless the group already runs or all its wanted samples are held.
func (r *runner) admit(g *groupRun) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.groups[g.key]
	if !known && (r.draining || len(r.groups) >= r.m.config.MaxConcurrentGroups) && !r.hasAllSamples(g) {
		return false
	}
	r.groups[g.key]++
	return true
}

// hasAllSamples reports whether the runner already holds all wanted samples. The caller
// holds mu.
func (r *runner) hasAllSamples(g *groupRun) bool {
	for _, id := range g.request.Wanted {
		job, ok := r.jobs[jobKey{step: g.key.step, id: id}]
		if !ok || g.regenerate[id] || !job.isFinished() {
			return false
		}
	}
	return true
}

func (r *runner) unregister(g *groupRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groups[g.key]--
	if r.groups[g.key] == 0 {
		delete(r.groups, g.key)
	}
}

// attach returns the jobs of the wanted samples and starts the missing ones.
func (r *runner) attach(g *groupRun) []*job {
	r.mu.Lock()
	defer r.mu.Unlock()
	var started []*job
	for _, id := range g.request.Wanted {
		key := jobKey{step: g.key.step, id: id}
		j, exists := r.jobs[key]
		if exists && g.regenerate[id] && j.isFinished() {
			j.cancel()
			exists = false
		}
		if !exists {
			j = newJob(r.m, g, id)
			r.jobs[key] = j
			started = append(started, j)
		}
		j.attach()
		g.jobs = append(g.jobs, j)
	}
	r.addHedgeCredit(g, len(started))
	for _, j := range started {
		go j.run()
	}
	return g.jobs
}

// addHedgeCredit grants the service hedge credit for started samples.
func (r *runner) addHedgeCredit(g *groupRun, samples int) {
	doc, err := r.m.document(g.definition.Service)
	if err == nil {
		r.stats.addHedgeCredit(doc, samples)
	}
}

// payloads returns the finished samples of the request that this runner holds.
func (r *runner) payloads(request *rolloutpb.FetchRequest) []*rolloutpb.Payload {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*rolloutpb.Payload
	for _, id := range request.Ids {
		j, ok := r.jobs[jobKeyOf(request, id)]
		if !ok || !j.isFinished() {
			continue
		}
		found = append(found, payloadFromSample(j.sample))
	}
	return found
}

// release drops the payloads of samples that the trainer has.
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

// sweep cancels samples in progress that no owner has waited for during
// abandonedJobTimeout, and removes payloads not requested since finishedCutoff.
func (r *runner) sweep(finishedCutoff time.Time) {
	unfinishedCutoff := r.m.now().Add(-abandonedJobTimeout)
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, j := range r.jobs {
		if j.idleBefore(unfinishedCutoff, finishedCutoff) {
			j.cancel()
			delete(r.jobs, key)
		}
	}
}

// heldSamples returns the number of finished samples held.
func (r *runner) heldSamples() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, j := range r.jobs {
		if j.isFinished() {
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
