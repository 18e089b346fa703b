package main

import (
	"os"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/soak"
)

type soakCommand struct {
	programOptions
	Seed          uint64        `long:"seed" description:"decides the plan of faults; 0: from the clock"`
	FaultDuration time.Duration `long:"for" default:"30s" description:"how long faults come"`
	Daemons       int           `long:"daemons" default:"5"`
	Replicas      int           `long:"replicas" default:"3" description:"of each of the two services"`
	KeepDir       string        `long:"keep" description:"folder for plan and logs of a failed run; default: a temporary one"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	daemon, _, err := c.programs()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return soak.Run(ctx, soak.Options{
		Seed: c.Seed, FaultDuration: c.FaultDuration, Daemons: c.Daemons, Replicas: c.Replicas, DaemonProgram: daemon, KeepDir: c.KeepDir, Out: os.Stdout,
	})
}
