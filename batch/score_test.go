package batch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// A scoring server's response counts only with its complete body. A body without end, which is read
// up to a limit, and one that breaks off are not complete.
func TestScoreNeedsTheCompleteBody(t *testing.T) {
	const limit = 100
	broken := errors.New("connection reset")
	for name, row := range map[string]struct {
		body io.Reader
		want bool
	}{
		"empty":      {strings.NewReader(""), true},
		"at limit":   {bytes.NewReader(make([]byte, limit)), true},
		"over limit": {bytes.NewReader(make([]byte, limit+1)), false},
		"breaks off": {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), false},
	} {
		if err := discardComplete(row.body, limit); (err == nil) != row.want {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// hangingService is a backend whose replicas of the service "hanging" never respond and whose others
// score at once.
type hangingService struct{ upstream.Backend }

// Send implements upstream.Backend.
func (hangingService) Send(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	if call.Replica.Service == "hanging" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &upstream.Response{Status: http.StatusOK, Signed: true, Score: "1", Body: io.NopCloser(strings.NewReader(""))}, nil
}

// Guards against scoring calls of one service that hold up those of all others (the class of case 3 of
// the review): with one limit for all services, calls to servers that hang took all of it.
func TestHangingScoringServiceDoesNotDelayOthers(t *testing.T) {
	m := runManager(hangingService{}, 0)
	addReplicas(m.tracker, "hanging", 1, 4*maxConcurrentScores)
	addReplicas(m.tracker, "sound", 1, 4)
	var routes []catalog.Route
	for _, name := range []string{"hanging", "sound"} {
		routes = append(routes, catalog.Route{
			Name: name, Host: "h", PathPrefix: "/" + name, Kind: catalog.Idempotent, Timeout: time.Hour, MaxAttempts: 3,
			Split: []catalog.Share{{Service: name, Weight: 1}},
		})
	}
	configuration := catalog.NewConfiguration(1, routes, nil, catalog.Limits{})
	m.configuration = func() *catalog.Configuration { return configuration }
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	r := &run{Manager: m, ctx: ctx, results: newResultLog("b", m.store, nil)}
	var waiting sync.WaitGroup
	for n := range 2 * maxConcurrentScores {
		waiting.Go(func() { r.scoreOnce(&Scorer{ID: fmt.Sprint("s", n), Host: "h", Path: "/hanging"}, map[string]bool{}) })
	}
	hanging := m.scoreSlots.of("hanging")
	for len(hanging) < cap(hanging) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if score, _, _ := r.scoreOnce(&Scorer{ID: "x", Host: "h", Path: "/sound"}, map[string]bool{}); score != "1" {
		t.Errorf("score %q from the sound service, want 1", score)
	}
	cancel()
	waiting.Wait()
}
