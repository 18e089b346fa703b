package daemon

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/alarm"
)

var (
	testNamePattern = regexp.MustCompile("`((?:Test|Fuzz)[A-Z][A-Za-z0-9_]*)`")
	testFuncPattern = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z][A-Za-z0-9_]*)\(`)
)

// testsOfWorkspace returns the names of all test and fuzz functions of the workspace.
func testsOfWorkspace(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range testFuncPattern.FindAllSubmatch(source, -1) {
			found[string(match[1])] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func TestPromisesPageNamesTestsThatExist(t *testing.T) {
	page, err := os.ReadFile("../docs/PROMISES.md")
	if err != nil {
		t.Fatal(err)
	}
	found := testsOfWorkspace(t)
	var missing []string
	for _, match := range testNamePattern.FindAllSubmatch(page, -1) {
		if name := string(match[1]); !found[name] {
			missing = append(missing, name)
		}
	}
	sort.Strings(missing)
	for _, name := range missing {
		t.Errorf("docs/PROMISES.md names %s, which does not exist", name)
	}
}

func TestPromisesPageHasARowForEachAlarm(t *testing.T) {
	page, err := os.ReadFile("../docs/PROMISES.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && testNamePattern.MatchString(line) {
			rows = append(rows, line)
		}
	}
	for _, promise := range alarm.Promises() {
		if promise == alarm.StepsInTime || promise == alarm.AnsweredInTime {
			continue // budgets, which are not among the nine promises
		}
		rowCount := 0
		for _, row := range rows {
			if strings.Contains(row, "| `"+string(promise)+"` |") {
				rowCount++
			}
		}
		if rowCount != 1 {
			t.Errorf("%d rows for promise %s with tests, want 1", rowCount, promise)
		}
	}
}
