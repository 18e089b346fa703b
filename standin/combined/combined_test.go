package combined

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
)

const steps = 3

// TestPromisesHoldUnderCombinedFaults runs separate processes under kills, freezes, a
// platform outage, lost answers, partial swaps and operator races, once a seed.
func TestPromisesHoldUnderCombinedFaults(t *testing.T) {
	programs := build(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			var logs bytes.Buffer
			report, err := Run(context.Background(), Options{
				Daemon: filepath.Join(programs, "hornbeamtide"), Standin: filepath.Join(programs, "standin"),
				Examples: "../../examples", Seed: seed, Steps: steps, Out: &logs,
			})
			t.Logf("faults: %q", report.Faults)
			for i, step := range report.Steps {
				t.Logf("step %d: %d samples in %s, %d tokens, %d calls retried", i+1, step.Delivered, step.Took, step.Tokens, step.Retries)
			}
			t.Logf("requests: %+v, races %d, versions read %d", report.Requests, report.Races, report.Versions)
			if err != nil {
				t.Fatalf("seed %d: %v\n%s", seed, err, logs.String())
			}
			for _, broken := range report.Broken {
				t.Errorf("seed %d: %s", seed, broken)
			}
			if t.Failed() {
				t.Log(logs.String())
			}
		})
	}
}

// build builds both programs into a folder of the test.
func build(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, program := range []string{"../../cmd/hornbeamtide", "../cmd/standin"} {
		output, err := exec.Command("go", "build", "-o", folder+"/", program).CombinedOutput()
		if err != nil {
			t.Fatalf("go build %s: %v\n%s", program, err, output)
		}
	}
	return folder
}
