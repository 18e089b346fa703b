package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// FuzzStream reads a stream from arbitrary bytes. Every returned chunk must belong to the
// request and start at the next expected token. Unless the completion is complete, the
// stream must end with a typed error.
func FuzzStream(f *testing.F) {
	complete := "data: {\"request_id\":\"r\",\"first\":0,\"tokens\":2,\"text\":\"a b\",\"version\":1}\n\n" +
		"data: {\"request_id\":\"r\",\"first\":2,\"tokens\":1,\"text\":\"c\",\"version\":2,\"end\":true}\n\n"
	for _, seed := range []string{
		complete, complete[:len(complete)-1], complete[:40], "", "\n\n\n", ": comment\n\n" + complete, "data\n\n", "data:\n\n",
		"event: error\ndata: {\"message\":\"broken\"}\n\n", "event: error\n\n" + complete,
		"data: {\"request_id\":\"r\",\ndata: \"tokens\":1,\"end\":true}\n\n",
		"data: {\"request_id\":\"x\",\"end\":true}\n\n", "data: {\"request_id\":\"r\",\"tokens\":-1,\"end\":true}\n\n",
		"data: {\"request_id\":\"r\",\"first\":0,\"tokens\":1e99}\n\n", "data: null\n\n", "data: []\r\n\r\n", "\x00\xff: \n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		s := newTestStream(input)
		next := 0
		for {
			chunk, err := s.Next(context.Background())
			if errors.Is(err, io.EOF) {
				if !s.complete {
					t.Fatal("stream ended before its completion was complete")
				}
				return
			}
			if err != nil {
				if kind := fault.KindOf(err); kind != fault.Truncated && kind != fault.Mismatched && kind != fault.Unavailable {
					t.Fatalf("kind %s: %v", kind, err)
				}
				if fault.RemedyOf(err) == "" {
					t.Fatalf("no remedy: %v", err)
				}
				return
			}
			if chunk.RequestID != "r" || chunk.FirstToken != next || chunk.Tokens < 0 || chunk.Version < 0 {
				t.Fatalf("chunk %+v at token %d", chunk, next)
			}
			next += chunk.Tokens
		}
	})
}

// newTestStream returns a stream that reads the given response body.
func newTestStream(body []byte) *stream {
	timeouts := Timeouts{Connect: time.Minute, FirstByte: time.Minute, Progress: time.Minute}
	c := &call{server: newServer("test", timeouts, nil, &counters{})}
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.response = &http.Response{Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}
	return newStream(c, "r")
}
