package main

import (
	"fmt"
	"os"
	"regexp"
	"runtime"
	"runtime/debug"

	"github.com/hornbeamtide/hornbeamtide/daemon"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// settingsHeader tells settings from documents.
var settingsHeader = regexp.MustCompile(`(?m)^\s*\[(daemon|platform|peers|backends|weights|claims|log)\]`)

type checkCommand struct {
	*app
	output
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"settings or documents"`
	} `positional-args:"yes"`
}

// checkResult is what check prints about one file.
type checkResult struct {
	File   string `json:"file"`
	Kind   string `json:"kind"` // "settings" or "document"
	Name   string `json:"name"` // daemon or service
	Error  string `json:"error,omitempty"`
	Remedy string `json:"remedy,omitempty"`
}

// Execute implements flags.Commander. All files are checked before the first error
// is returned.
func (c *checkCommand) Execute([]string) error {
	results := make([]checkResult, 0, len(c.Args.Files))
	faulty := 0
	for _, file := range c.Args.Files {
		result := checkFile(file)
		if result.Error != "" {
			faulty++
		}
		results = append(results, result)
	}
	if err := c.print(results); err != nil {
		return err
	}
	if faulty > 0 {
		return fault.New(fault.Invalid, fmt.Sprintf("%d of %d files are refused", faulty, len(results)), "correct them and check again")
	}
	return nil
}

func (c *checkCommand) print(results []checkResult) error {
	if c.JSON {
		return c.printJSON(results)
	}
	for _, result := range results {
		if result.Error != "" {
			fmt.Fprintln(c.stdout, result.Error)
			continue
		}
		fmt.Fprintf(c.stdout, "%s: %s of %s: ok\n", result.File, result.Kind, result.Name)
	}
	return nil
}

func checkFile(file string) checkResult {
	result := checkResult{File: file, Kind: "document"}
	source, err := os.ReadFile(file)
	if err != nil {
		err = fault.Wrap(err, fault.Invalid, "the file can't be read", "name an existing file")
		return result.failed(err)
	}
	if settingsHeader.Match(source) {
		result.Kind = "settings"
		settings, err := daemon.ParseSettings(file, source)
		result.Name = settings.Daemon.ID
		return result.failed(err)
	}
	parsed, err := document.Parse(file, source)
	if err == nil {
		result.Name = parsed.Service
	}
	return result.failed(err)
}

func (r checkResult) failed(err error) checkResult {
	if err != nil {
		r.Error, r.Remedy = err.Error(), fault.RemedyOf(err)
	}
	return r
}

// Version is the release that this program belongs to.
const Version = "0.1.0"

type versionCommand struct {
	*app
	output
}

// versionInfo is what version prints.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"` // of the source, empty when unknown
	Go       string `json:"go"`
}

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	info := versionInfo{Version: Version, Revision: sourceRevision(), Go: runtime.Version()}
	if c.JSON {
		return c.printJSON(info)
	}
	fmt.Fprintf(c.stdout, "hornbeamtide %s %s %s\n", info.Version, info.Revision, info.Go)
	return nil
}

func sourceRevision() string {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}
