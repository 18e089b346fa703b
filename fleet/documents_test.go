package fleet

import (
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

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

// step is one event that a documentSet may see: offers of a version of one of three
// services, of its deletion, or of a whole set.
type step struct {
	service string
	version int64
	deleted bool
	whole   bool
}

func genStep() gopter.Gen {
	return gen.Struct(reflectStep, map[string]gopter.Gen{
		"Service": gen.IntRange(0, 2), "Version": gen.Int64Range(1, 40),
		"Deleted": gen.Weighted([]gen.WeightedGen{{Weight: 4, Gen: gen.Const(false)}, {Weight: 1, Gen: gen.Const(true)}}),
		"Whole":   gen.Bool(),
	})
}

func (s step) apply(d *documentSet) {
	r := revision{Service: s.service, Version: s.version, Deleted: s.deleted, Source: []byte(s.service + " " + strconv.FormatInt(s.version, 10))}
	if s.whole && !s.deleted {
		d.offerWhole([]string{s.service}, []revision{r}, s.version, time.Time{})
		return
	}
	d.offer(r)
}

func TestDocumentInForceNeverReverts(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("versions grow and the highest offered one is in force", prop.ForAll(
		func(raw []rawStep) bool {
			d := newDocumentSet(testParse, nil)
			highest, last := map[string]int64{}, map[string]int64{}
			for _, r := range raw {
				s := r.step()
				s.apply(d)
				highest[s.service] = max(highest[s.service], s.version)
				for service, e := range d.entries {
					if e.inForce.Version < last[service] {
						return false
					}
					last[service] = e.inForce.Version
				}
			}
			for service, version := range highest {
				if d.entries[service].inForce.Version < version {
					return false
				}
			}
			return true
		}, gen.SliceOf(genStep()),
	))
	properties.TestingRun(t)
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

// rawStep is a generated step.
type rawStep struct {
	Service int
	Version int64
	Deleted bool
	Whole   bool
}

var reflectStep = reflect.TypeOf(rawStep{})

func (r rawStep) step() step {
	return step{service: string(rune('a' + r.Service)), version: r.Version, deleted: r.Deleted, whole: r.Whole}
}
