package main

import (
	"fmt"
	"os"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/soak"
)

type edgeDemoCommand struct{ programOptions }

// Execute implements flags.Commander.
func (c *edgeDemoCommand) Execute([]string) error {
	daemon, _, err := c.programs()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	summary, err := soak.RunPlan(ctx, soak.Options{
		FaultDuration: 5 * time.Second, Daemons: 3, Replicas: 3, DaemonProgram: daemon, Out: os.Stdout,
	}, []soak.Fault{{StartOffset: 2 * time.Second, Duration: time.Second, Kind: "process-kill"}})
	if err == nil {
		fmt.Printf("edge demo with one daemon killed and restarted: %v\n", summary)
	}
	return err
}
