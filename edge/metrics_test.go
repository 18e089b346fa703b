package edge

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/measure"
	"github.com/hornbeamtide/hornbeamtide/standin/docpage"
)

func TestMetricsPageEqualsCode(t *testing.T) {
	var want strings.Builder
	want.WriteString("| variable | meaning |\n| --- | --- |\n")
	for _, m := range new(Daemon).metrics() {
		fmt.Fprintf(&want, "| `%s` | %s |\n", m.name, m.meaning)
	}
	want.WriteString("\n| kind in `latency` | labels | time |\n| --- | --- | --- |\n")
	for _, k := range measure.Kinds() {
		fmt.Fprintf(&want, "| `%s` | %s | %s |\n", k.Name, strings.Join(k.Labels, ", "), k.Meaning)
	}
	want.WriteString("\n")
	if got := docpage.GeneratedPart(t, "../docs/METRICS.md", want.String(), *update); got != want.String() {
		t.Error("docs/METRICS.md differs from the code; run go test ./edge -run MetricsPage -update")
	}
}

// Checks that each kind in docs/METRICS.md is observed when its work is done.
func TestAllMetricKindsAreObserved(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 2)
	for _, d := range s.daemons {
		if got := d.call("POST", plainPath+"x", "r-1", nil); got.status != http.StatusOK {
			t.Fatalf("response %+v", got)
		}
	}
	s.store.PutSpec("versions/"+testModel, []byte(`{"Model":"captions","Version":2}`))
	body, ids := batchBody(2, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	s.checkComplete(s.readAll(s.daemons[0], "lot-1"), ids)
	s.checkComplete(s.readAll(s.daemons[1], "lot-1"), ids)
	seen := map[string]int64{}
	vars := func(d *testDaemon) map[string]json.RawMessage {
		response, err := http.Get("http://" + d.settings.MetricAddress + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		found := map[string]json.RawMessage{}
		if err := json.NewDecoder(response.Body).Decode(&found); err != nil {
			t.Fatal(err)
		}
		return found
	}
	s.eventually("all kinds are observed", func() bool {
		clear(seen)
		for _, d := range s.daemons {
			var latency map[string]measure.Summary
			if err := json.Unmarshal(vars(d)["latency"], &latency); err != nil {
				t.Fatal(err)
			}
			for name, summary := range latency {
				kind, _, _ := strings.Cut(name, "/")
				seen[kind] += summary.Count
			}
		}
		return len(seen) == len(measure.Kinds())
	})
	for _, m := range s.daemons[0].metrics() {
		if _, served := vars(s.daemons[0])[m.name]; !served {
			t.Errorf("%s is not served", m.name)
		}
	}
}
