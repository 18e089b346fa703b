package event

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/standin/docpage"
)

var update = flag.Bool("update", false, "update the generated part of the page")

func TestEventsPageEqualsCatalogue(t *testing.T) {
	want := markdownTable() + "\n"
	got := docpage.GeneratedPart(t, "../docs/EVENTS.md", want, *update)
	if got == want {
		return
	}
	t.Error("docs/EVENTS.md differs from the catalogue; run go test ./event -update")
	reportMissingLines(t, "the page", got, want)
	reportMissingLines(t, "the catalogue", want, got)
}

func markdownTable() string {
	var b strings.Builder
	b.WriteString("| event | level | message | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Text, e.Meaning)
	}
	return b.String()
}

func reportMissingLines(t *testing.T, where, in, lines string) {
	for _, line := range strings.Split(lines, "\n") {
		if !strings.Contains(in, line) {
			t.Errorf("missing in %s: %s", where, line)
		}
	}
}

func TestEventsAreComplete(t *testing.T) {
	for _, e := range Catalogue() {
		if e.Number < 100 || e.Text == "" || e.Meaning == "" || strings.Contains(e.Text+e.Meaning, "|") {
			t.Errorf("event %+v", e)
		}
	}
}
