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
	exitOK       = 0 // success
	exitFailure  = 1 // no response, request rejected, or requests cut off at a stop
	exitUsage    = 2 // invalid command line, settings or document
	exitConflict = 3 // another operator changed the document in the meantime
	exitAborted  = 4 // the daemon exited immediately on a second signal
)

const description = `Rollout service for reinforcement learning: daemon and operator commands.

Exit codes: 0 done; 1 failed; 2 invalid command line, settings or document;
3 another operator changed the document in the meantime;
4 exited immediately on a second signal.`

// app holds the output streams of all commands.
type app struct {
	stdout io.Writer
	stderr io.Writer
}

// remoteOptions holds the options of commands that call a daemon.
type remoteOptions struct {
	*app
	Address string `short:"a" long:"address" env:"HORNBEAMTIDE_ADDRESS" default:"127.0.0.1:8080" value-name:"HOST:PORT" description:"HTTP address of any daemon"`
}

// outputOptions holds the options of commands that print either text or JSON.
type outputOptions struct {
	JSON bool `long:"json" description:"print the output as JSON"`
}

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	parser, err := newParser(&app{stdout: stdout, stderr: stderr})
	if err == nil {
		_, err = parser.ParseArgs(args)
	}
	if err == nil {
		return exitOK
	}
	return printError(err, stdout, stderr)
}

type commandEntry struct {
	name, short, long string
	command           any
}

func newParser(a *app) (*flags.Parser, error) {
	parser := flags.NewNamedParser("hornbeamtide", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	for _, entry := range commands(a) {
		if _, err := parser.AddCommand(entry.name, entry.short, entry.long, entry.command); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

func commands(a *app) []commandEntry {
	r := remoteOptions{app: a}
	return []commandEntry{
		{"serve", "Run a daemon", "Runs a daemon until SIGTERM or SIGINT, then drains it. On a second signal the daemon exits immediately.", &serveCommand{app: a}},
		{"edge", "Run a daemon on the platform", "Runs a daemon that serves callers and trainers on the platform until SIGTERM or SIGINT, then stops within stop_time.", &edgeCommand{app: a}},
		{"standby", "Run on an instance with a data disk", "Runs the process that the platform starts on instances with a data disk. It stores nothing on the disk.", &standbyCommand{app: a}},
		{"check", "Check settings and documents", "Checks settings and document files without starting or changing anything.", &checkCommand{app: a}},
		{"apply", "Change a document", "Writes a document unless another operator changed it since it was read.", &applyCommand{remoteOptions: r}},
		{"get", "Print a document", "Prints the document of a service with its version in the first line. Without a service, lists all documents.", &getCommand{remoteOptions: r}},
		{"status", "Show daemons, documents and alarms", "Shows the state of a daemon, the daemons on which each document is in force, and the alarms of all daemons.", &statusCommand{remoteOptions: r}},
		{"alarms", "Show alarms", "Shows the active alarms of all daemons with their evidence and remedy.", &alarmsCommand{remoteOptions: r}},
		{"dump", "Show a daemon's state", "Prints the state of all modules of a daemon as JSON.", &dumpCommand{remoteOptions: r}},
		{"trace", "Trace a request", "Prints the history of a request, item or batch from the logs of one or more daemons.", &traceCommand{app: a}},
		{"version", "Show the version", "Shows the version, source revision and Go version of this program.", &versionCommand{app: a}},
	}
}

// printError prints err, or the requested help text, and returns the exit code.
func printError(err error, stdout, stderr io.Writer) int {
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
