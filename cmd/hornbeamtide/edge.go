package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hornbeamtide/hornbeamtide/edge"
)

// edgeCommand runs a daemon on the platform.
type edgeCommand struct {
	*app
	Settings string `short:"s" long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute implements flags.Commander.
func (c *edgeCommand) Execute([]string) error {
	aborted := make(chan struct{})
	ctx, stop := contextUntilSignal(func() { close(aborted) }) // before anything else, since a signal may arrive during start-up
	defer stop()
	settings, err := edge.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	d, err := edge.New(settings, c.stdout)
	if err != nil {
		return err
	}
	go func() {
		<-aborted
		d.Abort()
	}()
	return d.Run(ctx)
}

// standbyCommand runs the process that the platform starts on instances with a data disk.
type standbyCommand struct {
	*app
	Settings string `short:"s" long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute implements flags.Commander.
func (c *standbyCommand) Execute([]string) error {
	settings, err := edge.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := contextUntilSignal(func() {})
	defer stop()
	return edge.NewStandby(settings, c.stdout).Run(ctx)
}

// contextUntilSignal returns a context that is canceled on the first SIGTERM or SIGINT; the
// second one calls abort. SIGHUP is ignored, since a changed settings file takes effect at
// the next start.
func contextUntilSignal(abort func()) (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		<-signals
		stop()
		<-signals
		abort()
	}()
	return ctx, stop
}
