package daemon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/daemon"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeweights"
	"github.com/hornbeamtide/hornbeamtide/standin/local"
)

var testLocation = local.Location{Region: "pk-south", FailureDomain: "khi-a"}

// newRegion starts the fakes and the daemons d1, d2, … with extraSettings appended to
// their settings.
func newRegion(t *testing.T, daemons int, extraSettings string) *local.System {
	t.Helper()
	s, err := local.New(fakeweights.Config{}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for i := range firstVersion {
		s.Platform.Put("test/counter", []byte(strconv.Itoa(i)))
	}
	for i := range 2 {
		engine := fakeengine.Config{ID: fmt.Sprintf("engine-%d", i), Pool: "draftpool", Version: 1, TokenTime: 2 * time.Millisecond}
		if _, err := s.StartEngine(engine, testLocation); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.StartPlainService(fakeplain.Config{ID: "desk-1"}, "ledgerdesk", testLocation); err != nil {
		t.Fatal(err)
	}
	for i := range daemons {
		if _, err := s.StartDaemon(fmt.Sprintf("d%d", i+1), testLocation, extraSettings); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

// firstVersion is the lowest object version, by which normalise recognises versions.
const firstVersion = 7000

// session records HTTP calls and their responses.
type session struct {
	t      *testing.T
	daemon *local.Daemon
	log    bytes.Buffer
}

// call sends a request. header holds alternating names and values. It returns the
// response body and the version in the response header.
func (s *session) call(method, path, body string, header ...string) (string, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+s.daemon.Address()+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(&s.log, "> %s %s\n", method, path)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
		fmt.Fprintf(&s.log, "> %s: %s\n", header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	version := response.Header.Get(daemon.HeaderVersion)
	fmt.Fprintf(&s.log, "< %s\n", response.Status)
	for _, name := range []string{"Content-Type", daemon.HeaderVersion} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&s.log, "< %s: %s\n", name, value)
		}
	}
	fmt.Fprintf(&s.log, "%s\n\n", strings.TrimSpace(string(content)))
	return string(content), version
}

// waitInForce waits until the given version of the only document is in force on the
// given number of daemons and no daemon is lagging.
func (s *session) waitInForce(version string, daemons int) {
	s.t.Helper()
	const inForceTimeout = 20 * time.Second
	for end := time.Now().Add(inForceTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status := statusOf(s.t, s.daemon)
		if len(status.Documents) == 0 {
			continue
		}
		d := status.Documents[0]
		if strconv.FormatInt(d.Version, 10) == version && len(d.InForce) == daemons && len(d.Lagging) == 0 {
			return
		}
	}
	s.t.Fatal("the document is not in force on all daemons")
}

func statusOf(t *testing.T, d *local.Daemon) daemon.Status {
	t.Helper()
	response, err := http.Get("http://" + d.Address() + "/v1/status")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var status daemon.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		t.Fatal(err)
	}
	return status
}

// normalise replaces addresses and object versions, which differ between runs, with
// placeholders.
func normalise(text string) string {
	text = regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(text, "ADDRESS")
	labels := map[string]string{}
	return regexp.MustCompile(`\b\d{4,}\b`).ReplaceAllStringFunc(text, func(number string) string {
		if n, err := strconv.Atoi(number); err != nil || n < firstVersion {
			return number
		}
		if labels[number] == "" {
			labels[number] = fmt.Sprintf("V%d", len(labels)+1)
		}
		return labels[number]
	})
}

func TestOperatorSessionOverHTTP(t *testing.T) {
	t.Parallel()
	region := newRegion(t, 2, "")
	s := &session{t: t, daemon: region.Daemons[0]}
	source, err := os.ReadFile("testdata/desk.ini")
	if err != nil {
		t.Fatal(err)
	}
	const path = "/v1/documents/ledgerdesk"
	s.call(http.MethodGet, "/health", "")
	s.call(http.MethodGet, path, "")
	s.call(http.MethodPut, path, string(source))
	_, first := s.call(http.MethodPut, path, string(source), "If-Match", "0")
	s.waitInForce(first, 2)
	text, _ := s.call(http.MethodGet, path, "")
	changed := strings.Replace(text, "deadline = 5s", "deadline = 4s", 1)
	_, second := s.call(http.MethodPut, path, changed, "If-Match", first)
	s.call(http.MethodPut, path, strings.Replace(text, "5s", "6s", 1), "If-Match", first)
	s.call(http.MethodPut, path, strings.Replace(changed, "deadline", "deadlines", 1), "If-Match", first)
	s.call(http.MethodPut, "/v1/documents/orders-app", changed, "If-Match", "0")
	s.waitInForce(second, 2)
	s.call(http.MethodGet, "/v1/documents", "")
	s.call(http.MethodGet, "/v1/status", "")
	s.call(http.MethodGet, "/v1/alarms", "")
	s.call(http.MethodGet, "/v1/nothing", "")
	compareGolden(t, "testdata/operator.golden", normalise(s.log.String()))
}

func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	if daemon.UpdateGolden() {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the session differs from %s; if the difference is intended, run the test with -update\n%s", path, got)
	}
}
