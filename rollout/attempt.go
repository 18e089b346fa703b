package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// restartMaxProgress is the share of a sample's expected tokens up to which the
// staleness preference restarts the sample on a newer version.
const restartMaxProgress = 0.6

// attempt is one request for a sample on one replica.
type attempt struct {
	job     *job
	isHedge bool
	cancel  context.CancelCauseFunc

	mu            sync.Mutex
	replica       string    // "" until one is chosen
	chosenAt      time.Time // when the replica was chosen
	firstTokensAt time.Time // when the first tokens arrived, zero before
	tokens        int       // generated so far
	chunks        int       // chunks with tokens received so far
	oldest        int64     // oldest weight version so far, 0 for none
	latest        int64     // weight version of the latest segment
}

type attemptResult struct {
	attempt    *attempt
	completion dispatch.Completion
	err        error
}

// startAttempt requests the sample on a new goroutine, which sends exactly one result.
func (j *job) startAttempt(ctx context.Context, results chan<- attemptResult, exclude []string) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{job: j, cancel: cancel}
	request := j.sampleRequest(exclude)
	request.OnVersion = a.onVersion
	request.OnProgress = a.onProgress
	go func() {
		defer cancel(nil)
		c, err := j.m.deps.Generator.Generate(ctx, request)
		if cause := context.Cause(ctx); err != nil && (isStale(cause) || errors.Is(cause, errMoved)) {
			err = cause
		}
		if err == nil {
			err = checkVersionTags(c.Tokens, c.Segments)
		}
		results <- attemptResult{attempt: a, completion: c, err: err}
	}()
	return a
}

func (j *job) sampleRequest(exclude []string) dispatch.SampleRequest {
	d, group := j.group.definition, j.group.group
	name := fmt.Sprintf("%s/%d/%x/%d", d.Trainer, d.Step, j.key.step.layout, j.key.id)
	r := dispatch.SampleRequest{
		Service:   d.Service,
		RequestID: name + "-" + newNonce(),
		Key:       fmt.Sprintf("%s/%d/%s", d.Trainer, d.Step, group.Id),
		Prompt:    group.Prompt,
		MaxTokens: int(group.MaxTokens),
		Seed:      int64(xxhash.Sum64String(name) >> 1),
		Exclude:   append([]string(nil), exclude...),
	}
	if doc, err := j.m.document(d.Service); err == nil {
		r.Team = doc.Team
	}
	return r
}

// onProgress records the chosen replica and the number of tokens generated so far.
func (a *attempt) onProgress(replica string, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replica != replica {
		a.replica = replica
		a.chosenAt = a.job.m.now()
	}
	if tokens > a.tokens {
		a.chunks++
	}
	if tokens > 0 && a.firstTokensAt.IsZero() {
		a.firstTokensAt = a.job.m.now()
	}
	a.tokens = tokens
}

// onVersion records the version of a new segment. It returns an error, which ends the
// attempt, if the sample exceeds the staleness bound or should restart on the newer
// version.
func (a *attempt) onVersion(version int64) error {
	j := a.job
	doc, err := j.m.document(j.group.definition.Service)
	if err != nil {
		return nil
	}
	j.m.observeVersion(doc.Pool, version)
	newer := a.addVersion(version)
	if a.exceedsBound(doc) || (newer && j.shouldRestartOnNewer(a, doc)) {
		return staleAttemptError()
	}
	return nil
}

// addVersion records a version and reports whether it is newer than the oldest one of
// the sample.
func (a *attempt) addVersion(version int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latest = version
	if a.oldest == 0 {
		a.oldest = version
		return false
	}
	newer := version > a.oldest
	a.oldest = min(a.oldest, version)
	return newer
}

// exceedsBound reports whether the sample already exceeds the staleness bound. It returns
// false if DisableStaleCancel is set.
func (a *attempt) exceedsBound(doc *document.Document) bool {
	m, d := a.job.m, a.job.group.definition
	if m.config.DisableStaleCancel {
		return false
	}
	a.mu.Lock()
	oldest := a.oldest
	a.mu.Unlock()
	bound := min(int64(d.Bound), int64(doc.Samples.StalenessBound))
	return oldest > 0 && m.newestVersion(doc.Pool)-oldest > bound
}

// lagging reports whether even the replica's latest version is too old for the staleness
// bound. An immediate restart on such a replica would be canceled again.
func (a *attempt) lagging(doc *document.Document) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	bound := min(int64(a.job.group.definition.Bound), int64(doc.Samples.StalenessBound))
	return a.latest > 0 && a.job.m.newestVersion(doc.Pool)-a.latest > bound
}

// shouldRestartOnNewer reports whether the staleness preference restarts the sample on
// the newer version: at most once per sample, and only while at most restartMaxProgress
// of it is generated.
func (j *job) shouldRestartOnNewer(a *attempt, doc *document.Document) bool {
	if j.m.config.DisableStalenessPreference || doc.Samples.Preference != document.PreferStaleness || j.restarted {
		return false
	}
	expected := j.m.runner.stats.expectedTokens(doc.Service, int(j.group.group.MaxTokens))
	if float64(a.tokensSoFar()) > restartMaxProgress*float64(expected) {
		return false
	}
	j.restarted = true
	return true
}

// cancelStale cancels the attempts that already exceed the staleness bound.
func (j *job) cancelStale(attempts []*attempt) {
	doc, err := j.m.document(j.group.definition.Service)
	if err != nil {
		return
	}
	for _, a := range attempts {
		if a.exceedsBound(doc) {
			a.cancel(staleAttemptError())
		}
	}
}

func (a *attempt) replicaID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.replica
}

func (a *attempt) tokensSoFar() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens
}

// attemptTiming describes the progress of an attempt.
type attemptTiming struct {
	chosen            bool // a replica is chosen; the durations are zero before
	tokens            int
	chunks            int
	sinceChosen       time.Duration // since the replica was chosen
	decoding          time.Duration // since the first tokens
	timeToFirstTokens time.Duration // from the choice of the replica to the first tokens
}

func (a *attempt) timing() attemptTiming {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := attemptTiming{chosen: a.replica != "", tokens: a.tokens, chunks: a.chunks}
	if !t.chosen {
		return t
	}
	now := a.job.m.now()
	t.sinceChosen = now.Sub(a.chosenAt)
	if !a.firstTokensAt.IsZero() {
		t.decoding = now.Sub(a.firstTokensAt)
		t.timeToFirstTokens = a.firstTokensAt.Sub(a.chosenAt)
	}
	return t
}

// errMoved is the cancellation cause of an attempt that restarts on another replica.
var errMoved = errors.New("restarted on another replica")

func staleAttemptError() error {
	return fault.New(fault.Stale, "the sample in progress exceeds the staleness bound or restarts on a newer version", "none needed, it is generated again")
}

func isStale(err error) bool { return fault.Is(err, fault.Stale) }
