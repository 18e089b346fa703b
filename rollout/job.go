package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

const (
	attemptBackoff     = 50 * time.Millisecond // before the next attempt of a sample, doubled each time
	attemptBackoffMost = 2 * time.Second
	excludeMost        = 2 // replicas of failed attempts that the next one avoids
)

// job generates one sample, however many attempts it takes, and holds the result.
type job struct {
	m      *Manager
	key    jobKey
	group  *groupRun
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed when the sample is finished or the job was cancelled

	mu       sync.Mutex
	attached int       // runs that wait for it
	used     time.Time // last attach or detach
	sample   Sample    // valid after done, when ok
	ok       bool
	oldest   int64
	took     time.Duration
}

func newJob(m *Manager, g *groupRun, id int32) *job {
	ctx, cancel := context.WithCancel(m.life)
	return &job{
		m:      m,
		key:    jobKey{step: g.key.step, id: id},
		group:  g,
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		used:   m.now(),
	}
}

func (j *job) attach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attached++
	j.used = j.m.now()
}

func (j *job) detach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attached--
	j.used = j.m.now()
}

// idleBefore reports whether no run waits for the job since abandoned (in progress) or
// oldest (finished).
func (j *job) idleBefore(abandoned, oldest time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.attached > 0 {
		return false
	}
	if j.ok {
		return j.used.Before(oldest)
	}
	return j.used.Before(abandoned)
}

// finished reports whether the sample is held.
func (j *job) finished() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ok
}

// report sends the job to done when it ended.
func (j *job) report(ctx context.Context, done chan<- *job) {
	select {
	case <-j.done:
		done <- j
	case <-ctx.Done():
	}
}

// event returns the event of a finished sample, nil when the job was cancelled.
func (j *job) event() *rolloutpb.RunEvent {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.ok {
		return nil
	}
	return &rolloutpb.RunEvent{Id: j.key.id, Oldest: j.oldest, Tokens: int32(j.sample.Tokens), DurationMs: j.took.Milliseconds()}
}

// run makes attempts with a backoff until one is whole or the job is cancelled.
func (j *job) run() {
	defer close(j.done)
	backoff := attemptBackoff
	for number := 1; j.ctx.Err() == nil; number++ {
		c, err := j.attempt(number)
		if err == nil {
			j.finish(c)
			return
		}
		j.m.counters.failed.Add(1)
		j.m.parts.Log.Log(event.RolloutSampleFailed, event.F("step", j.key.step.placement()), event.F("sample", j.key.id), event.F("attempt", number), event.Err(err))
		j.pause(backoff)
		backoff = min(2*backoff, attemptBackoffMost)
	}
}

// pause waits for between half of d and d.
func (j *job) pause(d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-j.ctx.Done():
	case <-timer.C:
	}
}

// attempt asks for the sample once. A completion whose version tags do not cover all
// its tokens is an error.
func (j *job) attempt(number int) (dispatch.Completion, error) {
	c, err := j.m.parts.Generator.Generate(j.ctx, j.sampleRequest(number))
	if err != nil {
		return c, err
	}
	return c, checkTags(c.Tokens, c.Segments)
}

func (j *job) sampleRequest(number int) dispatch.SampleRequest {
	d, group := j.group.definition, j.group.group
	name := fmt.Sprintf("%s/%d/%x/%d", d.Trainer, d.Step, j.key.step.layout, j.key.id)
	r := dispatch.SampleRequest{
		Service:   d.Service,
		RequestID: fmt.Sprintf("%s/%d-%s", name, number, newNonce()),
		Key:       fmt.Sprintf("%s/%d/%s", d.Trainer, d.Step, group.Id),
		Prompt:    group.Prompt,
		MaxTokens: int(group.MaxTokens),
		Seed:      int64(xxhash.Sum64String(name) >> 1),
	}
	if doc, err := j.m.document(d.Service); err == nil {
		r.Team = doc.Team
	}
	return r
}

// finish holds the sample.
func (j *job) finish(c dispatch.Completion) {
	j.m.counters.generated.Add(1)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sample = Sample{
		ID:       int(j.key.id),
		Group:    j.group.group.Id,
		Text:     c.Text,
		Tokens:   c.Tokens,
		Segments: c.Segments,
		Replica:  c.Replica,
	}
	j.ok = true
	j.oldest = oldestVersion(c.Segments)
	j.took = c.Ended.Sub(c.Started)
}
