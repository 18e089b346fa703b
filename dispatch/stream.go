package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/routing"
)

// reader reads one completion and checks that it is whole: every chunk carries the
// attempt's id and continues where the last one ended, and the last one has the end
// marker. It collects the weight versions.
type reader struct {
	stream   backend.Stream
	id       string
	tokens   int
	ended    bool
	segments []backend.Segment
	pace     pace
}

// newReader returns a reader that reports load and pace to the lease.
func newReader(stream backend.Stream, id string, lease routing.Lease, now func() time.Time) *reader {
	if load, ok := stream.Load(); ok && lease.Load != nil {
		lease.Load(load)
	}
	return &reader{stream: stream, id: id, pace: pace{report: lease.Progress, now: now}}
}

// next returns the next chunk, io.EOF after the whole completion, or an error with
// an outcome.
func (r *reader) next(ctx context.Context) (backend.Chunk, error) {
	chunk, err := r.stream.Next(ctx)
	switch {
	case errors.Is(err, io.EOF) && r.ended:
		return chunk, io.EOF
	case errors.Is(err, io.EOF):
		return chunk, broken(fault.Truncated, "the stream ended without its end marker")
	case err != nil:
		return chunk, started(err)
	}
	if err := r.check(chunk); err != nil {
		return chunk, err
	}
	r.take(chunk)
	return chunk, nil
}

func (r *reader) check(chunk backend.Chunk) error {
	switch {
	case r.ended:
		return broken(fault.Mismatched, "a chunk follows the end marker")
	case chunk.RequestID != r.id:
		return broken(fault.Mismatched, "a chunk belongs to request "+chunk.RequestID)
	case chunk.First != r.tokens:
		return broken(fault.Mismatched, fmt.Sprintf("a chunk starts at token %d instead of %d", chunk.First, r.tokens))
	case chunk.Tokens < 0:
		return broken(fault.Mismatched, "a chunk has a negative number of tokens")
	}
	return nil
}

func (r *reader) take(chunk backend.Chunk) {
	r.ended = chunk.End
	r.tokens += chunk.Tokens
	r.pace.add(chunk.Tokens)
	if chunk.Tokens == 0 {
		return
	}
	last := len(r.segments) - 1
	if last >= 0 && r.segments[last].Version == chunk.Version {
		r.segments[last].Tokens += chunk.Tokens
		return
	}
	r.segments = append(r.segments, backend.Segment{Version: chunk.Version, First: chunk.First, Tokens: chunk.Tokens})
}

func (r *reader) close() { r.stream.Close() }

func broken(kind fault.Kind, message string) error {
	return fault.New(kind, message, "check the backend server", fault.WithOutcome(fault.Unknown))
}

// started corrects the outcome of an error that ended a stream: the server had
// started the request, whatever the error says.
func started(err error) error {
	if fault.OutcomeOf(err) != fault.NotRun {
		return err
	}
	return fault.Wrap(err, fault.KindOf(err), "read stream", "", fault.WithOutcome(fault.Unknown))
}

// pace reports how long a stream's tokens take once it flows: the wait for the first
// chunk tells of the queue, not of the server's speed.
type pace struct {
	report func(tokens int, elapsed time.Duration) // may be nil
	now    func() time.Time
	since  time.Time // last chunk, zero before the first
}

func (p *pace) add(tokens int) {
	if p.since.IsZero() {
		p.since = p.now()
		return
	}
	if p.report == nil || tokens == 0 {
		return
	}
	now := p.now()
	p.report(tokens, now.Sub(p.since))
	p.since = now
}

// eventWriter writes a completion to a caller as server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	started bool // headers were sent
}

func newEventWriter(w http.ResponseWriter) *eventWriter { return &eventWriter{w: w} }

// callerChunk is one event towards a caller.
type callerChunk struct {
	First   int    `json:"first"`
	Tokens  int    `json:"tokens"`
	Text    string `json:"text"`
	Version int64  `json:"version"`
	End     bool   `json:"end,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

func (e *eventWriter) chunk(c backend.Chunk) error {
	return e.event("data: ", callerChunk{
		First: c.First, Tokens: c.Tokens, Text: c.Text, Version: c.Version, End: c.End, Reason: c.Reason,
	})
}

func (e *eventWriter) fail(err error) {
	_ = e.event("event: error\ndata: ", fault.BodyOf(err))
}

func (e *eventWriter) event(head string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	if _, err := fmt.Fprintf(e.w, "%s%s\n\n", head, data); err != nil {
		return err
	}
	return http.NewResponseController(e.w).Flush()
}
