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

// moveShare is the share of a sample's longest length up to which it is moved away from
// a slow replica.
const moveShare = 0.75

// confirmTimeout bounds the status call after a sample.
const confirmTimeout = 3 * time.Second

// Generate implements Generator.
func (m *Manager) Generate(ctx context.Context, r SampleRequest) (Completion, error) {
	if err := m.checkIsolation(); err != nil {
		return Completion{}, err
	}
	d, err := m.document(r.Service)
	if err != nil {
		return Completion{}, err
	}
	release, err := m.parts.Admitter.Admit(ctx, admission.Ticket{Document: d, Team: teamOf(r, d), Priority: backend.PrioritySample})
	if err != nil {
		return Completion{}, err
	}
	defer release()
	lease, err := m.parts.Picker.Pick(ctx, routing.Request{
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
	r.progress(lease.Replica.ID, 0)
	started := m.now()
	completion, err := m.sample(ctx, r, lease)
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
			counters.Voided++
			counters.Discarded += int64(c.Tokens)
			return
		}
		counters.Samples++
		counters.Tokens += int64(c.Tokens)
	})
}

// sample generates one completion on the leased replica. With an error the
// completion holds only the tokens that were generated for nothing.
func (m *Manager) sample(ctx context.Context, r SampleRequest, lease routing.Lease) (Completion, error) {
	started := m.now()
	engine := m.parts.Backends.Engine(lease.Replica.Address)
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
	reader := newReader(stream, r.RequestID, lease, m.now)
	defer reader.close()
	text, err := collect(ctx, reader, r, lease)
	if err == nil {
		err = confirmWhole(ctx, engine, lease, reader.segments)
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

func (r SampleRequest) progress(replica string, tokens int) {
	if r.OnProgress != nil {
		r.OnProgress(replica, tokens)
	}
}

// better reports whether the sample is sooner whole on another replica: this one is
// slow and much of the sample may still be to come.
func better(lease routing.Lease, tokens, maxTokens int) bool {
	return lease.Slow != nil && float64(tokens) < moveShare*float64(maxTokens) && lease.Slow()
}

// confirmWhole voids a sample whose engine does not report one whole version, at
// least the sample's last one, or was seen after a partial swap meanwhile: such an
// engine may go on naming its old version.
func confirmWhole(ctx context.Context, engine backend.Engine, lease routing.Lease, segments []backend.Segment) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	status, err := engine.Status(ctx)
	if err != nil {
		return fault.Wrap(err, fault.Untagged, "the engine's weight version can't be confirmed", "generate the sample again",
			fault.WithOutcome(fault.Unknown))
	}
	last := int64(0)
	if len(segments) > 0 {
		last = segments[len(segments)-1].Version
	}
	if !status.Whole || status.Version < last || (lease.Partial != nil && lease.Partial()) {
		return broken(fault.Untagged, "the engine's weights were partly swapped")
	}
	return nil
}

// collect reads the whole completion. A chunk without a weight version voids it.
func collect(ctx context.Context, reader *reader, r SampleRequest, lease routing.Lease) (string, error) {
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
			return "", broken(fault.Untagged, "a chunk names no weight version")
		}
		if len(reader.segments) > segments && r.OnVersion != nil {
			if err := r.OnVersion(chunk.Version); err != nil {
				return "", err
			}
		}
		r.progress(lease.Replica.ID, reader.tokens)
		if !chunk.End && better(lease, reader.tokens, r.MaxTokens) {
			return "", fault.New(fault.Overloaded, lease.Replica.ID+" is several times slower than its pool",
				"generate the sample elsewhere", fault.WithOutcome(fault.Unknown))
		}
		text.WriteString(chunk.Text)
	}
}
