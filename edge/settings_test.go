package edge

import (
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/docpage"
)

var update = flag.Bool("update", false, "update the generated part of the page")

func TestSettingsPageEqualsSchema(t *testing.T) {
	var want strings.Builder
	for _, section := range Sections() {
		want.WriteString(section.Markdown())
	}
	if got := docpage.GeneratedPart(t, "../docs/SETTINGS-EDGE.md", want.String(), *update); got != want.String() {
		t.Error("docs/SETTINGS-EDGE.md differs from the schema; run go test ./edge -run SettingsPage -update")
	}
}

const requiredSettings = "[edge]\nid = d1\nregion = r\nfailure_domain = a\n"

func TestFaultySettingsAreRefusedWithLineAndRemedy(t *testing.T) {
	table := []struct {
		name, text string
		kind       fault.Kind
		want       string
	}{
		{"no id", "[edge]\nregion = r\nfailure_domain = a\n", fault.Invalid, "required key \"id\""},
		{"unknown section", requiredSettings + "[disk]\n", fault.Unrecognized, "s.ini:5: unknown section [disk]"},
		{"unknown key", requiredSettings + "x = 1\n", fault.Unrecognized, "s.ini:5: unknown key \"x\""},
		{"host name", requiredSettings + "front_address = host:1\n", fault.Invalid, "s.ini:5: front_address"},
		{"bad seed", requiredSettings + "seeds = 10.0.0.1:7, here\n", fault.Invalid, "s.ini:5: seeds"},
		{"short head", requiredSettings + "[clients]\nhead_bytes = 100\n", fault.Invalid, "s.ini:6: head_bytes"},
		{"no time for a head", requiredSettings + "[clients]\nhead_time = 0s\n", fault.Invalid, "s.ini:6: head_time"},
		{"negative connections", requiredSettings + "[clients]\nconnections = -1\n", fault.Invalid, "s.ini:6: connections"},
		{"short lease", requiredSettings + "[orders]\nlease = 1ms\n", fault.Invalid, "s.ini:6: lease"},
	}
	for _, row := range table {
		_, err := ParseSettings("s.ini", []byte(row.text))
		if fault.KindOf(err) != row.kind || !strings.Contains(err.Error(), row.want) || fault.RemedyOf(err) == "" {
			t.Errorf("%s: %v, want %q", row.name, err, row.want)
		}
	}
}

// The settings rendered from the deployment template must be accepted.
func TestDeployTemplateIsAccepted(t *testing.T) {
	source, err := os.ReadFile("../deploy/settings.ini.template")
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{
		"Node": "edge-a-1", "Region": "r", "Zone": "a", "Seeds": "10.0.0.1:7,10.0.0.2:7", "Ip": "10.0.0.1", "PortRange.0": "7720",
		"Listen.Front": "10.0.0.1:1", "Listen.Ready": "10.0.0.1:2", "Listen.Control": "10.0.0.1:3",
		"Provider.Address": "10.0.0.9:4", "Provider.WritesPerS": "400", "Limits.MemoryMb": "284", "Limits.CpuShare": "0.4", "Bounds.GraceS": "8", "Bounds.LeaseMs": "3000",
		"Bounds.RevokeMs": "5000", "Bounds.UsageWindowS": "5", "Bounds.UsageLateS": "10", "Cloud.Address": "10.0.0.9:5", "Cloud.Duties": "usage_report,scaling", "Cloud.DutyPerS": "50.0",
	}
	text := regexp.MustCompile(`\{\{\^[^}]*\}\}[^{]*\{\{/[^}]*\}\}|\{\{[#/][^}]*\}\}`).ReplaceAllString(string(source), "")
	text = regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(text, func(m string) string { return values[m[2:len(m)-2]] })
	s, err := ParseSettings("settings.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if want := (DutySettings{Names: "usage_report,scaling", Address: "10.0.0.9:5", CallsPerSecond: 50, UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second}); s.Duties != want || !s.Duties.OrdersReplicas() || s.Organisations.WithdrawalTime != 5*time.Second {
		t.Errorf("settings %+v", s)
	}
	if s.MetricAddress != "10.0.0.1:7720" || !s.Orders.ReplicasCheckTokens || len(s.seeds()) != 2 {
		t.Errorf("settings %+v", s)
	}
}
