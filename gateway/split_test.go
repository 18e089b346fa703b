package gateway

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

func splitRoute() *catalog.Route {
	route := testRoute("records")
	route.Split = []catalog.Share{{Service: testService, Weight: 90}, {Service: "trial", Weight: 10}, {Service: "off", Weight: 0}}
	return route
}

// Guards against the refusal of a tenth of the callers while the only replica of the smaller service of
// their route is gone and the others are idle (the class of case 3 of the review).
func TestCallersOfSplitRouteAreServedWithoutSmallService(t *testing.T) {
	tracker := testTracker(3)
	g := New(silentBackend(func(upstream.Call) bool { return false }), tracker, noGuard{}, nil, nil)
	refused := 0
	for n := range 300 {
		if err := g.Forward(t.Context(), httptest.NewRecorder(), splitRoute(), Request{ID: fmt.Sprint(n), Target: "/x"}); err != nil {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 300 requests were refused", refused)
	}
}

// Replays which service an attempt goes to while replicas of the services fail or are gone.
func TestServiceOfAttempt(t *testing.T) {
	healthy, failing, none := placement.Choice{Eligible: 1, Healthy: 1}, placement.Choice{Eligible: 1}, placement.Choice{}
	for name, row := range map[string]struct {
		large, small, off placement.Choice
		point             float64
		want              string
	}{
		"both healthy, large chosen":        {healthy, healthy, none, 0.5, testService},
		"both healthy, small chosen":        {healthy, healthy, none, 0.95, "trial"},
		"small gone":                        {healthy, none, none, 0.95, testService},
		"small failing":                     {healthy, failing, none, 0.95, testService},
		"large gone":                        {none, healthy, none, 0.5, "trial"},
		"small gone, large failing":         {failing, none, none, 0.95, testService},
		"both failing":                      {failing, failing, none, 0.95, "trial"},
		"both gone":                         {none, none, none, 0.95, "trial"},
		"only a service without a share up": {none, none, healthy, 0.95, "trial"},
	} {
		choices := map[string]placement.Choice{testService: row.large, "trial": row.small, "off": row.off}
		if got := chooseForAttempt(splitRoute().Split, row.point, func(s string) placement.Choice { return choices[s] }); got != row.want {
			t.Errorf("%s: %s, want %s", name, got, row.want)
		}
	}
}
