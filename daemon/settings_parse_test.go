package daemon

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/docpage"
)

const requiredSettings = `[daemon]
id = d1
http_address = 127.0.0.1:8080
peer_address = 127.0.0.1:8090
region = pk-south
failure_domain = khi-a
[platform]
address = 127.0.0.1:7000
weight_address = 127.0.0.1:7001
`

func TestFaultySettingsAreRefusedWithLineAndRemedy(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(requiredSettings, old, with, 1) }
	table := []struct {
		name, text string
		kind       fault.Kind
		want       string // in the message
		remedy     string // in the remedy
	}{
		{"empty", "", fault.Invalid, `s.ini:1: required key "id"`, "add id"},
		{"unknown section", requiredSettings + "[gossip]\n", fault.Unrecognized, "s.ini:10: unknown section [gossip]", "daemon, platform"},
		{"unknown key", requiredSettings + "[peers]\nretry = 1\n", fault.Unrecognized, `s.ini:11: unknown key "retry"`, "member_timeout"},
		{"missing id", replace("id = d1\n", ""), fault.Invalid, `s.ini:1: required key "id"`, "add id"},
		{"missing platform", replace("address = 127.0.0.1:7000\n", ""), fault.Invalid, `s.ini:7: required key "address"`, "add address"},
		{"empty address", replace("127.0.0.1:8080", ""), fault.Invalid, "s.ini:3: http_address", "IP:port"},
		{"host name", replace("127.0.0.1:8080", "localhost:8080"), fault.Invalid, "s.ini:3: http_address", "IP:port"},
		{"no port", replace("127.0.0.1:8080", "127.0.0.1"), fault.Invalid, "s.ini:3: http_address", "IP:port"},
		{"port out of range", replace("127.0.0.1:8080", "127.0.0.1:65536"), fault.Invalid, "s.ini:3: http_address", "0 to 65535"},
		{"port name", replace("127.0.0.1:8080", "127.0.0.1:http"), fault.Invalid, "s.ini:3: http_address", "0 to 65535"},
		{"unknown policy", requiredSettings + "[backends]\npolicy = fastest\n", fault.Invalid, "s.ini:11: policy", "least_load"},
		{"load bound too small", requiredSettings + "[backends]\nload_bound = 0.5\n", fault.Invalid, "s.ini:11: load_bound", "1 to 100"},
		{"load bound not a number", requiredSettings + "[backends]\nload_bound = NaN\n", fault.Invalid, "s.ini:11: load_bound", "1 to 100"},
		{"zero interval", requiredSettings + "[peers]\nreport_interval = 0s\n", fault.Invalid, "s.ini:11: report_interval", "1ms to 24h"},
		{"level", requiredSettings + "[log]\nlevel = all\n", fault.Invalid, "s.ini:11: level", "error, warn, info, debug"},
		{"switch", requiredSettings + "[rollout]\nhedging = on\n", fault.Invalid, "s.ini:11: hedging", "yes or no"},
		{"data folder", replace("id = d1\n", "id = d1\ndata_folder = nowhere/at/all\n"), fault.Invalid, "s.ini:3: data_folder", "create the folder"},
		{"duplicate key", replace("id = d1\n", "id = d1\nid = d2\n"), fault.Invalid, `s.ini:3: key "id" is already defined in line 2`, "remove"},
		{"argument", requiredSettings + "[log \"x\"]\n", fault.Unrecognized, "s.ini:10: unknown section", "log"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			s, err := ParseSettings("s.ini", []byte(row.text))
			if err == nil || s != (Settings{}) {
				t.Fatalf("accepted: %+v", s)
			}
			if fault.KindOf(err) != row.kind || !strings.Contains(err.Error(), row.want) {
				t.Errorf("kind %v, message %q; want %v, %q", fault.KindOf(err), err, row.kind, row.want)
			}
			if remedy := fault.RemedyOf(err); !strings.Contains(remedy, row.remedy) {
				t.Errorf("remedy %q, want %q in it", remedy, row.remedy)
			}
		})
	}
}

func TestUnreadableSettingsFileNamesRemedy(t *testing.T) {
	_, err := LoadSettings(filepath.Join(t.TempDir(), "none.ini"))
	if !fault.Is(err, fault.Invalid) || fault.RemedyOf(err) == "" {
		t.Errorf("error %v", err)
	}
}

var positionPattern = regexp.MustCompile(`^s\.ini:\d+: `)

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(requiredSettings))
	f.Add([]byte(requiredSettings + "[log]\nlevel = debug ; all\nformat=json\n[rollout]\nhedging = no\n"))
	f.Add([]byte("[daemon]\nhttp_address = [::1]:0\nid=\n"))
	page, err := os.ReadFile("../docs/API.md")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(page)
	f.Fuzz(func(t *testing.T, source []byte) {
		_, err := ParseSettings("s.ini", source)
		if err == nil {
			return
		}
		if !positionPattern.MatchString(err.Error()) || fault.RemedyOf(err) == "" || fault.KindOf(err) == fault.Internal {
			t.Errorf("error %q of kind %v without position or remedy", err, fault.KindOf(err))
		}
	})
}

var updateFlag = flag.Bool("update", false, "write the generated part of pages and the golden files")

func TestSettingsPageEqualsSchema(t *testing.T) {
	var want strings.Builder
	for _, section := range SettingsSchemas() {
		want.WriteString(section.Markdown())
	}
	if got := docpage.GeneratedPart(t, "../docs/SETTINGS.md", want.String(), *updateFlag); got != want.String() {
		t.Errorf("docs/SETTINGS.md differs from the schema; run go test ./daemon -run SettingsPage -update\ngot:\n%s\nwant:\n%s", got, want.String())
	}
}
