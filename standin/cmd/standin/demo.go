package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/hornbeamtide/hornbeamtide/standin/demo"
)

// programOptions are the options for the programs that a command starts.
type programOptions struct {
	DaemonPath string `long:"daemon" description:"hornbeamtide program, default beside this one"`
}

// programs returns the paths of the daemon's executable and of this one.
func (o programOptions) programs() (daemon, self string, err error) {
	self, err = os.Executable()
	if err != nil {
		return "", "", err
	}
	daemon = o.DaemonPath
	if daemon == "" {
		daemon = filepath.Join(filepath.Dir(self), "hornbeamtide")
	}
	return daemon, self, nil
}

// signalContext returns a context that ends on SIGINT or SIGTERM, so that the started
// processes are stopped too.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

type demoCommand struct {
	programOptions
	Examples string `long:"examples" description:"folder with documents and prompts" default:"examples"`
	Groups   int    `long:"groups" description:"groups of the step" default:"16"`
	Samples  int    `long:"samples" description:"samples a group" default:"8"`
	Faults   string `long:"faults" description:"what happens midway, of daemon (killed), weights (swapped), engine (killed)" default:"daemon,weights,engine"`
	LogLines int    `long:"logs" description:"lines of each log printed on failure" default:"30"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	daemon, self, err := c.programs()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return demo.Run(ctx, demo.Options{
		DaemonPath: daemon, StandinPath: self, ExamplesDir: c.Examples, Groups: c.Groups, Samples: c.Samples,
		Faults: strings.Split(c.Faults, ","), LogLines: c.LogLines, Out: os.Stdout,
	})
}
