package backend_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// collect generates a completion and returns its chunks.
func collect(t *testing.T, address, id string) ([]backend.Chunk, error) {
	t.Helper()
	return collectWith(backend.NewClient(testTimeouts, nil).Engine(address), id)
}

func collectWith(engine backend.Engine, id string) ([]backend.Chunk, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stream, err := engine.Generate(ctx, backend.GenerateRequest{RequestID: id, Prompt: "p", MaxTokens: 8})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var chunks []backend.Chunk
	for {
		chunk, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return chunks, nil
		}
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
	}
}

func TestStreamFaults(t *testing.T) {
	cases := []struct {
		name    string
		respond func(w net.Conn, id string) bool
		kind    fault.Kind // "" for a complete stream
		outcome fault.Outcome
		chunks  int
	}{
		{"complete stream", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, chunkEvent(id, 0, 2, 1, false)+chunkEvent(id, 2, 1, 2, true))
			endStream(w)
			return true
		}, "", "", 2},
		{"comments and blank lines are skipped", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, ": waiting\n\nretry: 5\n\n"+chunkEvent(id, 0, 2, 1, true))
			endStream(w)
			return true
		}, "", "", 1},
		{"event split over packets and lines that end with CRLF", func(w net.Conn, id string) bool {
			startStream(w, id)
			complete := chunkEvent(id, 0, 2, 1, true)
			writeHTTPChunk(w, complete[:20])
			writeHTTPChunk(w, complete[20:len(complete)-2]+"\r\n\r\n")
			endStream(w)
			return true
		}, "", "", 1},
		{"chunk without a version is passed on as version 0", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, `data: {"request_id":"`+id+`","first":0,"tokens":1,"text":"x","end":true}`+"\n\n")
			endStream(w)
			return true
		}, "", "", 1},
		{"connection ends inside an event", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, chunkEvent(id, 0, 2, 1, false)+"data: {\"request")
			return false
		}, fault.Truncated, fault.Unknown, 1},
		{"connection ends between events", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, chunkEvent(id, 0, 2, 1, false))
			return false
		}, fault.Truncated, fault.Unknown, 1},
		{"complete HTTP body without the end marker", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, chunkEvent(id, 0, 2, 1, false))
			endStream(w)
			return true
		}, fault.Truncated, fault.Unknown, 1},
		{"end marker without the blank line that completes it", func(w net.Conn, id string) bool {
			startStream(w, id)
			complete := chunkEvent(id, 0, 2, 1, true)
			writeHTTPChunk(w, complete[:len(complete)-1])
			endStream(w)
			return true
		}, fault.Truncated, fault.Unknown, 0},
		{"wrong request id in the headers", func(w net.Conn, _ string) bool {
			startStream(w, "other")
			writeHTTPChunk(w, chunkEvent("other", 0, 2, 1, true))
			endStream(w)
			return true
		}, fault.Mismatched, fault.Unknown, 0},
		{"wrong request id in a later chunk", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, chunkEvent(id, 0, 2, 1, false)+chunkEvent("other", 2, 2, 1, true))
			endStream(w)
			return true
		}, fault.Mismatched, fault.Unknown, 1},
		{"a chunk is missing", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, chunkEvent(id, 0, 2, 1, false)+chunkEvent(id, 4, 2, 1, true))
			endStream(w)
			return true
		}, fault.Mismatched, fault.Unknown, 1},
		{"a chunk is repeated", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, chunkEvent(id, 0, 2, 1, false)+chunkEvent(id, 0, 2, 1, false)+chunkEvent(id, 2, 2, 1, true))
			endStream(w)
			return true
		}, fault.Mismatched, fault.Unknown, 1},
		{"chunk is not JSON", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, "data: {\n\n")
			endStream(w)
			return true
		}, fault.Mismatched, fault.Unknown, 0},
		{"the engine reports an error in the stream", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, "event: error\ndata: {\"kind\":\"internal\",\"message\":\"out of memory\"}\n\n")
			endStream(w)
			return true
		}, fault.Unavailable, fault.Failed, 0},
		{"stalled before the headers", func(net.Conn, string) bool { return true }, fault.Unavailable, fault.Unknown, 0},
		{"stalled after the headers", func(w net.Conn, id string) bool {
			startStream(w, id)
			return true
		}, fault.Unavailable, fault.Unknown, 0},
		{"stalled after a chunk", func(w net.Conn, id string) bool {
			startStream(w, id)
			writeHTTPChunk(w, chunkEvent(id, 0, 2, 1, false))
			return true
		}, fault.Unavailable, fault.Unknown, 1},
		{"closed before the headers", func(net.Conn, string) bool { return false }, fault.Unavailable, fault.Unknown, 0},
		{"not started", func(w net.Conn, _ string) bool {
			writeResponse(w, 503, "X-Not-Started: true\r\n", "")
			return true
		}, fault.Overloaded, fault.NotRun, 0},
		{"leaving", func(w net.Conn, _ string) bool {
			writeResponse(w, 503, "X-Not-Started: true\r\nX-Server-Leaving: true\r\n", "")
			return true
		}, fault.Draining, fault.NotRun, 0},
		{"not started, with the ID of another request", func(w net.Conn, _ string) bool {
			writeResponse(w, 503, "X-Not-Started: true\r\nX-Request-Id: other\r\n", "")
			return true
		}, fault.Mismatched, fault.Unknown, 0},
		{"unavailable without the not-started header", func(w net.Conn, _ string) bool {
			writeResponse(w, 503, "", "busy")
			return true
		}, fault.Unavailable, fault.Unknown, 0},
		{"too many requests", func(w net.Conn, _ string) bool {
			writeResponse(w, 429, "", "")
			return true
		}, fault.Overloaded, fault.Unknown, 0},
		{"failed", func(w net.Conn, _ string) bool {
			writeResponse(w, 500, "", "out of memory")
			return true
		}, fault.Unavailable, fault.Failed, 0},
		{"rejected as malformed", func(w net.Conn, _ string) bool {
			writeResponse(w, 400, "", "no prompt")
			return true
		}, fault.Invalid, fault.Failed, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newRawServer(t, func(w net.Conn, _, _ int, id string) bool { return c.respond(w, id) })
			chunks, err := collect(t, s.address, "r1")
			if len(chunks) != c.chunks {
				t.Errorf("got %d chunks, want %d", len(chunks), c.chunks)
			}
			if c.kind == "" {
				if err != nil {
					t.Fatalf("complete stream rejected: %v", err)
				}
				return
			}
			if !fault.Is(err, c.kind) || fault.OutcomeOf(err) != c.outcome {
				t.Errorf("got %s, %s (%v), want %s, %s", fault.KindOf(err), fault.OutcomeOf(err), err, c.kind, c.outcome)
			}
			if s.count("r1") != 1 {
				t.Errorf("request was sent %d times", s.count("r1"))
			}
		})
	}
}

func TestChunkWithoutVersionIsVersionZero(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, _, _ int, id string) bool {
		startStream(w, id)
		writeHTTPChunk(w, `data: {"request_id":"`+id+`","first":0,"tokens":1,"end":true}`+"\n\n")
		endStream(w)
		return true
	})
	chunks, err := collect(t, s.address, "r1")
	if err != nil || len(chunks) != 1 || chunks[0].Version != 0 {
		t.Fatalf("got %+v, %v", chunks, err)
	}
}

func TestKeepAliveCommentsResetProgressTimeout(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, _, _ int, id string) bool {
		startStream(w, id)
		for range 6 {
			writeHTTPChunk(w, ": waiting\n")
			time.Sleep(testTimeouts.Progress / 3)
		}
		writeHTTPChunk(w, chunkEvent(id, 0, 1, 1, true))
		endStream(w)
		return true
	})
	if _, err := collect(t, s.address, "r1"); err != nil {
		t.Fatal(err)
	}
}

func TestLoadIsReadFromTheHeaders(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, _, _ int, id string) bool {
		startStream(w, id)
		return true
	})
	stream, err := backend.NewClient(testTimeouts, nil).Engine(s.address).Generate(t.Context(), backend.GenerateRequest{RequestID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if load, ok := stream.Load(); !ok || load != (backend.Load{Running: 3, Waiting: 1}) {
		t.Errorf("got %+v, %v", load, ok)
	}
}

// The server responds to the second request of a connection with the stream of the first
// one.
func TestMismatchedResponseIsRejectedAndItsConnectionClosed(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, c, n int, id string) bool {
		if c == 1 && n == 2 {
			id = "r1"
		}
		startStream(w, id)
		writeHTTPChunk(w, chunkEvent(id, 0, 2, 1, true))
		endStream(w)
		return true
	})
	engine := backend.NewClient(testTimeouts, nil).Engine(s.address)
	if _, err := collectWith(engine, "r1"); err != nil {
		t.Fatal(err)
	}
	if chunks, err := collectWith(engine, "r2"); !fault.Is(err, fault.Mismatched) || len(chunks) > 0 {
		t.Fatalf("mismatched response: got %d chunks, %v", len(chunks), err)
	}
	if _, err := collectWith(engine, "r3"); err != nil {
		t.Fatalf("request after a mismatched response: %v", err)
	}
	if last := s.arrivals[len(s.arrivals)-1]; last.conn != 2 {
		t.Errorf("the connection of a mismatched response was reused")
	}
}

// The response to the first request arrives after the client's timeout. The second request
// must not receive it.
func TestLateResponseDoesNotReachTheNextRequest(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, c, _ int, id string) bool {
		if c == 1 {
			time.Sleep(testTimeouts.Connect + 2*testTimeouts.FirstByte)
		}
		startStream(w, id)
		writeHTTPChunk(w, chunkEvent(id, 0, 2, int64(c), true))
		endStream(w)
		return true
	})
	engine := backend.NewClient(testTimeouts, nil).Engine(s.address)
	if _, err := collectWith(engine, "r1"); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("late response: %v", err)
	}
	chunks, err := collectWith(engine, "r2")
	if err != nil || chunks[0].RequestID != "r2" {
		t.Fatalf("got %+v, %v", chunks, err)
	}
}

// Two idle connections have stalled. The first stall must close the other idle connection
// too, so that the next request uses a new one.
func TestStalledConnectionIsReplaced(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, c, n int, id string) bool {
		if c <= 2 && n == 2 {
			return true // stalled: no response
		}
		startStream(w, id)
		writeHTTPChunk(w, chunkEvent(id, 0, 1, 1, false))
		time.Sleep(50 * time.Millisecond)
		writeHTTPChunk(w, chunkEvent(id, 1, 1, 1, true))
		endStream(w)
		return true
	})
	engine := backend.NewClient(testTimeouts, nil).Engine(s.address)
	done := make(chan error, 2)
	for _, id := range []string{"a", "b"} { // concurrent, so two connections become idle
		go func() {
			_, err := collectWith(engine, id)
			done <- err
		}()
	}
	for range 2 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if _, err := collectWith(engine, "c"); !fault.Is(err, fault.Unavailable) || fault.OutcomeOf(err) != fault.Unknown {
		t.Fatalf("stalled connection: %v", err)
	}
	if _, err := collectWith(engine, "d"); err != nil {
		t.Fatalf("new connection after a stalled one: %v", err)
	}
}

func TestStatusIsRetriedOnANewConnection(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, c, n int, _ string) bool {
		if c == 1 && n == 2 {
			return true
		}
		writeResponse(w, 200, "", `{"version":7,"whole":true}`)
		return true
	})
	engine := backend.NewClient(testTimeouts, nil).Engine(s.address)
	for range 2 {
		status, err := engine.Status(t.Context())
		if err != nil || status.Version != 7 {
			t.Fatalf("got %+v, %v", status, err)
		}
	}
}

func TestClosingStreamCancelsCompletionOnEngine(t *testing.T) {
	closed := make(chan struct{})
	s := newRawServer(t, func(w net.Conn, _, _ int, id string) bool {
		startStream(w, id)
		writeHTTPChunk(w, chunkEvent(id, 0, 1, 1, false))
		_, _ = w.Read(make([]byte, 1)) // returns when the client closes the connection
		close(closed)
		return false
	})
	stream, err := backend.NewClient(testTimeouts, nil).Engine(s.address).Generate(t.Context(), backend.GenerateRequest{RequestID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(t.Context()); err != nil {
		t.Fatal(err)
	}
	stream.Close()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the engine's connection stayed open")
	}
	if _, err := stream.Next(t.Context()); !fault.Is(err, fault.Canceled) {
		t.Errorf("read after close: %v", err)
	}
}

func TestStreamEndsWithTheCallersContext(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, _, _ int, id string) bool {
		startStream(w, id)
		return true
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	stream, err := backend.NewClient(testTimeouts, nil).Engine(s.address).Generate(t.Context(), backend.GenerateRequest{RequestID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(ctx); !fault.Is(err, fault.Deadline) || fault.OutcomeOf(err) != fault.Unknown {
		t.Errorf("got %v", err)
	}
}

func TestCountersAndDump(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, _, _ int, id string) bool {
		startStream(w, id)
		writeHTTPChunk(w, chunkEvent(id, 0, 1, 1, true))
		endStream(w)
		return true
	})
	client := backend.NewClient(testTimeouts, nil)
	for _, id := range []string{"a", "b"} {
		if _, err := collectWith(client.Engine(s.address), id); err != nil {
			t.Fatal(err)
		}
	}
	if c := client.Counters(); c["requests"] != 2 || c["connections"] != 1 || c["unknown"]+c["not_run"] != 0 {
		t.Errorf("counters %v", c)
	}
	state, ok := client.Dump().(backend.State)
	if !ok || len(state.Servers) != 1 || state.Servers[0].Address != s.address || state.Servers[0].Connections != 1 {
		t.Errorf("dump %+v", state)
	}
}
