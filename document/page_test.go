package document

import (
	"flag"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the generated part of the page")

func TestDocumentsPageEqualsSchema(t *testing.T) {
	const path, begin, end = "../docs/DOCUMENTS.md", "-update -->\n\n", "<!-- end -->"
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, ok := strings.Cut(string(page), begin)
	got, tail, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		t.Fatal("the page has no generated part")
	}
	var want strings.Builder
	for _, section := range Sections() {
		want.WriteString(section.Markdown())
	}
	team := Team()
	want.WriteString(team.Markdown())
	if *update {
		text := head + begin + want.String() + end + tail
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if got != want.String() {
		t.Errorf("docs/DOCUMENTS.md differs from the schema; run go test ./document -update\ngot:\n%s\nwant:\n%s", got, want.String())
	}
}
