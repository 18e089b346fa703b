package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/routing"
)

// endlessChunks is a stream of well-formed chunks without end.
type endlessChunks struct {
	tokens int // of each chunk
	text   string
	sent   int
}

// Next implements backend.Stream.
func (s *endlessChunks) Next(context.Context) (backend.Chunk, error) {
	s.sent++
	return backend.Chunk{RequestID: "s1", FirstToken: (s.sent - 1) * s.tokens, Tokens: s.tokens, Text: s.text, Version: 1}, nil
}

// Load implements backend.Stream.
func (*endlessChunks) Load() (backend.Load, bool) { return backend.Load{}, false }

// Close implements backend.Stream.
func (*endlessChunks) Close() {}

// Guards against a daemon that runs out of memory since an engine sends chunks without end for a sample,
// whether they count tokens or not.
func TestEndlessSampleIsCutOff(t *testing.T) {
	large := strings.Repeat("x", 4000)
	for name, row := range map[string]struct {
		stream    endlessChunks
		maxTokens int
		maxSent   int // chunks
	}{
		"too many tokens":                     {endlessChunks{tokens: 1, text: "x"}, 100, 101},
		"too much text for its tokens":        {endlessChunks{tokens: 1, text: large}, 100, 101},
		"text without tokens":                 {endlessChunks{text: large}, 100, 101},
		"no limit named":                      {endlessChunks{tokens: 1, text: large}, 0, 17_000},
		"no limit named, text without tokens": {endlessChunks{text: large}, 0, 17_000},
	} {
		lease := routing.Lease{}
		reader := newCompletionReader(&row.stream, "s1", lease, time.Now)
		_, err := readCompletion(t.Context(), reader, SampleRequest{RequestID: "s1", MaxTokens: row.maxTokens}, lease)
		if !fault.Is(err, fault.Truncated) || row.stream.sent > row.maxSent {
			t.Errorf("%s: error %v after %d chunks, want at most %d", name, err, row.stream.sent, row.maxSent)
		}
	}
}
