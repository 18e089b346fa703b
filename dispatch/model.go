package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// modelBody is what callers send to a model service.
type modelBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
}

// newModelExchange reads the caller's body once for all attempts.
func (m *Manager) newModelExchange(c *call) (exchange, error) {
	var body modelBody
	if err := json.NewDecoder(bytes.NewReader(c.body)).Decode(&body); err != nil {
		return nil, invalid("malformed body: "+err.Error(), "send prompt, max_tokens and seed as JSON")
	}
	if body.MaxTokens <= 0 {
		return nil, invalid("max_tokens is not positive", "send a positive max_tokens")
	}
	return func(ctx context.Context, w http.ResponseWriter, a attempt) (bool, error) {
		return m.exchangeModel(ctx, w, a, body)
	}, nil
}

// exchangeModel streams one completion to the caller. The response starts with the
// first chunk, so that everything before may be retried.
func (m *Manager) exchangeModel(ctx context.Context, w http.ResponseWriter, a attempt, body modelBody) (bool, error) {
	stream, err := m.parts.Backends.Engine(a.lease.Replica.Address).Generate(ctx, backend.GenerateRequest{
		RequestID: a.id,
		Prompt:    body.Prompt,
		MaxTokens: body.MaxTokens,
		Seed:      body.Seed,
		Priority:  a.call.priority,
	})
	if err != nil {
		return false, err
	}
	reader := newReader(stream, a.id, a.lease, m.now)
	defer reader.close()
	out := newEventWriter(w)
	for {
		chunk, err := reader.next(ctx)
		if errors.Is(err, io.EOF) {
			m.noteWhole(a, reader.tokens)
			return true, nil
		}
		if err != nil {
			return out.started, m.endBroken(out, a, err)
		}
		if err := out.chunk(chunk); err != nil {
			return true, fault.Wrap(err, fault.Canceled, "write to caller", "", fault.WithOutcome(fault.Unknown))
		}
	}
}

func (m *Manager) noteWhole(a attempt, tokens int) {
	m.count(func(c *Counters) { c.Whole++; c.Tokens += int64(tokens) })
	m.parts.Recorder.Kept(alarm.WholeAnswers, a.call.document.Service)
}

// endBroken tells the caller about a stream that broke after it was partly passed on.
// It is not resumed elsewhere: another replica need not continue with the same tokens.
func (m *Manager) endBroken(out *eventWriter, a attempt, err error) error {
	if !out.started {
		return err
	}
	outcome := fault.OutcomeOf(err)
	if outcome == fault.NotRun {
		outcome = fault.Unknown
	}
	told := fault.Wrap(err, fault.KindOf(err), "the answer broke off", "send the request again if it may run twice",
		fault.WithOutcome(outcome))
	m.count(func(c *Counters) { c.Cut++; c.countOutcome(outcome) })
	if fault.Is(err, fault.Canceled) || fault.Is(err, fault.Deadline) {
		out.fail(told)
		return told
	}
	m.parts.Recorder.Broken(alarm.WholeAnswers, alarm.Evidence{
		Service: a.call.document.Service,
		Subject: a.id,
		Detail:  "stream from " + a.lease.Replica.ID + " broke off: " + err.Error(),
		At:      m.now(),
	})
	out.fail(told)
	return told
}
