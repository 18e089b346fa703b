// Package trainer is a fake trainer. It opens steps, pulls their samples through any
// daemon and checks the delivered samples.
package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
)

const (
	callTimeout   = 5 * time.Second // of one call; must exceed pullWait
	pullWait      = 2 * time.Second
	retryInterval = 100 * time.Millisecond
)

// Config configures a Trainer.
type Config struct {
	Name              string
	Service           string
	Daemons           []string     // HTTP addresses; the trainer switches to the next one after a failed call
	StalenessBound    int          // maximum weight versions by which a delivered sample may lag
	Version           func() int64 // returns the trainer's weight version
	MaxSamplesPerPull int          // maximum samples per pull, 0 for no limit
	Client            *http.Client // if nil, the trainer creates one
}

// Trainer is a fake trainer process.
type Trainer struct {
	config      Config
	client      *http.Client
	daemonIndex int // daemon of the next call
	epoch       int64
}

// Result holds the counters and violations of one step.
type Result struct {
	Expected              int           `json:"expected"`
	Delivered             int           `json:"delivered"` // distinct samples
	Duplicated            int           `json:"duplicated"`
	Missing               int           `json:"missing"`
	OverBound             int           `json:"over_bound"`
	Untagged              int           `json:"untagged"` // segments do not cover the sample or name no version
	MismatchedCompletions int           `json:"wrong"`    // completion does not match prompt and weight versions
	Retries               int           `json:"retries"`  // calls that failed and were retried
	Tokens                int           `json:"tokens"`
	Duration              time.Duration `json:"took_ns"`
	Staleness             []int         `json:"staleness"`  // weight versions by which each correctly tagged sample lags
	Replicas              []string      `json:"replicas"`   // one per sample
	Versions              int           `json:"versions"`   // distinct weight versions in the samples
	MultiSegment          int           `json:"multi_part"` // samples with more than one segment
}

// Violated reports whether any guarantee was violated.
func (r Result) Violated() bool {
	return r.Duplicated+r.Missing+r.OverBound+r.Untagged+r.MismatchedCompletions > 0 || r.Delivered != r.Expected
}

// New returns a trainer without a session.
func New(config Config) *Trainer {
	client := config.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	}
	return &Trainer{config: config, client: client}
}

// Open opens a session, which ends older sessions of the same trainer name.
func (t *Trainer) Open(ctx context.Context) error {
	var session rollout.Session
	err := t.retry(ctx, "/sessions", rollout.OpenSessionRequest{Service: t.config.Service}, &session, func() {})
	t.epoch = session.Epoch
	return err
}

// Step opens a step and pulls all its samples. It calls progress after each pull.
func (t *Trainer) Step(ctx context.Context, number int64, groups []rollout.Group, progress func(delivered int)) (Result, error) {
	check := newChecker(groups, t.config.StalenessBound)
	countRetry := func() { check.result.Retries++ }
	started := time.Now()
	var step rollout.Step
	open := rollout.OpenStepRequest{Service: t.config.Service, Epoch: t.epoch, Step: number, Groups: groups}
	if err := t.retry(ctx, "/steps", open, &step, countRetry); err != nil {
		return check.finish(), err
	}
	check.result.Expected = step.Samples
	for token, remaining := step.Token, step.Samples; remaining > 0; {
		version := t.config.Version()
		pull := rollout.PullRequest{Token: token, Version: version, Max: t.config.MaxSamplesPerPull, WaitMS: pullWait.Milliseconds()}
		var batch rollout.PullResponse
		if err := t.retry(ctx, "/pull", pull, &batch, countRetry); err != nil {
			return check.finish(), err
		}
		for _, sample := range batch.Samples {
			check.record(sample, version)
		}
		token, remaining = batch.Token, batch.Remaining
		progress(check.result.Delivered)
	}
	check.result.Duration = time.Since(started)
	return check.finish(), nil
}

// retry calls the daemons in round-robin order until a call succeeds, ctx ends or the
// error is permanent. It calls onRetry before each retry.
func (t *Trainer) retry(ctx context.Context, path string, body, out any, onRetry func()) error {
	for {
		err := t.call(ctx, path, body, out)
		if err == nil || ctx.Err() != nil || isPermanent(err) {
			return err
		}
		onRetry()
		t.daemonIndex++
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// isPermanent reports whether a retry of the request cannot succeed.
func isPermanent(err error) bool {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Fenced, fault.Unsupported, fault.Unrecognized:
		return true
	}
	return false
}

func (t *Trainer) call(ctx context.Context, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	address := t.config.Daemons[t.daemonIndex%len(t.config.Daemons)]
	url := fmt.Sprintf("http://%s/v1/trainers/%s%s", address, t.config.Name, path)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(r)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "daemon "+address, "")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return fault.Wrap(err, fault.Truncated, "daemon "+address, "")
	}
	if response.StatusCode/100 != 2 {
		return responseError(response.StatusCode, content)
	}
	return json.Unmarshal(content, out)
}

func responseError(status int, content []byte) error {
	var body fault.Body
	if err := json.Unmarshal(content, &body); err != nil || body.Kind == "" {
		return fault.New(fault.Unavailable, fmt.Sprintf("status %d: %.200s", status, content), "")
	}
	return fault.New(body.Kind, body.Message, "")
}

// checker counts the samples of a step and their violations.
type checker struct {
	prompts        map[string]string
	stalenessBound int
	seen           map[int]bool
	versions       map[int64]bool
	result         Result
}

func newChecker(groups []rollout.Group, stalenessBound int) *checker {
	c := &checker{prompts: map[string]string{}, stalenessBound: stalenessBound, seen: map[int]bool{}, versions: map[int64]bool{}}
	for _, g := range groups {
		c.prompts[g.ID] = g.Prompt
	}
	return c
}

func (c *checker) record(s rollout.Sample, version int64) {
	r := &c.result
	if c.seen[s.ID] {
		r.Duplicated++
		return
	}
	c.seen[s.ID] = true
	r.Delivered++
	r.Tokens += s.Tokens
	r.Replicas = append(r.Replicas, s.Replica)
	if !hasCompleteSegments(s) {
		r.Untagged++
		return
	}
	if s.Completion != fakeengine.CompletionText(c.prompts[s.Group], s.Segments) {
		r.MismatchedCompletions++
	}
	oldest := s.Segments[0].Version
	for _, segment := range s.Segments {
		oldest = min(oldest, segment.Version)
		c.versions[segment.Version] = true
	}
	if len(s.Segments) > 1 {
		r.MultiSegment++
	}
	staleness := max(int(version-oldest), 0)
	r.Staleness = append(r.Staleness, staleness)
	if staleness > c.stalenessBound {
		r.OverBound++
	}
}

// hasCompleteSegments reports whether the segments cover all tokens and name their versions.
func hasCompleteSegments(s rollout.Sample) bool {
	next := 0
	for _, segment := range s.Segments {
		if segment.Version < 1 || segment.FirstToken != next || segment.Tokens < 1 {
			return false
		}
		next += segment.Tokens
	}
	return next == s.Tokens && next > 0
}

func (c *checker) finish() Result {
	c.result.Missing = c.result.Expected - c.result.Delivered
	c.result.Versions = len(c.versions)
	return c.result
}

// Segments merges the chunks of a stream into segments of one weight version each, to
// check a streamed completion.
func Segments(chunks []backend.Chunk) []backend.Segment {
	var segments []backend.Segment
	for _, c := range chunks {
		last := len(segments) - 1
		if last >= 0 && segments[last].Version == c.Version {
			segments[last].Tokens += c.Tokens
			continue
		}
		segments = append(segments, backend.Segment{Version: c.Version, FirstToken: c.FirstToken, Tokens: c.Tokens})
	}
	return segments
}
