package dispatch

import (
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

func TestCompletionIsPassedOnWhole(t *testing.T) {
	w := newWorld(t, "e1")
	w.engine = func(_ string, r backend.GenerateRequest) (backend.Stream, error) {
		return wholeStream(r.RequestID), nil
	}
	rec, _ := w.send("POST", "draftpool/generate", prompt, "X-Request-Id", "r1")
	want := `data: {"first":0,"tokens":2,"text":"ab","version":7}

data: {"first":2,"tokens":1,"text":"c","version":7,"end":true,"reason":"stop"}

`
	if rec.Code != 200 || rec.Body.String() != want {
		t.Errorf("status %d body %q", rec.Code, rec.Body.String())
	}
	if rec.Header().Get("X-Request-Id") != "r1" || rec.Header().Get("X-Replica") != "e1" || rec.Header().Get("X-Attempts") != "1" {
		t.Errorf("headers %v", rec.Header())
	}
}

func TestSampleNamesItsSegments(t *testing.T) {
	w := newWorld(t, "e1")
	w.engine = func(_ string, r backend.GenerateRequest) (backend.Stream, error) {
		return &fakeStream{chunks: []backend.Chunk{
			{RequestID: r.RequestID, First: 0, Tokens: 2, Text: "ab", Version: 7},
			{RequestID: r.RequestID, First: 2, Tokens: 3, Text: "cde", Version: 8},
			{RequestID: r.RequestID, First: 5, Tokens: 1, Text: "f", Version: 8, End: true},
		}}, nil
	}
	var versions []int64
	done, err := w.manager.Generate(t.Context(), SampleRequest{
		Service: "draftpool", RequestID: "s1", MaxTokens: 6,
		OnVersion: func(v int64) error { versions = append(versions, v); return nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	if done.Text != "abcdef" || done.Tokens != 6 || len(done.Segments) != 2 || done.Replica != "e1" {
		t.Errorf("completion %+v", done)
	}
	if done.Segments[1] != (backend.Segment{Version: 8, First: 2, Tokens: 4}) || len(versions) != 2 {
		t.Errorf("segments %+v, versions %v", done.Segments, versions)
	}
	if !strings.HasPrefix(done.Text, "ab") {
		t.Error("text")
	}
}
