// Package cluster starts daemons and stand-in servers as separate processes on
// loopback and ends them.
package cluster

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// Ports are taken below the usual range of ephemeral ports, so that an outgoing
	// connection does not take one between choice and use.
	firstPort = 20000
	lastPort  = 32000

	stopTimeout  = 10 * time.Second
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Process is one started process. Its output goes to a log file.
type Process struct {
	Name    string
	Address string // HTTP host:port
	command *exec.Cmd
	log     string
	done    chan struct{}
	err     error // valid once done is closed
}

// start runs a program whose output goes to name.log in dir.
func start(dir, name, address string, environment []string, program string, arguments ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	output, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, Address: address, command: command, log: path, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Stop asks the process to end and returns its exit error.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, stopTimeout)
	}
}

// Exited reports whether the process ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PrintLog writes the last lines of the process's log to w.
func (p *Process) PrintLog(w io.Writer, lines int) {
	content, err := os.ReadFile(p.log)
	if err != nil {
		return
	}
	all := bytes.Split(bytes.TrimSpace(content), []byte("\n"))
	all = all[max(0, len(all)-lines):]
	fmt.Fprintf(w, "--- %s (exited %v)\n%s\n", p.Name, p.Exited(), bytes.Join(all, []byte("\n")))
}

// ports gives out loopback addresses, each one once.
type ports struct {
	mu    sync.Mutex
	taken map[string]bool
}

// free returns a loopback address whose port is free.
func (p *ports) free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if p.taken[address] {
			continue
		}
		p.taken[address] = true
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}
