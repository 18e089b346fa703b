package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

func plainRequest(t *testing.T, method, id, body string) *http.Request {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://ignored/path", reader)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(backend.HeaderRequestID, id)
	return r
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	client := backend.NewClient(testTimeouts, nil)
	_, err = client.Plain(address).Do(t.Context(), plainRequest(t, "POST", "r", "body"))
	if !fault.Is(err, fault.Unavailable) || fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("plain: %s, %s: %v", fault.KindOf(err), fault.OutcomeOf(err), err)
	}
	_, err = client.Engine(address).Generate(t.Context(), backend.GenerateRequest{RequestID: "r"})
	if !fault.Is(err, fault.Unavailable) || fault.OutcomeOf(err) != fault.NotRun {
		t.Errorf("engine: %s, %s: %v", fault.KindOf(err), fault.OutcomeOf(err), err)
	}
}

func TestCanceledContextBeforeSendIsNotRun(t *testing.T) {
	s := newRawServer(t, func(net.Conn, int, int, string) bool { return false })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := backend.NewClient(testTimeouts, nil).Plain(s.address).Do(ctx, plainRequest(t, "POST", "r", "body"))
	if fault.OutcomeOf(err) != fault.NotRun || s.count("r") != 0 {
		t.Errorf("got %v, arrivals %d", err, s.count("r"))
	}
}

// The server closes a reused connection after the second request has arrived.
// http.Transport resends such requests on its own unless that is prevented.
func TestRequestOnAClosedReusedConnectionIsNeverResent(t *testing.T) {
	cases := []struct {
		name   string
		method string
		body   string
		header string
	}{
		{"body with GetBody", "POST", "body", ""},
		{"GET without a body", "GET", "", ""},
		{"POST without a body", "POST", "", ""},
		{"Idempotency-Key", "POST", "body", "Idempotency-Key"},
		{"X-Idempotency-Key without a body", "POST", "", "X-Idempotency-Key"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newRawServer(t, func(w net.Conn, _, n int, _ string) bool {
				if n == 2 {
					return false
				}
				writeResponse(w, 200, "", "ok")
				return true
			})
			plain := backend.NewClient(testTimeouts, nil).Plain(s.address)
			response, err := plain.Do(t.Context(), plainRequest(t, "POST", "first", "body"))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			r := plainRequest(t, c.method, "second", c.body)
			if c.header != "" {
				r.Header.Set(c.header, "k")
			}
			if _, err = plain.Do(t.Context(), r); err == nil {
				t.Fatal("no error although the server closed the connection")
			}
			if fault.OutcomeOf(err) != fault.Unknown {
				t.Errorf("outcome %s of a request that reached the server", fault.OutcomeOf(err))
			}
			if n := s.count("second"); n != 1 {
				t.Errorf("the request arrived %d times", n)
			}
		})
	}
}

// The server closes idle connections at varying times. A request must reach the server at
// most once, and a request that reached it must not get the outcome not_run.
func TestNotRunIsCorrectWhenServerClosesConnections(t *testing.T) {
	s := newRawServer(t, func(w net.Conn, c, _ int, _ string) bool {
		writeResponse(w, 200, "", "ok")
		time.Sleep(time.Duration(c%5) * 200 * time.Microsecond)
		return false
	})
	plain := backend.NewClient(testTimeouts, nil).Plain(s.address)
	for i := range 300 {
		id := "r" + strings.Repeat("i", i)
		response, err := plain.Do(t.Context(), plainRequest(t, "POST", id, "body"))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			time.Sleep(time.Duration(i%7) * 100 * time.Microsecond)
		} else if fault.OutcomeOf(err) == fault.NotRun && s.count(id) > 0 {
			t.Fatalf("outcome not_run of a request that reached the server: %v", err)
		}
		if s.count(id) > 1 {
			t.Fatalf("request %d arrived %d times", i, s.count(id))
		}
	}
}

func TestPlainResponses(t *testing.T) {
	cases := []struct {
		name    string
		respond func(w net.Conn, id string) bool
		kind    fault.Kind // of the error of Do or of reading the body, "" for a complete response
		outcome fault.Outcome
		status  int // when Do succeeds
	}{
		{"complete", func(w net.Conn, id string) bool {
			writeResponse(w, 200, "X-Request-Id: "+id+"\r\n", "ok")
			return true
		}, "", "", 200},
		{"error status is passed on", func(w net.Conn, _ string) bool {
			writeResponse(w, 500, "", "no")
			return true
		}, "", "", 500},
		{"not started", func(w net.Conn, _ string) bool {
			writeResponse(w, 503, "X-Not-Started: true\r\n", "")
			return true
		}, fault.Overloaded, fault.NotRun, 0},
		{"leaving", func(w net.Conn, _ string) bool {
			writeResponse(w, 503, "X-Not-Started: true\r\nX-Server-Leaving: true\r\n", "")
			return true
		}, fault.Draining, fault.NotRun, 0},
		{"503 alone is passed on", func(w net.Conn, _ string) bool {
			writeResponse(w, 503, "", "")
			return true
		}, "", "", 503},
		{"response to another request", func(w net.Conn, _ string) bool {
			writeResponse(w, 200, "X-Request-Id: other\r\n", "ok")
			return true
		}, fault.Mismatched, fault.Unknown, 0},
		{"closed without a response", func(net.Conn, string) bool { return false }, fault.Unavailable, fault.Unknown, 0},
		{"truncated body", func(w net.Conn, _ string) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			return false
		}, fault.Truncated, fault.Unknown, 200},
		{"stalled in the body", func(w net.Conn, _ string) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			return true
		}, fault.Unavailable, fault.Unknown, 200},
		{"stalled before the headers", func(net.Conn, string) bool { return true }, fault.Unavailable, fault.Unknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newRawServer(t, func(w net.Conn, _, _ int, id string) bool { return c.respond(w, id) })
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			response, err := backend.NewClient(testTimeouts, nil).Plain(s.address).Do(ctx, plainRequest(t, "POST", "r", "body"))
			if (err == nil) != (c.status != 0) {
				t.Fatalf("Do: %v", err)
			}
			if err == nil {
				defer response.Body.Close()
				if response.StatusCode != c.status {
					t.Errorf("status %d, want %d", response.StatusCode, c.status)
				}
				_, err = io.ReadAll(response.Body)
			}
			if fault.KindOf(err) != c.kind || err != nil && fault.OutcomeOf(err) != c.outcome {
				t.Errorf("got %s, %s: %v", fault.KindOf(err), fault.OutcomeOf(err), err)
			}
		})
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	var got http.Header
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { got = r.Header })}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	r := plainRequest(t, "POST", "r", "body")
	r.Header.Set("Connection", "X-Private, close")
	r.Header.Set("X-Private", "1")
	r.Header.Set("Idempotency-Key", "1")
	r.Header.Set("X-Kept", "1")
	response, err := backend.NewClient(testTimeouts, nil).Plain(listener.Addr().String()).Do(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if got.Get("X-Private") != "" || got.Get("Idempotency-Key") != "" || got.Get("X-Kept") != "1" {
		t.Errorf("forwarded headers: %v", got)
	}
}

func TestOrders(t *testing.T) {
	cases := []struct {
		status  int
		kind    fault.Kind
		outcome fault.Outcome
	}{
		{204, "", ""},
		{409, fault.Fenced, fault.NotRun},
		{500, fault.Unavailable, fault.Failed},
		{503, fault.Unavailable, fault.Unknown},
	}
	for _, c := range cases {
		s := newRawServer(t, func(w net.Conn, _, _ int, _ string) bool {
			writeResponse(w, c.status, "", "")
			return true
		})
		engine := backend.NewClient(testTimeouts, nil).Engine(s.address)
		for name, order := range map[string]func(context.Context, backend.Order) error{"stage": engine.Stage, "activate": engine.Activate} {
			err := order(t.Context(), backend.Order{Version: 2, FencingToken: 5})
			if fault.KindOf(err) != c.kind || err != nil && fault.OutcomeOf(err) != c.outcome {
				t.Errorf("%s with status %d: got %s, %s: %v", name, c.status, fault.KindOf(err), fault.OutcomeOf(err), err)
			}
		}
	}
}
