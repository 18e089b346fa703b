package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// largeServer sends a response larger than the buffers of a connection.
func largeServer(w http.ResponseWriter, r *http.Request) {
	const parts, size = 64, 1 << 20
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	part := make([]byte, size)
	for range parts {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

func TestCallerThatStopsReadingReleasesItsRequest(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 0)
	s.registerInstance("ledgerdesk", "desk", serve(t, http.HandlerFunc(largeServer)))
	settings := s.settings(1)
	settings.Daemon.CallerProgress = 300 * time.Millisecond
	d := s.start(settings)
	s.applyText(d, "ledgerdesk", deskDocument)
	conn, err := net.Dial("tcp", d.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /v1/services/ledgerdesk/records HTTP/1.1\r\nHost: d1\r\n\r\n")
	if _, err := io.ReadFull(conn, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the request of the caller that stopped reading ends", func() bool { return d.inFlight() == 0 })
}

func TestCallerThatStopsSendingReleasesItsRequest(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 0)
	settings := s.settings(1)
	settings.Daemon.CallerProgress = 300 * time.Millisecond
	d := s.start(settings)
	s.applyText(d, "ledgerdesk", deskDocument)
	conn, err := net.Dial("tcp", d.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/services/ledgerdesk/records HTTP/1.1\r\nHost: d1\r\nContent-Length: 100\r\n\r\nhalf of it")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	if response.StatusCode == http.StatusOK || !strings.Contains(string(body), `"outcome":"not_run"`) {
		t.Errorf("%s: %s", response.Status, body)
	}
	if runs := s.plain.runs.Load(); runs != 0 {
		t.Errorf("the server ran %d requests", runs)
	}
	waitUntil(t, "the request ends", func() bool { return d.inFlight() == 0 })
}

func TestSlowRequestWithBodyIsNotAborted(t *testing.T) {
	t.Parallel()
	s := newSystem(t, time.Second)
	settings := s.settings(1)
	settings.Daemon.CallerProgress = 200 * time.Millisecond
	d := s.start(settings)
	s.applyText(d, "ledgerdesk", deskDocument)
	if a := d.call(http.MethodPost, "/v1/services/ledgerdesk/records", "{}"); a.status != http.StatusOK {
		t.Errorf("response %+v", a)
	}
}
