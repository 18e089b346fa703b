package main

import (
	"context"
	"os"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/soak"
)

type soakCommand struct {
	Seed     uint64        `long:"seed" description:"decides the plan of faults; 0: from the clock"`
	For      time.Duration `long:"for" default:"30s" description:"how long faults come"`
	Daemons  int           `long:"daemons" default:"5"`
	Replicas int           `long:"replicas" default:"3" description:"of each of the two services"`
	Program  string        `long:"program" default:"bin/hornbeamtide" description:"path of the daemon's program"`
	Keep     string        `long:"keep" description:"folder for plan and logs of a failed run; default: a temporary one"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	return soak.Run(context.Background(), soak.Options{
		Seed: c.Seed, For: c.For, Daemons: c.Daemons, Replicas: c.Replicas, Program: c.Program, Dir: c.Keep, Out: os.Stdout,
	})
}
