package daemon

import (
	"os"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

func TestOperationsPageHasEachAlarmAndErrorKind(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, promise := range alarm.Promises() {
		names = append(names, string(promise))
	}
	for _, kind := range fault.Kinds() {
		names = append(names, string(kind))
	}
	for _, name := range names {
		if !strings.Contains(string(page), "\n| `"+name+"` |") {
			t.Errorf("docs/OPERATIONS.md has no row for %s", name)
		}
	}
}
