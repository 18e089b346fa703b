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
	for name, stream := range map[string]*endlessChunks{
		"with tokens": {tokens: 1, text: "x"}, "without tokens": {text: strings.Repeat("x", 4000)},
	} {
		for _, maxTokens := range []int{100, 0} {
			stream.sent = 0
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			lease := routing.Lease{}
			reader := newCompletionReader(stream, "s1", lease, time.Now)
			_, err := readCompletion(ctx, reader, SampleRequest{RequestID: "s1", MaxTokens: maxTokens}, lease)
			cancel()
			if maxTokens > 0 && (!fault.Is(err, fault.Truncated) || stream.sent > 101) {
				t.Errorf("%s, at most %d: error %v after %d chunks", name, maxTokens, err, stream.sent)
			}
			if maxTokens == 0 && (!fault.Is(err, fault.Truncated) || stream.sent*len(stream.text) > 65<<20) {
				t.Errorf("%s, no limit named: error %v after %d chunks", name, err, stream.sent)
			}
		}
	}
}
