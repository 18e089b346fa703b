package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeweights"
	"github.com/hornbeamtide/hornbeamtide/standin/local"
)

var update = flag.Bool("update", false, "update the golden files")

// testLocation is the region and failure domain of the daemons in tests.
var testLocation = local.Location{Region: "pk-south", FailureDomain: "khi-a"}

// firstVersion is larger than any other number in a session's output, so that nameVersions
// can recognise object versions.
const firstVersion = 7000

// session records commands and their output.
type session struct {
	t       *testing.T
	system  *local.System
	folder  string
	log     strings.Builder
	address string
}

func newSession(t *testing.T, daemons int) *session {
	t.Helper()
	system, err := local.New(fakeweights.Config{}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(system.Close)
	for i := range firstVersion {
		system.Platform.Put("test/counter", []byte(strconv.Itoa(i)))
	}
	for i := range daemons {
		if _, err := system.StartDaemon(fmt.Sprintf("d%d", i+1), testLocation, ""); err != nil {
			t.Fatal(err)
		}
	}
	if err := system.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return &session{t: t, system: system, folder: t.TempDir(), address: system.Daemons[0].Address()}
}

// runCommand runs a command line, records it with its output and returns its stdout.
func (s *session) runCommand(args ...string) string {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	code := run(args, &stdout, &stderr)
	fmt.Fprintf(&s.log, "$ hornbeamtide %s\n%s%s", strings.Join(args, " "), stdout.String(), stderr.String())
	if code != exitOK {
		fmt.Fprintf(&s.log, "[exit code %d]\n", code)
	}
	s.log.WriteString("\n")
	return stdout.String()
}

func (s *session) note(text string) { s.log.WriteString("# " + text + "\n") }

func (s *session) write(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *session) read(path string) string {
	s.t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(content)
}

// normalise replaces the parts of the record that differ between runs.
func (s *session) normalise() string {
	text := strings.ReplaceAll(s.log.String(), s.folder+"/", "")
	for _, replacement := range []struct{ pattern, with string }{
		{`127\.0\.0\.1:\d+`, "ADDRESS"},
		{`after \d+\.\ds`, "after TIME"},
		{`\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d(\.\d+)?Z?`, "TIME"},
		{`\b\d\d:\d\d:\d\d\b`, "TIME"},
		{`hornbeamtide (\S+) \S* go\S+`, "hornbeamtide $1 REVISION GO"},
	} {
		text = regexp.MustCompile(replacement.pattern).ReplaceAllString(text, replacement.with)
	}
	return nameVersions(text)
}

// nameVersions replaces object versions with V1, V2, … in order of first appearance.
func nameVersions(text string) string {
	names := map[string]string{}
	return regexp.MustCompile(`\b\d{4,}\b`).ReplaceAllStringFunc(text, func(number string) string {
		if n, err := strconv.Atoi(number); err != nil || n < firstVersion {
			return number
		}
		if names[number] == "" {
			names[number] = fmt.Sprintf("V%d", len(names)+1)
		}
		return names[number]
	})
}

func (s *session) compare(name string) {
	s.t.Helper()
	path, got := filepath.Join("testdata", name), s.normalise()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			s.t.Fatal(err)
		}
		return
	}
	if want := s.read(path); got != want {
		for _, line := range diffLines(want, got) {
			s.t.Log(line)
		}
		s.t.Errorf("the session differs from %s; if the difference is intended, run the test with -update", path)
	}
}

func TestSessionOfOperator(t *testing.T) {
	t.Parallel()
	s := newSession(t, 2)
	addressFlag := "--address=" + s.address
	s.runCommand("version")
	s.runCommand("check", "testdata/desk.ini", "testdata/faulty.ini")
	s.runCommand("get", addressFlag)
	s.runCommand("apply", addressFlag, "testdata/desk.ini")
	s.runCommand("get", addressFlag)
	text := s.runCommand("get", addressFlag, "ledgerdesk")
	s.note("the operator changes the deadline in an editor")
	changed := s.write("changed.ini", strings.Replace(text, "deadline = 5s", "deadline = 4s", 1))
	s.runCommand("apply", addressFlag, "--json", changed)
	s.runCommand("status", addressFlag)
	s.runCommand("status", addressFlag, "--json")
	s.runCommand("alarms", addressFlag)
	s.runCommand("dump", addressFlag, "--module", "router")
	s.runCommand("get", addressFlag, "orders-app")
	s.compare("operator.golden")
}

func TestSessionOfConcurrentOperators(t *testing.T) {
	t.Parallel()
	s := newSession(t, 2)
	first, second := "--address="+s.address, "--address="+s.system.Daemons[1].Address()
	s.runCommand("apply", first, "testdata/desk.ini")
	mine := s.runCommand("get", first, "ledgerdesk")
	theirs := s.runCommand("get", second, "ledgerdesk")
	s.note("both operators edit the same version")
	s.runCommand("apply", first, s.write("mine.ini", strings.Replace(mine, "deadline = 5s", "deadline = 4s", 1)))
	late := s.write("theirs.ini", strings.Replace(theirs, "POST /billing", "POST /billing, POST /audit", 1))
	s.runCommand("apply", second, late)
	s.runCommand("apply", second, "--json", late)
	s.note("the second operator repeats the change on the current document")
	current := s.runCommand("get", second, "ledgerdesk")
	s.runCommand("apply", second, s.write("merged.ini", strings.Replace(current, "POST /billing", "POST /billing, POST /audit", 1)))
	s.note("apply without a base version: the document exists")
	s.runCommand("apply", first, "testdata/desk.ini")
	s.compare("conflict.golden")
}

func TestSessionDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	s := newSession(t, 1)
	addressFlag := "--address=" + s.address
	s.runCommand("apply", addressFlag, "testdata/desk.ini")
	text := s.runCommand("get", addressFlag, "ledgerdesk")
	s.system.Platform.SetFaults(fakeplatform.Faults{Outage: true})
	s.note("the platform is down: the document stays in force and changes are rejected")
	s.runCommand("get", addressFlag, "ledgerdesk")
	s.runCommand("apply", addressFlag, s.write("changed.ini", strings.Replace(text, "deadline = 5s", "deadline = 4s", 1)))
	s.runCommand("alarms", addressFlag)
	s.system.Platform.SetFaults(fakeplatform.Faults{LoseResponses: 1})
	s.note("the platform is up again and loses the response to the next write")
	s.runCommand("apply", addressFlag, filepath.Join(s.folder, "changed.ini"))
	s.compare("outage.golden")
}

func TestAlarmsCommandPrintsEvidenceAndRemedy(t *testing.T) {
	t.Parallel()
	s := newSession(t, 2)
	addressFlag := "--address=" + s.address
	s.runCommand("alarms", addressFlag)
	s.system.Daemons[1].Recorder().Broken(alarm.AtMostOnce, alarm.Evidence{Service: "ledgerdesk", Subject: "key-17", Detail: "ran on desk-1 and on desk-2"})
	s.runCommand("alarms", addressFlag)
	s.runCommand("alarms", addressFlag, "--json")
	s.compare("alarms.golden")
}
