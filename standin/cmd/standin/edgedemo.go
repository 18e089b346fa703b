package main

import (
	"os"

	"github.com/hornbeamtide/hornbeamtide/standin/edgedemo"
)

type edgeDemoCommand struct {
	programOptions
	Steps  int `long:"steps" description:"steps of the trainer" default:"4"`
	Groups int `long:"groups" description:"groups of a step, of four samples each" default:"8"`
}

// Execute implements flags.Commander.
func (c *edgeDemoCommand) Execute([]string) error {
	daemon, _, err := c.programs()
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	return edgedemo.Run(ctx, edgedemo.Options{Daemon: daemon, Steps: c.Steps, Groups: c.Groups, Out: os.Stdout})
}
