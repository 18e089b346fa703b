package cluster

import (
	"context"
	"os/exec"
)

// Restart waits until a process has ended, starts it again with the same arguments and address,
// and waits until it responds at readyPath.
func (c *Cluster) Restart(ctx context.Context, p *Process, readyPath string) error {
	<-p.done
	next, err := startProcess(c.Dir, p.Name, p.Address, c.ExtraEnv, p.cmd.Path, p.cmd.Args[1:]...)
	if err != nil {
		return err
	}
	*p = *next
	return c.WaitFor(ctx, p.Name+" responds after a restart", func() bool {
		return c.Get(ctx, p.Address, readyPath, nil) == nil
	})
}

// Command returns a command that runs the daemon's program as an operator does.
func (c *Cluster) Command(ctx context.Context, args ...string) *exec.Cmd {
	return exec.CommandContext(ctx, c.daemonProgram, args...)
}
