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

// completionReader reads one completion and verifies that it is complete: every chunk
// carries the attempt's ID and continues where the previous one ended, and the last one has
// the end marker. It collects the segments by weight version.
type completionReader struct {
	stream   backend.Stream
	id       string
	tokens   int
	ended    bool
	segments []backend.Segment
	progress progressReporter
}

// newCompletionReader returns a reader that reports the replica's load and token progress
// to the lease.
func newCompletionReader(stream backend.Stream, id string, lease routing.Lease, now func() time.Time) *completionReader {
	if load, ok := stream.Load(); ok && lease.ReportLoad != nil {
		lease.ReportLoad(load)
	}
	return &completionReader{stream: stream, id: id, progress: progressReporter{report: lease.ReportProgress, now: now}}
}

// next returns the next chunk, io.EOF after the end of a complete completion, or an error
// with an outcome.
func (r *completionReader) next(ctx context.Context) (backend.Chunk, error) {
	chunk, err := r.stream.Next(ctx)
	switch {
	case errors.Is(err, io.EOF) && r.ended:
		return chunk, io.EOF
	case errors.Is(err, io.EOF):
		return chunk, backendError(fault.Truncated, "stream ended without an end marker")
	case err != nil:
		return chunk, withUnknownOutcome(err)
	}
	if err := r.validate(chunk); err != nil {
		return chunk, err
	}
	r.accumulate(chunk)
	return chunk, nil
}

func (r *completionReader) validate(chunk backend.Chunk) error {
	switch {
	case r.ended:
		return backendError(fault.Mismatched, "chunk received after the end marker")
	case chunk.RequestID != r.id:
		return backendError(fault.Mismatched, "chunk belongs to request "+chunk.RequestID)
	case chunk.FirstToken != r.tokens:
		return backendError(fault.Mismatched, fmt.Sprintf("chunk starts at token %d, want %d", chunk.FirstToken, r.tokens))
	case chunk.Tokens < 0:
		return backendError(fault.Mismatched, "chunk has a negative number of tokens")
	}
	return nil
}

// accumulate adds a chunk to the token count and the segments.
func (r *completionReader) accumulate(chunk backend.Chunk) {
	r.ended = chunk.End
	r.tokens += chunk.Tokens
	r.progress.add(chunk.Tokens)
	if chunk.Tokens == 0 {
		return
	}
	last := len(r.segments) - 1
	if last >= 0 && r.segments[last].Version == chunk.Version {
		r.segments[last].Tokens += chunk.Tokens
		return
	}
	r.segments = append(r.segments, backend.Segment{Version: chunk.Version, FirstToken: chunk.FirstToken, Tokens: chunk.Tokens})
}

func (r *completionReader) close() { r.stream.Close() }

// backendError returns an error with outcome fault.Unknown.
func backendError(kind fault.Kind, message string) error {
	return fault.New(kind, message, "check the backend server", fault.WithOutcome(fault.Unknown))
}

// withUnknownOutcome replaces the outcome fault.NotRun of an error that ended a stream:
// once the stream exists, the server has started the request.
func withUnknownOutcome(err error) error {
	if fault.OutcomeOf(err) != fault.NotRun {
		return err
	}
	return fault.Wrap(err, fault.KindOf(err), "read stream", "", fault.WithOutcome(fault.Unknown))
}

// progressReporter reports the time that the tokens of a stream take after its first chunk.
// The wait for the first chunk reflects the server's queue, not its speed.
type progressReporter struct {
	report      func(tokens int, elapsed time.Duration) // may be nil
	now         func() time.Time
	lastChunkAt time.Time // zero before the first chunk
}

func (p *progressReporter) add(tokens int) {
	if p.lastChunkAt.IsZero() {
		p.lastChunkAt = p.now()
		return
	}
	if p.report == nil || tokens == 0 {
		return
	}
	now := p.now()
	p.report(tokens, now.Sub(p.lastChunkAt))
	p.lastChunkAt = now
}

// eventWriter writes a completion to a caller as server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	started bool // response headers are sent
}

func newEventWriter(w http.ResponseWriter) *eventWriter { return &eventWriter{w: w} }

// chunkEvent is the data of one event sent to a caller.
type chunkEvent struct {
	First   int    `json:"first"`
	Tokens  int    `json:"tokens"`
	Text    string `json:"text"`
	Version int64  `json:"version"`
	End     bool   `json:"end,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

func (e *eventWriter) writeChunk(c backend.Chunk) error {
	return e.writeEvent("data: ", chunkEvent{
		First: c.FirstToken, Tokens: c.Tokens, Text: c.Text, Version: c.Version, End: c.End, Reason: c.FinishReason,
	})
}

func (e *eventWriter) writeError(err error) {
	_ = e.writeEvent("event: error\ndata: ", fault.BodyOf(err))
}

func (e *eventWriter) writeEvent(prefix string, value any) error {
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
	if _, err := fmt.Fprintf(e.w, "%s%s\n\n", prefix, data); err != nil {
		return err
	}
	return http.NewResponseController(e.w).Flush()
}
