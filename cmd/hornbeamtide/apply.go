package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/daemon"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// statusInterval is the time between two looks at where a document is in force.
const statusInterval = 100 * time.Millisecond

// versionLine is the first line that get prints and apply reads.
var versionLine = regexp.MustCompile(`^; version (\d{1,18})\r?\n`)

type applyCommand struct {
	remote
	output
	Version *int64        `long:"version" value-name:"N" description:"version that was read; default: the file's first line '; version N', else 0 for a new document"`
	Wait    time.Duration `long:"wait" value-name:"DURATION" default:"10s" description:"wait until the document is in force on all daemons, 0s for not at all"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"document"`
	} `positional-args:"yes"`
}

// applied is what apply prints about a document that was accepted.
type applied struct {
	Service string   `json:"service"`
	Version int64    `json:"version"`
	InForce []string `json:"in_force"` // daemons; null when apply did not wait
	Behind  []string `json:"behind"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	source, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the document can't be read", "name an existing file")
	}
	parsed, err := document.Parse(c.Args.File, source)
	if err != nil {
		return err
	}
	base := c.baseVersion(source)
	text := string(versionLine.ReplaceAll(source, nil))
	version, err := c.put(parsed.Service, text, base)
	if fault.Is(err, fault.Conflict) {
		return c.conflict(parsed.Service, text, base, err)
	}
	if err != nil {
		return err
	}
	return c.finish(applied{Service: parsed.Service, Version: version})
}

// baseVersion returns the version that the change is based on.
func (c *applyCommand) baseVersion(source []byte) int64 {
	if c.Version != nil {
		return *c.Version
	}
	if m := versionLine.FindSubmatch(source); m != nil {
		version, _ := strconv.ParseInt(string(m[1]), 10, 64)
		return version
	}
	return 0
}

// put writes the document and returns its new version. A lost answer is settled by
// reading the document back.
func (c *applyCommand) put(service, text string, base int64) (int64, error) {
	path := "/v1/documents/" + service
	got, err := c.call(http.MethodPut, path, text, http.Header{"If-Match": {strconv.FormatInt(base, 10)}})
	if err == nil {
		return got.version, nil
	}
	if !fault.Is(err, fault.Unavailable) && !fault.Is(err, fault.Ambiguous) {
		return 0, err
	}
	current, readErr := c.call(http.MethodGet, path, "", nil)
	if readErr == nil && current.version > base && string(current.body) == text {
		return current.version, nil
	}
	return 0, err
}

// finish waits until the document is in force and prints the result.
func (c *applyCommand) finish(result applied) error {
	if !c.JSON {
		fmt.Fprintf(c.stdout, "%s: version %d accepted\n", result.Service, result.Version)
	}
	begin := time.Now()
	if c.Wait > 0 {
		result.InForce, result.Behind = c.waitInForce(result.Service, result.Version)
	}
	if c.JSON {
		if err := c.printJSON(result); err != nil {
			return err
		}
	} else if len(result.InForce) > 0 && len(result.Behind) == 0 {
		fmt.Fprintf(c.stdout, "in force on %d daemons after %.1fs\n", len(result.InForce), time.Since(begin).Seconds())
	}
	if c.Wait > 0 && (len(result.Behind) > 0 || len(result.InForce) == 0) {
		message := fmt.Sprintf("version %d was accepted, but is not in force on %s after %v",
			result.Version, describe(result.Behind), c.Wait)
		return fault.New(fault.Deadline, message, "look at status; do not apply it again")
	}
	return nil
}

func describe(behind []string) string {
	if len(behind) == 0 {
		return "any known daemon"
	}
	return strings.Join(behind, ", ")
}

// waitInForce returns the daemons that have the version in force, and those that
// have not when the wait ends.
func (c *applyCommand) waitInForce(service string, version int64) (inForce, behind []string) {
	for deadline := time.Now().Add(c.Wait); ; time.Sleep(statusInterval) {
		var status daemon.Status
		if err := c.getJSON("/v1/status?alarms=own", &status); err == nil {
			inForce, behind = places(status.Documents, service, version)
		}
		if len(inForce) > 0 && len(behind) == 0 || time.Now().After(deadline) {
			return inForce, behind
		}
	}
}

func places(services []fleet.ServiceStatus, service string, version int64) (inForce, behind []string) {
	for _, s := range services {
		if s.Service != service || s.Version < version {
			continue
		}
		behind = []string{}
		for _, b := range s.Behind {
			behind = append(behind, b.Member)
		}
		return s.InForce, behind
	}
	return nil, nil
}

// conflictReport is what apply --json prints about a conflict.
type conflictReport struct {
	Service        string `json:"service"`
	BaseVersion    int64  `json:"base_version"`
	CurrentVersion int64  `json:"current_version"`
	CurrentText    string `json:"current_text"`
	Remedy         string `json:"remedy"`
}

// conflict shows the change beside the document that another operator wrote first.
func (c *applyCommand) conflict(service, text string, base int64, cause error) error {
	current, err := c.call(http.MethodGet, "/v1/documents/"+service, "", nil)
	if err != nil {
		return cause
	}
	report := conflictReport{service, base, current.version, string(current.body), fault.RemedyOf(cause)}
	if c.JSON {
		if err := c.printJSON(report); err != nil {
			return err
		}
		return cause
	}
	fmt.Fprintf(c.stdout, "--- %s, version %d, in the platform\n+++ %s, made on version %d\n", service, current.version, c.Args.File, base)
	for _, line := range diffLines(string(current.body), text) {
		fmt.Fprintln(c.stdout, line)
	}
	return cause
}
