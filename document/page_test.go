package document

import (
	"flag"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/standin/docpage"
)

var update = flag.Bool("update", false, "update the generated part of docs/DOCUMENTS.md")

func TestDocumentsPageEqualsSchema(t *testing.T) {
	var want strings.Builder
	for _, section := range SectionSchemas() {
		want.WriteString(section.Markdown())
	}
	team := TeamSchema()
	want.WriteString(team.Markdown())
	if got := docpage.GeneratedPart(t, "../docs/DOCUMENTS.md", want.String(), *update); got != want.String() {
		t.Errorf("docs/DOCUMENTS.md differs from the schema; run go test ./document -update\ngot:\n%s\nwant:\n%s", got, want.String())
	}
}
