package httpclient_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/httpclient"
	"github.com/hornbeamtide/hornbeamtide/standin/oddserver"
)

// get sends a request to a server that answers with the given head, and reports whether there was a response.
func get(t *testing.T, client *http.Client, head string) (status int, err error) {
	t.Helper()
	server, err := oddserver.Start(oddserver.Respond(head, func(*http.Request) string { return "X-Name: v\r\n" }, "body"))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	resp, err := client.Get("http://" + server.Address())
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Guards against a response that can't be one and counts as a success, for example of a command.
func TestInvalidResponsesAreErrors(t *testing.T) {
	client := httpclient.NewClient(5 * time.Second)
	defer client.CloseIdleConnections()
	for name, head := range oddserver.InvalidHeads {
		if status, err := get(t, client, head); err == nil {
			t.Errorf("%s: status %d, error %v", name, status, err)
		}
	}
}

// The first and the last status that a response may have, and interim responses before them, are sound.
func TestUnusualResponsesAreValid(t *testing.T) {
	client := httpclient.NewClient(5 * time.Second)
	defer client.CloseIdleConnections()
	for head, want := range map[string]int{
		"HTTP/1.1 200 OK\r\n": 200,
		"HTTP/1.1 599\r\n":    599,
		"HTTP/1.0 200 OK\r\n": 200,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Name: v\r\n\r\nHTTP/1.1 418 I'm a teapot\r\n": 418,
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: every character that a name may have\r\n":                        200,
	} {
		if status, err := get(t, client, head); status != want || err != nil {
			t.Errorf("%q: status %d, error %v", head, status, err)
		}
	}
}
