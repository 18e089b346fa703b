package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// testParse uses the first word of the source as the service name and rejects a source that
// contains "broken".
func testParse(_ string, source []byte) (*document.Document, error) {
	fields := strings.Fields(string(source))
	if len(fields) == 0 || strings.Contains(string(source), "broken") {
		return nil, fault.New(fault.Invalid, "line 1: no service", "name the service")
	}
	return &document.Document{Service: fields[0], Region: "r"}, nil
}

func TestUnparsableDocumentKeepsOlderVersionAndIsForwarded(t *testing.T) {
	d := newDocumentSet(testParse, nil)
	d.apply(documentRevision{Service: "a", Version: 3, Source: []byte("a good")})
	d.applyAll([]documentRevision{{Service: "a", Version: 5, Source: []byte("a broken")}}, 5)
	if got := d.entries["a"].inForce.Version; got != 3 {
		t.Errorf("in force is version %d, want 3", got)
	}
	if exceptions := d.exceptions(); exceptions["a"] != 3 || len(exceptions) != 1 {
		t.Errorf("exceptions %v, want a at 3", exceptions)
	}
	if forwarded := d.changes(4); len(forwarded) != 1 || forwarded[0].Version != 5 {
		t.Errorf("forwarded %v, want version 5", forwarded)
	}
	if got := d.completeUpTo(); got != 5 {
		t.Errorf("complete up to %d, want 5", got)
	}
	if got := d.head(); got != 5 {
		t.Errorf("head %d, want 5", got)
	}
}

func TestCompleteSetDeletesMissingServices(t *testing.T) {
	d := newDocumentSet(testParse, nil)
	d.apply(documentRevision{Service: "a", Version: 3, Source: []byte("a")})
	d.apply(documentRevision{Service: "b", Version: 9, Source: []byte("b")})
	d.applyComplete([]string{}, nil, 7, time.Time{})
	if names, asOf := d.completeSet(); asOf != 7 || len(names) != 1 || names[0] != "b" {
		t.Errorf("services %v as of %d, want only b, which is newer than the complete set", names, asOf)
	}
	if got := d.entries["a"].versionAt(6); got != 3 {
		t.Errorf("a was at version %d before its deletion, want 3", got)
	}
}
