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

// freshShare is the part of a sample's expected tokens up to which the staleness
// preference restarts it on a newer version.
const freshShare = 0.6

// attempt is one request for a sample on one replica.
type attempt struct {
	j      *job
	hedge  bool
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	replica string    // "" until one was chosen
	since   time.Time // when it was chosen
	first   time.Time // when the first tokens came, zero before
	tokens  int       // so far
	chunks  int       // with tokens, so far
	oldest  int64     // oldest version so far, 0 for none
	latest  int64     // version of the latest segment
}

// attemptResult is the end of an attempt.
type attemptResult struct {
	attempt    *attempt
	completion dispatch.Completion
	err        error
}

// start asks for the sample on another goroutine, which sends one result.
func (j *job) start(ctx context.Context, results chan<- attemptResult, exclude []string) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{j: j, cancel: cancel}
	request := j.sampleRequest(exclude)
	request.OnVersion = a.onVersion
	request.OnProgress = a.onProgress
	go func() {
		defer cancel(nil)
		c, err := j.m.parts.Generator.Generate(ctx, request)
		if cause := context.Cause(ctx); err != nil && (isCut(cause) || errors.Is(cause, errMoved)) {
			err = cause
		}
		if err == nil {
			err = checkTags(c.Tokens, c.Segments)
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

// onProgress takes in the chosen replica and the tokens so far.
func (a *attempt) onProgress(replica string, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.replica != replica {
		a.replica = replica
		a.since = a.j.m.now()
	}
	if tokens > a.tokens {
		a.chunks++
	}
	if tokens > 0 && a.first.IsZero() {
		a.first = a.j.m.now()
	}
	a.tokens = tokens
}

// onVersion takes in the version of a new segment. An error ends the attempt, since
// the sample would be over the bound or is better begun again.
func (a *attempt) onVersion(version int64) error {
	j := a.j
	doc, err := j.m.document(j.group.definition.Service)
	if err != nil {
		return nil
	}
	j.m.observe(doc.Pool, version)
	switched := a.addVersion(version)
	if a.overBound(doc) || (switched && j.betterFresh(a, doc)) {
		return staleCut()
	}
	return nil
}

// addVersion reports whether the version is newer than the sample's first ones.
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

// overBound reports whether the sample is over the staleness bound already.
func (a *attempt) overBound(doc *document.Document) bool {
	m, d := a.j.m, a.j.group.definition
	if m.config.DisableCutStale {
		return false
	}
	a.mu.Lock()
	oldest := a.oldest
	a.mu.Unlock()
	bound := min(int64(d.Bound), int64(doc.Samples.StalenessBound))
	return oldest > 0 && m.newest(doc.Pool)-oldest > bound
}

// lagging reports whether the replica itself runs a version that is over the bound, so
// that to begin again on it at once would be cut again.
func (a *attempt) lagging(doc *document.Document) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	bound := min(int64(a.j.group.definition.Bound), int64(doc.Samples.StalenessBound))
	return a.latest > 0 && a.j.m.newest(doc.Pool)-a.latest > bound
}

// betterFresh reports whether the staleness preference begins the sample again on the
// newer version: once a sample, and only while little of it was generated.
func (j *job) betterFresh(a *attempt, doc *document.Document) bool {
	if j.m.config.DisableFreshness || doc.Samples.Preference != document.PreferStaleness || j.freshened {
		return false
	}
	expected := j.m.runner.speeds.expectedTokens(doc.Service, int(j.group.group.MaxTokens))
	if float64(a.progress()) > freshShare*float64(expected) {
		return false
	}
	j.freshened = true
	return true
}

// cutStale ends attempts that are over the staleness bound already.
func (j *job) cutStale(attempts []*attempt) {
	doc, err := j.m.document(j.group.definition.Service)
	if err != nil {
		return
	}
	for _, a := range attempts {
		if a.overBound(doc) {
			a.cancel(staleCut())
		}
	}
}

func (a *attempt) replicaID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.replica
}

// progress returns the tokens so far.
func (a *attempt) progress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens
}

// attemptTime is how far an attempt is.
type attemptTime struct {
	chosen   bool // a replica was chosen
	tokens   int
	chunks   int
	since    time.Duration // since then
	decoding time.Duration // since the first tokens
	first    time.Duration // from the choice to the first tokens
}

func (a *attempt) elapsed() attemptTime {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := attemptTime{chosen: a.replica != "", tokens: a.tokens, chunks: a.chunks}
	if !e.chosen {
		return e
	}
	now := a.j.m.now()
	e.since = now.Sub(a.since)
	if !a.first.IsZero() {
		e.decoding = now.Sub(a.first)
		e.first = a.first.Sub(a.since)
	}
	return e
}

// errMoved ends an attempt that is begun again on another replica.
var errMoved = errors.New("begun again on another replica")

func staleCut() error {
	return fault.New(fault.Stale, "the sample in progress is over the staleness bound or better begun again", "none needed, it is generated again")
}

func isCut(err error) bool { return fault.Is(err, fault.Stale) }
