// Package docpage compares the generated part of a documentation page with what the
// code says. Tests use it.
package docpage

import (
	"os"
	"strings"
	"testing"
)

const (
	begin = "-update -->\n\n"
	end   = "<!-- end -->"
)

// Generated returns the generated part of the page at path. With update it first
// writes want there.
func Generated(t testing.TB, path, want string, update bool) string {
	t.Helper()
	page, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	head, rest, begun := strings.Cut(string(page), begin)
	got, tail, ended := strings.Cut(rest, end)
	if !begun || !ended {
		t.Fatalf("%s has no generated part", path)
	}
	if !update {
		return got
	}
	if err := os.WriteFile(path, []byte(head+begin+want+end+tail), 0o644); err != nil {
		t.Fatal(err)
	}
	return want
}
