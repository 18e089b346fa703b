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

// statusInterval is the time between two status requests of waitInForce.
const statusInterval = 100 * time.Millisecond

// versionLine matches the version line that get prints before a document. apply reads the
// base version from it.
var versionLine = regexp.MustCompile(`^; version (\d{1,18})\r?\n`)

type applyCommand struct {
	remoteOptions
	outputOptions
	Version *int64        `long:"version" value-name:"N" description:"version that the change is based on; default: N of the file's first line '; version N', otherwise 0 for a new document"`
	Wait    time.Duration `long:"wait" value-name:"DURATION" default:"10s" description:"maximum time to wait until the document is in force on all daemons; 0s to return without waiting"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"document file"`
	} `positional-args:"yes"`
}

// applyResult is the output of apply about an accepted document.
type applyResult struct {
	Service string   `json:"service"`
	Version int64    `json:"version"`
	InForce []string `json:"in_force"` // daemon IDs; null if apply did not wait
	Lagging []string `json:"behind"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	source, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the document file can't be read", "give the name of an existing file")
	}
	parsed, err := document.Parse(c.Args.File, source)
	if err != nil {
		return err
	}
	base := c.baseVersion(source)
	text := string(versionLine.ReplaceAll(source, nil))
	version, err := c.put(parsed.Service, text, base)
	if fault.Is(err, fault.Conflict) {
		return c.reportConflict(parsed.Service, text, base, err)
	}
	if err != nil {
		return err
	}
	return c.waitAndPrint(applyResult{Service: parsed.Service, Version: version})
}

// baseVersion returns the version that the change is based on: the --version flag, the
// version line of the file, or 0 for a new document.
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

// put writes the document and returns its new version. If the response is lost, put reads
// the document back to find out whether the write succeeded.
func (c *applyCommand) put(service, text string, base int64) (int64, error) {
	path := "/v1/documents/" + service
	response, err := c.call(http.MethodPut, path, text, http.Header{"If-Match": {strconv.FormatInt(base, 10)}})
	if err == nil {
		return response.version, nil
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

// waitAndPrint waits until the document is in force on all daemons and prints the result.
// It returns a fault.Deadline error if the wait times out.
func (c *applyCommand) waitAndPrint(result applyResult) error {
	if !c.JSON {
		fmt.Fprintf(c.stdout, "%s: version %d accepted\n", result.Service, result.Version)
	}
	begin := time.Now()
	if c.Wait > 0 {
		result.InForce, result.Lagging = c.waitInForce(result.Service, result.Version)
	}
	if c.JSON {
		if err := c.printJSON(result); err != nil {
			return err
		}
	} else if len(result.InForce) > 0 && len(result.Lagging) == 0 {
		fmt.Fprintf(c.stdout, "in force on %d daemons after %.1fs\n", len(result.InForce), time.Since(begin).Seconds())
	}
	if c.Wait > 0 && (len(result.Lagging) > 0 || len(result.InForce) == 0) {
		message := fmt.Sprintf("version %d was accepted but is not in force on %s after %v",
			result.Version, describeDaemons(result.Lagging), c.Wait)
		return fault.New(fault.Deadline, message, "check hornbeamtide status; do not apply the document again")
	}
	return nil
}

func describeDaemons(lagging []string) string {
	if len(lagging) == 0 {
		return "any known daemon"
	}
	return strings.Join(lagging, ", ")
}

// waitInForce polls until the version is in force on all daemons or the wait times out. It
// returns the daemons on which it is in force and those that lag.
func (c *applyCommand) waitInForce(service string, version int64) (inForce, lagging []string) {
	for deadline := time.Now().Add(c.Wait); ; time.Sleep(statusInterval) {
		var status daemon.Status
		if err := c.getJSON("/v1/status?alarms=own", &status); err == nil {
			inForce, lagging = findDaemons(status.Documents, service, version)
		}
		if len(inForce) > 0 && len(lagging) == 0 || time.Now().After(deadline) {
			return inForce, lagging
		}
	}
}

// findDaemons returns the daemons on which the service's document is in force, and those that
// lag. Both are nil if the status does not yet list version or a newer one.
func findDaemons(services []fleet.ServiceStatus, service string, version int64) (inForce, lagging []string) {
	for _, s := range services {
		if s.Service != service || s.Version < version {
			continue
		}
		lagging = []string{}
		for _, l := range s.Lagging {
			lagging = append(lagging, l.Member)
		}
		return s.InForce, lagging
	}
	return nil, nil
}

// conflictReport is the output of apply --json about a conflict.
type conflictReport struct {
	Service        string `json:"service"`
	BaseVersion    int64  `json:"base_version"`
	CurrentVersion int64  `json:"current_version"`
	CurrentText    string `json:"current_text"`
	Remedy         string `json:"remedy"`
}

// reportConflict prints the difference between the change and the document that another
// operator wrote in the meantime.
func (c *applyCommand) reportConflict(service, text string, base int64, cause error) error {
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
	fmt.Fprintf(c.stdout, "--- %s, version %d, on the platform\n+++ %s, based on version %d\n", service, current.version, c.Args.File, base)
	for _, line := range diffLines(string(current.body), text) {
		fmt.Fprintln(c.stdout, line)
	}
	return cause
}
