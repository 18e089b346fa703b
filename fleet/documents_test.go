package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// testParse takes the first word of the text as the service name; "broken" in the
// text is refused.
func testParse(_ string, source []byte) (*document.Document, error) {
	fields := strings.Fields(string(source))
	if len(fields) == 0 || strings.Contains(string(source), "broken") {
		return nil, fault.New(fault.Invalid, "line 1: no service", "name the service")
	}
	return &document.Document{Service: fields[0], Region: "r"}, nil
}

func TestDocumentThatCannotBeReadKeepsTheOlderOneAndIsPassedOn(t *testing.T) {
	d := newDocumentSet(testParse, nil)
	d.offer(revision{Service: "a", Version: 3, Source: []byte("a good")})
	d.offerAll([]revision{{Service: "a", Version: 5, Source: []byte("a broken")}}, 5)
	if got := d.entries["a"].inForce.Version; got != 3 {
		t.Errorf("in force is version %d, want 3", got)
	}
	if behind := d.exceptions(); behind["a"] != 3 || len(behind) != 1 {
		t.Errorf("behind %v, want a at 3", behind)
	}
	if passed := d.changes(4); len(passed) != 1 || passed[0].Version != 5 {
		t.Errorf("passed on %v, want version 5", passed)
	}
	if got := d.completeTo(); got != 5 {
		t.Errorf("complete up to %d, want 5", got)
	}
	if got := d.head(); got != 5 {
		t.Errorf("head %d, want 5", got)
	}
}

func TestWholeSetDeletesWhatItLacks(t *testing.T) {
	d := newDocumentSet(testParse, nil)
	d.offer(revision{Service: "a", Version: 3, Source: []byte("a")})
	d.offer(revision{Service: "b", Version: 9, Source: []byte("b")})
	d.offerWhole([]string{}, nil, 7, time.Time{})
	if names, asOf := d.whole(); asOf != 7 || len(names) != 1 || names[0] != "b" {
		t.Errorf("left %v as of %d, want only b, which is newer than the whole set", names, asOf)
	}
	if got := d.entries["a"].versionAt(6); got != 3 {
		t.Errorf("a was at version %d before its deletion, want 3", got)
	}
}
