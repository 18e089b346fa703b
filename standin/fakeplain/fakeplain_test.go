package fakeplain_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
)

func TestFaultsAndCounts(t *testing.T) {
	cases := []struct {
		name   string
		faults fakeplain.Faults
		status int // 0: the connection ends
		runs   int64
	}{
		{"healthy", fakeplain.Faults{}, 200, 1},
		{"leaving", fakeplain.Faults{Leaving: true}, 503, 0},
		{"not started", fakeplain.Faults{NotStarted: 1}, 503, 0},
		{"response lost", fakeplain.Faults{DropResponses: 1}, 0, 1},
		{"fails after the run", fakeplain.Faults{FailAfterRun: 1}, 500, 1},
	}
	for _, c := range cases {
		s := fakeplain.New(fakeplain.Config{ID: "p"})
		s.SetFaults(c.faults)
		server := httptest.NewServer(s.Handler())
		r, err := http.NewRequest(http.MethodPost, server.URL+"/billing", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set(fakeplain.HeaderRequestKey, "key")
		response, err := http.DefaultClient.Do(r)
		if (err != nil) != (c.status == 0) {
			t.Errorf("%s: %v", c.name, err)
		}
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode != c.status {
				t.Errorf("%s: status %d", c.name, response.StatusCode)
			}
			if (response.Header.Get(backend.HeaderNotStarted) == "true") != (c.status == 503) {
				t.Errorf("%s: header %s is %q", c.name, backend.HeaderNotStarted, response.Header.Get(backend.HeaderNotStarted))
			}
		}
		if got := s.Counts().RunsByKey["key"]; got != c.runs {
			t.Errorf("%s: %d runs, want %d", c.name, got, c.runs)
		}
		server.Close()
	}
}
