package caller

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
)

// startDaemon starts a server that forwards /v1/services/s/… to a plain service, as a
// daemon does.
func startDaemon(t *testing.T) string {
	t.Helper()
	plain := fakeplain.New(fakeplain.Config{ID: "p"}).Handler()
	server := httptest.NewServer(http.StripPrefix("/v1/services/s", plain))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func TestBalancerSkipsDaemonThatRefusesConnections(t *testing.T) {
	client := NewClient(refusingAddress(t), startDaemon(t))
	for range 4 {
		if r := client.Plain(t.Context(), Request{Service: "s", Method: "GET", Path: "/a", ID: "r"}); r.Outcome != OK || r.Mismatch != "" {
			t.Errorf("got %+v", r)
		}
	}
}

func TestAllDaemonsRefuseConnections(t *testing.T) {
	client := NewClient(refusingAddress(t), refusingAddress(t))
	if r := client.Plain(t.Context(), Request{Service: "s", Method: "GET", Path: "/a", ID: "r"}); r.Outcome != fault.Unknown {
		t.Errorf("got %+v", r)
	}
}

func TestIncompleteAndWrongStreams(t *testing.T) {
	cases := []struct {
		name, body string
		outcome    fault.Outcome
	}{
		{"no end marker", "data: {\"first\":0,\"tokens\":1,\"version\":1}\n\n", fault.Unknown},
		{"error event", "event: error\ndata: {\"kind\":\"draining\",\"outcome\":\"not_run\",\"message\":\"m\"}\n\n", fault.NotRun},
		{"completion of another version", "data: {\"first\":0,\"tokens\":1,\"text\":\"zzz \",\"version\":1,\"end\":true}\n\n", OK},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(c.body))
		}))
		address := strings.TrimPrefix(server.URL, "http://")
		r := NewClient(address).Generate(t.Context(), Request{Service: "s", Prompt: "p", ID: "r"})
		if r.Outcome != c.outcome || (c.outcome == OK) != (r.Mismatch != "") {
			t.Errorf("%s: got %+v", c.name, r)
		}
		server.Close()
	}
}
