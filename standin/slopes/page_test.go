package slopes

import (
	"strings"
	"testing"
)

// sampleResults returns results whose lines have the right number of slopes, all 1.
func sampleResults() Results {
	one, two, three := fit{Slopes: []float64{1}}, fit{Slopes: []float64{1, 1}}, fit{Slopes: []float64{1, 1, 1}}
	r := Results{
		MemberCPU: two, MemberBytes: two, MemberMessages: two, MemberMemory: two,
		CollectorCPU: three, CollectorBytes: three, CollectorMessages: three, CollectorMemory: three,
	}
	for _, f := range []*fit{
		&r.PlatformReads, &r.PlatformWrites, &r.Watches, &r.ChangeCollectorCPU, &r.ChangeCollectorBytes, &r.InForce,
		&r.WaveTotal, &r.WaveSpread, &r.WaveOrders, &r.PlainCPU, &r.StreamCPU, &r.ClaimCPU, &r.ClaimBytes, &r.ClaimWrites,
		&r.ClaimReads, &r.StepCPU, &r.StepBytes, &r.StepMaxBytes, &r.StepMessages, &r.StepWrites, &r.StepReads,
	} {
		*f = one
	}
	r.Layouts = []LayoutMeasurement{{Layout: Layout{Daemons: 9}, idle: []daemonRates{{}, {collectorState: collectorState{Collecting: true}}}}}
	return r
}

func TestPageHasCompleteTablesAndAllRoles(t *testing.T) {
	var page strings.Builder
	if err := writePage(&page, sampleResults()); err != nil {
		t.Fatal(err)
	}
	cells := 0
	for _, line := range strings.Split(page.String(), "\n") {
		if !strings.HasPrefix(line, "|") {
			cells = 0
			continue
		}
		if n := strings.Count(line, "|"); cells == 0 {
			cells = n
		} else if n != cells {
			t.Errorf("%d cells instead of %d: %s", n-1, cells-1, line)
		}
	}
	for _, role := range []string{"member", "collector", "step owner", "group runner", "claim shard keeper", "weights keeper", "router"} {
		if strings.Count(page.String(), "| "+role+" |") != 1 || !strings.Contains(page.String(), "**"+role+"**: ") {
			t.Errorf("no row or formula of the %s", role)
		}
	}
	if strings.Contains(page.String(), "%!") {
		t.Error("the page contains a formatting error (%!)")
	}
}

// Each limit is compared with its figure; an exceeded one is listed with its remedy.
func TestPageListsExceededLimitsWithTheirRemedies(t *testing.T) {
	r := sampleResults()
	var page strings.Builder
	if err := writePage(&page, r); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(page.String(), "**exceeded**") || !strings.Contains(page.String(), "- **platform writes**") && !strings.Contains(page.String(), "- **processor of a member**") {
		t.Error("results with slopes of 1 do not exceed a limit")
	}
}
