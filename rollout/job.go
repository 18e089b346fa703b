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
	attemptBackoff    = 50 * time.Millisecond // before the next attempt of a sample, doubled after each failure
	maxAttemptBackoff = 2 * time.Second
	maxExcluded       = 2                     // replicas of failed attempts that the next attempt avoids
	watchInterval     = 50 * time.Millisecond // interval between checks of the attempts in progress
)

// job generates one sample, with as many attempts as needed, and holds the result.
type job struct {
	m      *Manager
	key    jobKey
	group  *groupRun
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed when the sample is finished or the job was canceled

	// Used by the job's goroutine, except restarted.
	excluded       []string // replicas of the latest failed attempts
	hedged         bool     // the sample's one hedge is used
	restarted      bool     // the sample's one restart on a newer version is used; set by the attempt's goroutine
	moves          int      // times that the sample was restarted on another replica
	replicaLagging bool     // the last attempt was canceled as stale on a lagging replica

	mu        sync.Mutex
	attached  int       // runs that wait for the job
	lastUsed  time.Time // time of the last attach or detach
	sample    Sample    // valid if hasSample
	hasSample bool
	oldest    int64
	timing    sampleTiming
}

func newJob(m *Manager, g *groupRun, id int32) *job {
	ctx, cancel := context.WithCancel(m.baseCtx)
	return &job{
		m:        m,
		key:      jobKey{step: g.key.step, id: id},
		group:    g,
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		lastUsed: m.now(),
	}
}

func (j *job) attach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attached++
	j.lastUsed = j.m.now()
}

func (j *job) detach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attached--
	j.lastUsed = j.m.now()
}

// idleBefore reports whether no run has waited for the job since unfinishedCutoff (if in
// progress) or finishedCutoff (if finished).
func (j *job) idleBefore(unfinishedCutoff, finishedCutoff time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.attached > 0 {
		return false
	}
	if j.hasSample {
		return j.lastUsed.Before(finishedCutoff)
	}
	return j.lastUsed.Before(unfinishedCutoff)
}

// isAwaited reports whether the sample is in progress and a run waits for it.
func (j *job) isAwaited() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.hasSample && j.attached > 0 && j.ctx.Err() == nil
}

// isFinished reports whether the job holds a finished sample.
func (j *job) isFinished() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.hasSample
}

// notifyDone sends the job to done when it has ended.
func (j *job) notifyDone(ctx context.Context, done chan<- *job) {
	select {
	case <-j.done:
		done <- j
	case <-ctx.Done():
	}
}

// event returns the event of a finished sample, nil if the job was canceled.
func (j *job) event() *rolloutpb.RunEvent {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.hasSample {
		return nil
	}
	return &rolloutpb.RunEvent{Id: j.key.id, Oldest: j.oldest, Tokens: int32(j.sample.Tokens), DurationMs: j.timing.total.Milliseconds()}
}

// run makes attempts with a backoff until one succeeds or the job is canceled. A sample
// that was canceled as stale restarts without a backoff, unless the replica is lagging.
func (j *job) run() {
	defer close(j.done)
	backoff := attemptBackoff
	for j.ctx.Err() == nil {
		result, err := j.runAttempts()
		if err == nil {
			j.storeSample(result)
			return
		}
		if j.countFailure(err) {
			continue
		}
		j.waitBackoff(backoff)
		backoff = min(2*backoff, maxAttemptBackoff)
	}
}

// countFailure counts a failure of runAttempts and reports whether the next call follows
// without a backoff.
func (j *job) countFailure(err error) bool {
	switch {
	case errors.Is(err, errMoved):
		j.m.counters.moved.Add(1)
		return true
	case isStale(err):
		j.m.counters.staleCanceled.Add(1)
		return !j.replicaLagging
	}
	j.m.counters.failed.Add(1)
	j.m.deps.Log.Log(event.RolloutSampleFailed, event.F("step", j.key.step.placement()), event.F("sample", j.key.id), event.Err(err))
	return false
}

// waitBackoff waits for a random duration between d/2 and d, or until the job is
// canceled.
func (j *job) waitBackoff(d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-j.ctx.Done():
	case <-timer.C:
	}
}

// runAttempts makes one attempt, and a concurrent hedge if the attempt is a straggler.
// The first attempt that completes wins; the other attempt is canceled and its tokens are
// discarded.
func (j *job) runAttempts() (attemptResult, error) {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	attempts := []*attempt{j.startAttempt(ctx, results, j.excluded)}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for failed := 0; ; {
		select {
		case r := <-results:
			j.replicaLagging = isStale(r.err) && j.replicaLags(r.attempt)
			if r.err == nil {
				j.recordWin(r.attempt, attempts)
				return r, nil
			}
			if !isStale(r.err) || j.replicaLagging {
				j.excludeReplica(r.attempt.replicaID())
			}
			failed++
			if failed == len(attempts) {
				return r, r.err
			}
		case <-ticker.C:
			j.cancelStale(attempts)
			if hedge := j.moveOrHedge(ctx, results, attempts, failed); hedge != nil {
				attempts = append(attempts, hedge)
			}
		}
	}
}

// replicaLags reports whether the attempt's replica is lagging (see attempt.lagging).
func (j *job) replicaLags(a *attempt) bool {
	doc, err := j.m.document(j.group.definition.Service)
	return err == nil && a.lagging(doc)
}

// excludeReplica excludes a replica whose attempt failed from the next attempts. If an
// attempt found no replica, it clears the exclusions: the replicas that failed may have
// recovered, and there may be no others.
func (j *job) excludeReplica(replica string) {
	if replica == "" {
		j.excluded = nil
		return
	}
	j.excluded = append(j.excluded, replica)
	if len(j.excluded) > maxExcluded {
		j.excluded = j.excluded[1:]
	}
}

// moveOrHedge cancels a straggler with little progress, so that it restarts on another
// replica, or else starts a second attempt on another replica if the service's hedge
// budget allows it. It returns the second attempt, if any.
func (j *job) moveOrHedge(ctx context.Context, results chan<- attemptResult, attempts []*attempt, failed int) *attempt {
	if j.m.config.DisableHedging || j.hedged || len(attempts) != 1 || failed > 0 {
		return nil
	}
	doc, err := j.m.document(j.group.definition.Service)
	if err != nil || doc.Samples.Hedges == 0 || !j.isStraggler(attempts[0], doc) {
		return nil
	}
	if j.shouldMove(attempts[0], doc) {
		j.moves++
		j.m.runner.stats.addWasted(doc.Service, attempts[0].tokensSoFar())
		attempts[0].cancel(errMoved)
		return nil
	}
	if !j.m.runner.stats.spendHedgeCredit(doc) {
		return nil
	}
	j.hedged = true
	j.m.counters.hedged.Add(1)
	j.m.deps.Log.Log(event.RolloutSampleHedged, event.F("step", j.key.step.placement()), event.F("sample", j.key.id))
	hedge := j.startAttempt(ctx, results, append([]string{attempts[0].replicaID()}, j.excluded...))
	hedge.isHedge = true
	return hedge
}

// recordWin counts a hedge that won, and the wasted tokens of the attempt that lost.
func (j *job) recordWin(winner *attempt, attempts []*attempt) {
	if winner.isHedge {
		j.m.counters.hedgeWins.Add(1)
	}
	for _, a := range attempts {
		if a != winner {
			j.m.runner.stats.addWasted(j.group.definition.Service, a.tokensSoFar())
		}
	}
}

// storeSample stores the finished sample and its timing.
func (j *job) storeSample(result attemptResult) {
	j.m.counters.generated.Add(1)
	c := result.completion
	timing := sampleTiming{tokens: c.Tokens, timeToFirstTokens: result.attempt.timing().timeToFirstTokens, total: c.Ended.Sub(c.Started)}
	j.m.runner.stats.add(j.group.definition.Service, timing)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sample = Sample{
		ID:         int(j.key.id),
		Group:      j.group.group.Id,
		Completion: c.Text,
		Tokens:     c.Tokens,
		Segments:   c.Segments,
		Replica:    c.Replica,
	}
	j.hasSample = true
	j.oldest = oldestVersion(c.Segments)
	j.timing = timing
}

// finishedTiming returns the timing of a finished sample, if this runner generated it.
func (j *job) finishedTiming() (sampleTiming, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.timing, j.hasSample && j.timing.total > 0
}
