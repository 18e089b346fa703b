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

// settingsHeader matches section headers that occur in settings but not in documents.
var settingsHeader = regexp.MustCompile(`(?m)^\s*\[(daemon|platform|peers|backends|weights|claims|log)\]`)

type checkCommand struct {
	*app
	outputOptions
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"settings file or document file"`
	} `positional-args:"yes"`
}

// checkResult is the output of check about one file.
type checkResult struct {
	File   string `json:"file"`
	Kind   string `json:"kind"` // "settings" or "document"
	Name   string `json:"name"` // daemon ID or service
	Error  string `json:"error,omitempty"`
	Remedy string `json:"remedy,omitempty"`
}

// Execute implements flags.Commander. It checks all files before it returns an error.
func (c *checkCommand) Execute([]string) error {
	results := make([]checkResult, 0, len(c.Args.Files))
	invalid := 0
	for _, file := range c.Args.Files {
		result := checkFile(file)
		if result.Error != "" {
			invalid++
		}
		results = append(results, result)
	}
	if err := c.print(results); err != nil {
		return err
	}
	if invalid > 0 {
		return fault.New(fault.Invalid, fmt.Sprintf("%d of %d files are invalid", invalid, len(results)), "correct them and check again")
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
		err = fault.Wrap(err, fault.Invalid, "the file can't be read", "give the name of an existing file")
		return result.withError(err)
	}
	if settingsHeader.Match(source) {
		result.Kind = "settings"
		settings, err := daemon.ParseSettings(file, source)
		result.Name = settings.Daemon.ID
		return result.withError(err)
	}
	parsed, err := document.Parse(file, source)
	if err == nil {
		result.Name = parsed.Service
	}
	return result.withError(err)
}

func (r checkResult) withError(err error) checkResult {
	if err != nil {
		r.Error, r.Remedy = err.Error(), fault.RemedyOf(err)
	}
	return r
}

// Version is the release version of this program.
const Version = "0.1.0"

type versionCommand struct {
	*app
	outputOptions
}

// versionInfo is the output of version.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"` // source revision; empty if unknown
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
