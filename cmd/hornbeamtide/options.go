package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Exit codes.
const (
	exitOK       = 0 // done
	exitFailure  = 1 // failed: no answer, refused, or requests cut at a stop
	exitUsage    = 2 // wrong command line, settings or document
	exitConflict = 3 // another operator changed the document first
	exitAborted  = 4 // a second signal ended the daemon at once
)

const description = `The rollout service: daemon and operator's tool.

Exit codes: 0 done; 1 failed; 2 wrong command line, settings or document;
3 another operator changed the document first; 4 ended at once by a second signal.`

// app holds what all commands share.
type app struct {
	stdout io.Writer
	stderr io.Writer
}

// remote are the options of commands that talk to a daemon.
type remote struct {
	*app
	Address string `short:"a" long:"address" env:"HORNBEAMTIDE_ADDRESS" default:"127.0.0.1:8080" value-name:"HOST:PORT" description:"HTTP address of any daemon"`
}

// output are the options of commands that print for people or programs.
type output struct {
	JSON bool `long:"json" description:"print JSON"`
}

// run executes one command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	parser, err := newParser(&app{stdout: stdout, stderr: stderr})
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	if err == nil {
		return exitOK
	}
	return report(err, stdout, stderr)
}

type commandEntry struct {
	name, short, long string
	data              any
}

func newParser(a *app) (*flags.Parser, error) {
	parser := flags.NewNamedParser("hornbeamtide", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	for _, entry := range commands(a) {
		if _, err := parser.AddCommand(entry.name, entry.short, entry.long, entry.data); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

func commands(a *app) []commandEntry {
	r := remote{app: a}
	return []commandEntry{
		{"serve", "Run a daemon", "Runs a daemon until SIGTERM or SIGINT, then drains it. A second signal ends it at once.", &serveCommand{app: a}},
		{"edge", "Run a daemon on the platform", "Serves callers and trainers on the users' platform until SIGTERM or SIGINT, then stops within stop_time.", &edgeCommand{app: a}},
		{"standby", "Run beside a data disk", "The process of instances with a data disk; it keeps nothing there.", &standbyCommand{app: a}},
		{"check", "Check files", "Checks settings and documents without starting anything.", &checkCommand{app: a}},
		{"apply", "Change a document", "Writes a document if nobody changed it since it was read.", &applyCommand{remote: r}},
		{"get", "Print a document", "Prints a service's document with its version in the first line, or lists all documents.", &getCommand{remote: r}},
		{"status", "Show what is in force", "Shows daemons, where each document is in force, and alarms.", &statusCommand{remote: r}},
		{"alarms", "Show alarms", "Shows the raised alarms of all daemons with evidence and remedy.", &alarmsCommand{remote: r}},
		{"dump", "Show a daemon's state", "Prints the state of every module of one daemon as JSON.", &dumpCommand{remote: r}},
		{"trace", "Tell what happened to a request", "Tells the story of one request, item or batch from the logs of several daemons.", &traceCommand{app: a}},
		{"version", "Show the version", "Shows the version of this program.", &versionCommand{app: a}},
	}
}

// report prints err and returns its exit code.
func report(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, usage.Message)
			return exitOK
		}
		fmt.Fprintf(stderr, "hornbeamtide: %s\n", usage.Message)
		return exitUsage
	}
	fmt.Fprintf(stderr, "hornbeamtide: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Unrecognized, fault.Unsupported:
		return exitUsage
	case fault.Conflict:
		return exitConflict
	}
	return exitFailure
}
