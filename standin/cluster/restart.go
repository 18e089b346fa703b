package cluster

import (
	"context"
	"os/exec"
)

// Restart starts a process that has ended again, with its arguments and its address,
// and waits until it answers at readyPath.
func (c *Cluster) Restart(ctx context.Context, p *Process, readyPath string) error {
	<-p.done
	next, err := start(c.Dir, p.Name, p.Address, c.Environment, p.command.Path, p.command.Args[1:]...)
	if err != nil {
		return err
	}
	*p = *next
	return c.WaitFor(ctx, p.Name+" answers again", func() bool {
		return c.Get(ctx, p.Address, readyPath, nil) == nil
	})
}

// Command returns a command of the daemon's program, to be used as an operator would.
func (c *Cluster) Command(ctx context.Context, arguments ...string) *exec.Cmd {
	return exec.CommandContext(ctx, c.daemonProgram, arguments...)
}
