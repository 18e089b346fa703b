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

// TestGuaranteesHoldUnderCombinedFaults runs separate processes under kills, freezes, a
// platform outage, lost platform responses, a partial weight swap and operators that change the
// same document at once. The seed determines the order of the faults and their targets.
func TestGuaranteesHoldUnderCombinedFaults(t *testing.T) {
	programDir := buildPrograms(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			var logs bytes.Buffer
			report, err := Run(context.Background(), Options{
				DaemonPath: filepath.Join(programDir, "hornbeamtide"), StandinPath: filepath.Join(programDir, "standin"),
				ExamplesDir: "../../examples", Seed: seed, MinSteps: steps, Out: &logs,
			})
			t.Logf("faults: %q", report.Faults)
			for i, step := range report.Steps {
				t.Logf("step %d: %d samples in %s, %d tokens, %d calls retried", i+1, step.Delivered, step.Duration, step.Tokens, step.Retries)
			}
			t.Logf("requests: %+v, races %d, versions read %d", report.Requests, report.OperatorRaces, report.VersionsRead)
			if err != nil {
				t.Fatalf("seed %d: %v\n%s", seed, err, logs.String())
			}
			for _, violation := range report.Violations {
				t.Errorf("seed %d: %s", seed, violation)
			}
			if t.Failed() {
				t.Log(logs.String())
			}
		})
	}
}

// buildPrograms builds hornbeamtide and standin and returns the directory that holds them.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, program := range []string{"../../cmd/hornbeamtide", "../cmd/standin"} {
		output, err := exec.Command("go", "build", "-o", dir+"/", program).CombinedOutput()
		if err != nil {
			t.Fatalf("go build %s: %v\n%s", program, err, output)
		}
	}
	return dir
}
