package rollout

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// exchange is one request and response of a recorded session.
type exchange struct {
	Call     string          `json:"call"`
	Body     json.RawMessage `json:"body"`
	Status   int             `json:"status"`
	Response json.RawMessage `json:"answer"`
}

// sessionRecording records a trainer's calls.
type sessionRecording struct {
	t         *testing.T
	d         *testDaemon
	exchanges []exchange
}

func (r *sessionRecording) call(path string, body, response any) {
	r.t.Helper()
	w := httptest.NewRecorder()
	_, _ = r.d.callOn(w, path, body, response)
	encoded, _ := json.Marshal(body)
	r.exchanges = append(r.exchanges, exchange{
		Call: "POST /v1/trainers/" + testTrainer + path, Body: encoded, Status: w.Code, Response: bytes.TrimSpace(w.Body.Bytes()),
	})
}

func TestTrainerSessionMatchesItsGoldenFile(t *testing.T) {
	c := newCluster(t, 1, nil)
	r := &sessionRecording{t: t, d: c.daemons[0]}
	var first, second Session
	var step Step
	var response, repeated PullResponse
	r.call("/sessions", OpenSessionRequest{Service: testService}, &first)
	r.call("/steps", openStep(first.Epoch, 1, 2, 2), &step)
	r.call("/steps", openStep(first.Epoch, 1, 2, 2), &step)
	waitFor(t, "all samples ready", func() bool { return c.daemons[0].manager.ownedSteps()[0].state().Ready == 4 })
	r.call("/pull", PullRequest{Token: step.Token, Version: 1, Max: 1}, &response)
	r.call("/pull", PullRequest{Token: response.Token, Version: 1, Max: 2}, &repeated)
	r.call("/pull", PullRequest{Token: response.Token, Version: 1, Max: 2}, &repeated)
	r.call("/sessions", OpenSessionRequest{Service: testService, Token: response.Token}, &second)
	r.call("/pull", PullRequest{Token: repeated.Token, Version: 1}, &response)
	r.call("/pull", PullRequest{Token: second.Token, Version: 1}, &response)
	r.call("/pull", PullRequest{Token: response.Token, Version: 1}, &response)
	r.call("/pull", PullRequest{Token: strings.ToLower(response.Token)}, &response)
	r.call("/steps", OpenStepRequest{Service: testService, Epoch: second.Epoch, Step: 2}, &step)
	got, err := json.MarshalIndent(r.exchanges, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	const file = "testdata/session.golden.json"
	if *update {
		if err := os.WriteFile(file, append(got, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(got)+"\n" != string(want) {
		t.Errorf("the session differs from %s (run with -update to see the difference in version control):\n%s", file, got)
	}
}
