package document

import (
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

const plainService = `[service]
name = ledgerdesk
team = karachi
region = pk-south
kind = plain
pool = ledgerdesk
`

func TestInvalidDocumentsAreRejectedWithLineAndRemedy(t *testing.T) {
	model := strings.Replace(plainService, "plain", "model", 1)
	table := []struct {
		name, text string
		kind       fault.Kind
		want       string // in the message
		remedy     string // in the remedy
	}{
		{"empty text", "", fault.Invalid, "f.ini:1: required key \"name\"", "add name"},
		{"unknown section", plainService + "[limits]\n", fault.Unrecognized, "f.ini:7: unknown section [limits]", "team"},
		{"unknown key", plainService + "[retry]\ntries = 2\n", fault.Unrecognized, "f.ini:8: unknown key \"tries\"", "attempts, budget"},
		{"unknown value", strings.Replace(plainService, "plain", "grpc", 1), fault.Invalid, "f.ini:5: kind: unknown value", "model, plain"},
		{"missing key", strings.Replace(plainService, "pool = ledgerdesk\n", "", 1), fault.Invalid, "f.ini:1: required key \"pool\"", "add pool"},
		{"duplicate section", plainService + "[retry]\n[retry]\n", fault.Invalid, "f.ini:8: section [retry] is already defined in line 7", "merge"},
		{"duplicate key", plainService + "team = audit\n", fault.Invalid, "f.ini:7: key \"team\" is already defined in line 3", "remove"},
		{"duplicate team", plainService + "[team \"a\"]\n[team \"a\"]\n", fault.Invalid, "f.ini:8: section", "merge"},
		{"team without name", plainService + "[team]\n", fault.Invalid, "f.ini:7: \"\" is not a valid team name", "[team \"name\"]"},
		{"section with an argument", plainService + "[retry \"x\"]\n", fault.Unrecognized, "f.ini:7: unknown section", "retry"},
		{"number out of range", plainService + "[retry]\nattempts = 0\n", fault.Invalid, "f.ini:8: attempts: 0 is out of range", "1 to 10"},
		{"not a number", plainService + "[retry]\nattempts = two\n", fault.Invalid, "f.ini:8: attempts: \"two\" is not a whole number", "1 to 10"},
		{"duration without unit", plainService + "[requests]\ndeadline = 30\n", fault.Invalid, "f.ini:8: deadline: \"30\" is not a duration", "duration"},
		{"negative duration", plainService + "[servers]\nleave_bound = -1s\n", fault.Invalid, "f.ini:8: leave_bound: -1s is out of range", "0s to 5m"},
		{"bad match", plainService + "[requests]\nnon_idempotent = post /x\n", fault.Invalid, "f.ini:8: non_idempotent", "METHOD /path"},
		{"bad bool", plainService + "[servers]\nchecks_fencing = true\n", fault.Invalid, "f.ini:8: checks_fencing", "yes or no"},
		{"bad name", strings.Replace(plainService, "karachi", "Karachi Sunrays", 1), fault.Invalid, "f.ini:3: team", "a-z"},
		{"samples of a plain service", plainService + "[samples]\nhedges = 0\n", fault.Invalid, "f.ini:7: section [samples]", "kind = model"},
		{"hedges out of range", model + "[samples]\nhedges = 2\n", fault.Invalid, "f.ini:8: hedges", "0 to 1"},
		{"no section", "name = x\n", fault.Invalid, "f.ini:1: key \"name\" precedes the first section", "below a section"},
		{"no key", plainService + "hello\n", fault.Invalid, "f.ini:7: \"hello\" is neither", "key = value"},
		{"quoted value", plainService + "[requests]\nnon_idempotent = \"POST /x\"\n", fault.Invalid, "f.ini:8: the value", "without quotes"},
		{"several lines", plainService + "[requests]\nnon_idempotent = \"\"\"POST /x\n\"\"\"\n", fault.Invalid, "f.ini:8: quoting", "one line"},
		{"reference", plainService + "[requests]\nnon_idempotent = POST /%(x)s\n", fault.Invalid, "f.ini:8: quoting", "one line"},
		{"control character", plainService + "[requests]\ndeadline = 1\x00s\n", fault.Invalid, "f.ini:8: control", "UTF-8"},
		{"too long", strings.Repeat("; note\n", 60000), fault.Invalid, "f.ini:1: the text has", "keep it under"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			d, err := Parse("f.ini", []byte(row.text))
			if err == nil || d != nil {
				t.Fatalf("accepted: %+v", d)
			}
			if fault.KindOf(err) != row.kind || !strings.Contains(err.Error(), row.want) {
				t.Errorf("kind %v, message %q; want %v, %q", fault.KindOf(err), err, row.kind, row.want)
			}
			if remedy := fault.RemedyOf(err); !strings.Contains(remedy, row.remedy) {
				t.Errorf("remedy %q, want %q in it", remedy, row.remedy)
			}
			if fault.OutcomeOf(err) != fault.NotRun {
				t.Errorf("outcome %v", fault.OutcomeOf(err))
			}
		})
	}
}
