// Package docpage compares the generated part of a documentation page with the content that
// the code generates. Tests use it.
package docpage

import (
	"os"
	"strings"
	"testing"
)

const (
	beginMarker = "-update -->\n\n"
	endMarker   = "<!-- end -->"
)

// GeneratedPart returns the generated part of the page at path, which lies between the markers.
// With update set, it first replaces that part with want.
func GeneratedPart(t testing.TB, path, want string, update bool) string {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, beginFound := strings.Cut(string(page), beginMarker)
	got, tail, endFound := strings.Cut(rest, endMarker)
	if !beginFound || !endFound {
		t.Fatalf("%s has no generated part", path)
	}
	if !update {
		return got
	}
	if err := os.WriteFile(path, []byte(head+beginMarker+want+endMarker+tail), 0o644); err != nil {
		t.Fatal(err)
	}
	return want
}
