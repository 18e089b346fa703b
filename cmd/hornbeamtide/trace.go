package main

import (
	"io"
	"os"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/trace"
)

// traceCommand prints the history of a request, item or batch from the logs of daemons.
type traceCommand struct {
	*app
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"yes" description:"ID of a request, item or batch"`
		Files []string `positional-arg-name:"FILE" description:"JSON logs of daemons, one or more daemons per file; default: standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	var entries []trace.Entry
	if len(c.Args.Files) == 0 {
		read, err := trace.Read(os.Stdin)
		if err != nil {
			return err
		}
		entries = read
	}
	for _, name := range c.Args.Files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		entries = append(entries, read...)
	}
	timeline := trace.BuildTimeline(c.Args.ID, entries)
	if len(timeline.Lines) == 0 {
		return fault.New(fault.NotFound, "no log entry names "+c.Args.ID, "check the ID, and give the logs of all daemons")
	}
	return timeline.Print(c.stdout)
}

func readLog(name string) ([]trace.Entry, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the log can't be opened", "give the name of an existing file")
	}
	defer f.Close()
	return trace.Read(io.Reader(f))
}
