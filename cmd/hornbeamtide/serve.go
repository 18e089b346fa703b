package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hornbeamtide/hornbeamtide/daemon"
)

type serveCommand struct {
	*app
	Settings string `short:"s" long:"settings" required:"yes" value-name:"FILE" description:"settings file"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	settings, err := daemon.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	d, err := daemon.New(settings, c.stderr)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	go func() {
		<-signals
		stop()
		<-signals
		os.Exit(exitAborted)
	}()
	return d.Run(ctx)
}
