package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

const (
	attemptBackoff     = 50 * time.Millisecond // before the next attempt of a sample, doubled each time
	attemptBackoffMost = 2 * time.Second
	excludeMost        = 2                     // replicas of failed attempts that the next one avoids
	watchInterval      = 50 * time.Millisecond // between two looks at the attempts in progress
)

// job generates one sample, however many attempts it takes, and holds the result.
type job struct {
	m      *Manager
	key    jobKey
	group  *groupRun
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed when the sample is finished or the job was cancelled

	// Used by the job's goroutine alone.
	exclude   []string // replicas of the latest failed attempts
	hedged    bool     // the one hedge was used
	freshened bool     // the one restart on a newer version was used
	moves     int      // times that it was begun again on another replica
	lagged    bool     // the last attempt was cut on a replica that lags behind the bound

	mu       sync.Mutex
	attached int       // runs that wait for it
	used     time.Time // last attach or detach
	sample   Sample    // valid when ok
	ok       bool
	oldest   int64
	speed    finishedSample
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

// awaited reports whether the sample is in progress and a run waits for it.
func (j *job) awaited() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.ok && j.attached > 0 && j.ctx.Err() == nil
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
	return &rolloutpb.RunEvent{Id: j.key.id, Oldest: j.oldest, Tokens: int32(j.sample.Tokens), DurationMs: j.speed.took.Milliseconds()}
}

// run makes attempts with a backoff until one is whole or the job is cancelled. A
// sample that was cut as stale starts again without a pause, unless its replica itself
// lags behind the bound.
func (j *job) run() {
	defer close(j.done)
	backoff := attemptBackoff
	for j.ctx.Err() == nil {
		c, err := j.race()
		if err == nil {
			j.finish(c)
			return
		}
		if j.again(err) {
			continue
		}
		j.pause(backoff)
		backoff = min(2*backoff, attemptBackoffMost)
	}
}

// again counts a failed race and reports whether the next begins without a pause.
func (j *job) again(err error) bool {
	switch {
	case errors.Is(err, errMoved):
		j.m.counters.moved.Add(1)
		return true
	case isCut(err):
		j.m.counters.cut.Add(1)
		return !j.lagged
	}
	j.m.counters.failed.Add(1)
	j.m.parts.Log.Log(event.RolloutSampleFailed, event.F("step", j.key.step.placement()), event.F("sample", j.key.id), event.Err(err))
	return false
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

// race makes one attempt, and a hedge beside it if it straggles. The first whole
// completion wins and the other attempt is cancelled; nothing of it is used.
func (j *job) race() (attemptResult, error) {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	attempts := []*attempt{j.start(ctx, results, j.exclude)}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for failed := 0; ; {
		select {
		case r := <-results:
			j.lagged = isCut(r.err) && j.lags(r.attempt)
			if r.err == nil {
				j.countWin(r.attempt, attempts)
				return r, nil
			}
			if !isCut(r.err) || j.lagged {
				j.avoid(r.attempt.replicaID())
			}
			failed++
			if failed == len(attempts) {
				return r, r.err
			}
		case <-ticker.C:
			j.cutStale(attempts)
			if hedge := j.hedge(ctx, results, attempts, failed); hedge != nil {
				attempts = append(attempts, hedge)
			}
		}
	}
}

// lags reports whether the attempt's replica lags behind the staleness bound.
func (j *job) lags(a *attempt) bool {
	doc, err := j.m.document(j.group.definition.Service)
	return err == nil && a.lagging(doc)
}

// avoid keeps the next attempts away from a replica whose attempt failed. When an
// attempt found no replica, those that failed before are tried again: they may have
// recovered, and there may be no others.
func (j *job) avoid(replica string) {
	if replica == "" {
		j.exclude = nil
		return
	}
	j.exclude = append(j.exclude, replica)
	if len(j.exclude) > excludeMost {
		j.exclude = j.exclude[1:]
	}
}

// hedge moves a straggler to another replica when little of it was generated, or
// starts a second attempt on one when the service's budget allows it.
func (j *job) hedge(ctx context.Context, results chan<- attemptResult, attempts []*attempt, failed int) *attempt {
	if j.m.config.DisableHedging || j.hedged || len(attempts) != 1 || failed > 0 {
		return nil
	}
	doc, err := j.m.document(j.group.definition.Service)
	if err != nil || doc.Samples.Hedges == 0 || !j.straggles(attempts[0], doc) {
		return nil
	}
	if j.betterMoved(attempts[0], doc) {
		j.moves++
		j.m.runner.speeds.throwAway(doc.Service, attempts[0].progress())
		attempts[0].cancel(errMoved)
		return nil
	}
	if !j.m.runner.speeds.takeHedge(doc) {
		return nil
	}
	j.hedged = true
	j.m.counters.hedged.Add(1)
	j.m.parts.Log.Log(event.RolloutSampleHedged, event.F("step", j.key.step.placement()), event.F("sample", j.key.id))
	hedge := j.start(ctx, results, append([]string{attempts[0].replicaID()}, j.exclude...))
	hedge.hedge = true
	return hedge
}

// countWin counts a hedge that won, and the tokens of the attempt that lost.
func (j *job) countWin(winner *attempt, attempts []*attempt) {
	if winner.hedge {
		j.m.counters.hedgeWins.Add(1)
	}
	for _, a := range attempts {
		if a != winner {
			j.m.runner.speeds.throwAway(j.group.definition.Service, a.progress())
		}
	}
}

// finish holds the sample.
func (j *job) finish(r attemptResult) {
	j.m.counters.generated.Add(1)
	c := r.completion
	speed := finishedSample{tokens: c.Tokens, first: r.attempt.elapsed().first, took: c.Ended.Sub(c.Started)}
	j.m.runner.speeds.add(j.group.definition.Service, speed)
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
	j.speed = speed
}

// finishedSpeed returns how the sample was generated, if that was here.
func (j *job) finishedSpeed() (finishedSample, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.speed, j.ok && j.speed.took > 0
}
