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
	go stopOnSignal(stop)
	go dumpOnSignal(ctx, d)
	return d.Run(ctx)
}

// stopOnSignal calls stop, which drains the daemon, on the first SIGTERM or SIGINT and
// exits the process on the second one.
func stopOnSignal(stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	stop()
	<-signals
	os.Exit(exitAborted)
}

// dumpOnSignal writes a state dump to the log on each SIGUSR1.
func dumpOnSignal(ctx context.Context, d *daemon.Daemon) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			d.LogDump()
		}
	}
}
