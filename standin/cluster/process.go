// Package cluster starts and ends daemons and fake servers as separate processes on loopback.
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
	// The ports lie below the usual range of ephemeral ports, so that no outgoing connection
	// occupies a port between its allocation and its use.
	firstPort = 20000
	lastPort  = 32000

	stopTimeout  = 10 * time.Second
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Process is a started process. Its output goes to a log file.
type Process struct {
	Name    string
	Address string // HTTP host:port
	cmd     *exec.Cmd
	logPath string
	done    chan struct{}
	err     error // valid once done is closed
}

// startProcess runs a program whose output goes to name.log in dir.
func startProcess(dir, name, address string, env []string, program string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	output, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, Address: address, cmd: cmd, logPath: path, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Stop sends SIGTERM, waits until the process has ended and returns its exit error. It kills the
// process after stopTimeout.
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

// Exited reports whether the process has ended.
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
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return
	}
	all := bytes.Split(bytes.TrimSpace(content), []byte("\n"))
	all = all[max(0, len(all)-lines):]
	fmt.Fprintf(w, "--- %s (exited %v)\n%s\n", p.Name, p.Exited(), bytes.Join(all, []byte("\n")))
}

// AddressAllocator allocates loopback addresses, each at most once. Each allocator has its own
// host address, because clusters of other processes allocate ports at the same time: on a shared
// host address, a port could be taken between its allocation and its use.
type AddressAllocator struct {
	host      string // in 127.0.0.0/8
	mu        sync.Mutex
	allocated map[string]bool
}

// NewAddressAllocator returns an allocator of addresses of a random host.
func NewAddressAllocator() *AddressAllocator {
	_, _ = os.FindProcess(os.Getpid()) // Go forks once, without ForkLock, at the first use of a process handle
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return &AddressAllocator{host: host, allocated: map[string]bool{}}
}

// Allocate returns a loopback address with a free port.
func (a *AddressAllocator) Allocate() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range 1000 {
		address := fmt.Sprintf("%s:%d", a.host, firstPort+rand.IntN(lastPort-firstPort))
		if a.allocated[address] {
			continue
		}
		a.allocated[address] = true
		if err := tryListen(address); err == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port between %d and %d", firstPort, lastPort)
}

// tryListen listens on the address and closes the listener. No process may be forked
// meanwhile: it would hold a copy of the listener until it executes its program, and the
// address would still be in use.
func tryListen(address string) error {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return listener.Close()
}
