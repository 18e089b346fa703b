package dispatch

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/admission"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/routing"
)

// maxMoveProgress is the progress, as a share of its maximum tokens, at which a sample is no
// longer moved away from a slow replica.
const maxMoveProgress = 0.75

// statusTimeout limits the status call after a sample.
const statusTimeout = 3 * time.Second

// Generate implements Generator.
func (m *Manager) Generate(ctx context.Context, r SampleRequest) (Completion, error) {
	if err := m.checkIsolation(); err != nil {
		return Completion{}, err
	}
	d, err := m.document(r.Service)
	if err != nil {
		return Completion{}, err
	}
	release, err := m.deps.Admitter.Admit(ctx, admission.Request{Document: d, Team: teamOf(r, d), Priority: backend.PrioritySample})
	if err != nil {
		return Completion{}, err
	}
	defer release()
	lease, err := m.deps.Picker.Pick(ctx, routing.Request{
		Service:     d.Service,
		Pool:        d.Pool,
		Key:         r.Key,
		Sample:      true,
		Exclude:     r.Exclude,
		MaxInFlight: d.Servers.MaxInFlight,
	})
	if err != nil {
		return Completion{}, err
	}
	r.reportProgress(lease.Replica.ID, 0)
	started := m.now()
	completion, err := m.generateSample(ctx, r, lease)
	lease.Done(err, m.now().Sub(started))
	m.countSample(completion, err)
	return completion, err
}

func teamOf(r SampleRequest, d *document.Document) string {
	if r.Team != "" {
		return r.Team
	}
	return d.Team
}

func (m *Manager) countSample(c Completion, err error) {
	m.count(func(counters *Counters) {
		if err != nil {
			counters.FailedSamples++
			counters.DiscardedTokens += int64(c.Tokens)
			return
		}
		counters.Samples++
		counters.Tokens += int64(c.Tokens)
	})
}

// generateSample generates one completion on the leased replica. With an error, the
// completion holds only the number of discarded tokens.
func (m *Manager) generateSample(ctx context.Context, r SampleRequest, lease routing.Lease) (Completion, error) {
	started := m.now()
	engine := m.deps.Backends.Engine(lease.Replica.Address)
	stream, err := engine.Generate(ctx, backend.GenerateRequest{
		RequestID: r.RequestID,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Seed:      r.Seed,
		Priority:  backend.PrioritySample,
	})
	if err != nil {
		return Completion{}, err
	}
	reader := newCompletionReader(stream, r.RequestID, lease, m.now)
	defer reader.close()
	text, err := readCompletion(ctx, reader, r, lease)
	if err == nil {
		err = confirmVersion(ctx, engine, lease, reader.segments)
	}
	if err != nil {
		return Completion{Tokens: reader.tokens}, err
	}
	return Completion{
		Text:     text,
		Tokens:   reader.tokens,
		Segments: reader.segments,
		Replica:  lease.Replica.ID,
		Started:  started,
		Ended:    m.now(),
	}, nil
}

func (r SampleRequest) reportProgress(replica string, tokens int) {
	if r.OnProgress != nil {
		r.OnProgress(replica, tokens)
	}
}

// shouldMove reports whether the sample should restart on another replica: this one is slow
// and the sample may still need many tokens.
func shouldMove(lease routing.Lease, tokens, maxTokens int) bool {
	return lease.Slow != nil && float64(tokens) < maxMoveProgress*float64(maxTokens) && lease.Slow()
}

// confirmVersion rejects a sample unless its engine now reports a complete weight version
// that is not older than the sample's last one, and no partial weight swap was observed
// since the replica was picked. After a partial swap an engine may keep reporting its old
// version.
func confirmVersion(ctx context.Context, engine backend.Engine, lease routing.Lease, segments []backend.Segment) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := engine.Status(ctx)
	if err != nil {
		return fault.Wrap(err, fault.Untagged, "cannot confirm the engine's weight version", "generate the sample again",
			fault.WithOutcome(fault.Unknown))
	}
	last := int64(0)
	if len(segments) > 0 {
		last = segments[len(segments)-1].Version
	}
	if !status.Complete || status.Version < last || (lease.PartiallySwapped != nil && lease.PartiallySwapped()) {
		return backendError(fault.Untagged, "the engine's weights were partially swapped or are older than the sample")
	}
	return nil
}

// readCompletion reads a complete completion and returns its text. It rejects a completion
// with a chunk that has no weight version.
func readCompletion(ctx context.Context, reader *completionReader, r SampleRequest, lease routing.Lease) (string, error) {
	var text strings.Builder
	for {
		segments := len(reader.segments)
		chunk, err := reader.next(ctx)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return "", err
		}
		if chunk.Tokens > 0 && chunk.Version <= 0 {
			return "", backendError(fault.Untagged, "chunk has no weight version")
		}
		if len(reader.segments) > segments && r.OnVersion != nil {
			if err := r.OnVersion(chunk.Version); err != nil {
				return "", err
			}
		}
		r.reportProgress(lease.Replica.ID, reader.tokens)
		if !chunk.End && shouldMove(lease, reader.tokens, r.MaxTokens) {
			return "", fault.New(fault.Overloaded, lease.Replica.ID+" is several times slower than its pool",
				"generate the sample on another replica", fault.WithOutcome(fault.Unknown))
		}
		if r.MaxTokens > 0 && reader.tokens > r.MaxTokens || text.Len()+len(chunk.Text) > maxTextBytes(r.MaxTokens) {
			return "", backendError(fault.Truncated, lease.Replica.ID+" sent more than the sample may have")
		}
		text.WriteString(chunk.Text)
	}
}

const (
	// maxTokenBytes is more than the text of a token takes on average over a sample, and minTextBytes is
	// allowed to any sample: single tokens may be longer.
	maxTokenBytes = 256
	minTextBytes  = 16 << 10
)

// maxTextBytes returns the longest text of a sample. Load pattern: an engine that sends well-formed chunks
// without end, with or without counting tokens.
func maxTextBytes(maxTokens int) int {
	const largest = 64 << 20 // of any sample
	if maxTokens <= 0 || maxTokens > largest/maxTokenBytes {
		return largest
	}
	return max(maxTokens*maxTokenBytes, minTextBytes)
}
