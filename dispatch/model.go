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

// generateBody is the body of a caller's request to a model service.
type generateBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
}

// newModelExchange decodes the request body once for all attempts.
func (m *Manager) newModelExchange(c *call) (exchange, error) {
	var body generateBody
	if err := json.NewDecoder(bytes.NewReader(c.body)).Decode(&body); err != nil {
		return nil, invalidRequest("malformed body: "+err.Error(), "send prompt, max_tokens and seed as JSON")
	}
	if body.MaxTokens <= 0 {
		return nil, invalidRequest("max_tokens is not positive", "send a positive max_tokens")
	}
	return func(ctx context.Context, w http.ResponseWriter, a attempt) (bool, error) {
		return m.exchangeModel(ctx, w, a, body)
	}, nil
}

// exchangeModel streams one completion to the caller. It sends the response headers with
// the first chunk, so that earlier failures can be retried.
func (m *Manager) exchangeModel(ctx context.Context, w http.ResponseWriter, a attempt, body generateBody) (bool, error) {
	stream, err := m.deps.Backends.Engine(a.lease.Replica.Address).Generate(ctx, backend.GenerateRequest{
		RequestID: a.id,
		Prompt:    body.Prompt,
		MaxTokens: body.MaxTokens,
		Seed:      body.Seed,
		Priority:  a.call.priority,
	})
	if err != nil {
		return false, err
	}
	reader := newCompletionReader(stream, a.id, a.lease, m.now)
	defer reader.close()
	events := newEventWriter(w)
	for {
		chunk, err := reader.next(ctx)
		if errors.Is(err, io.EOF) {
			m.recordComplete(a, reader.tokens)
			return true, nil
		}
		if err != nil {
			return events.started, m.failStream(events, a, err)
		}
		if err := events.writeChunk(chunk); err != nil {
			return true, fault.Wrap(err, fault.Canceled, "write to caller", "", fault.WithOutcome(fault.Unknown))
		}
	}
}

func (m *Manager) recordComplete(a attempt, tokens int) {
	m.count(func(c *Counters) { c.Complete++; c.Tokens += int64(tokens) })
	m.deps.Recorder.Kept(alarm.CompleteResponses, a.call.document.Service)
}

// failStream reports to the caller that a partially forwarded stream has failed. The stream
// is not resumed on another replica, which might not continue with the same tokens.
func (m *Manager) failStream(events *eventWriter, a attempt, err error) error {
	if !events.started {
		return err
	}
	outcome := fault.OutcomeOf(err)
	if outcome == fault.NotRun {
		outcome = fault.Unknown
	}
	callerErr := fault.Wrap(err, fault.KindOf(err), "the stream ended early", "send the request again if it may run twice",
		fault.WithOutcome(outcome))
	m.count(func(c *Counters) { c.Truncated++; c.countOutcome(outcome) })
	if fault.Is(err, fault.Canceled) || fault.Is(err, fault.Deadline) {
		events.writeError(callerErr)
		return callerErr
	}
	m.deps.Recorder.Broken(alarm.CompleteResponses, alarm.Evidence{
		Service: a.call.document.Service,
		Subject: a.id,
		Detail:  "stream from " + a.lease.Replica.ID + " ended early: " + err.Error(),
		At:      m.now(),
	})
	events.writeError(callerErr)
	return callerErr
}
