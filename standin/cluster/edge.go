package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Edge is one edge daemon as a process. Its Address is the front address.
type Edge struct {
	*Process

	Ready string // host:port
	Peer  string // drpc host:port

	launch func() (*Process, error)
}

// StartEdge starts an edge daemon on the store at address. seeds are peer addresses.
func (c *Cluster) StartEdge(id, address, domain, seeds string) (*Edge, error) {
	var addresses [3]string
	for i := range addresses {
		free, err := c.ports.free()
		if err != nil {
			return nil, err
		}
		addresses[i] = free
	}
	settings := fmt.Sprintf(`[edge]
id = %s
front_address = %s
ready_address = %s
peer_address = %s
region = local
failure_domain = %s
seeds = %s
[store]
address = %s
[orders]
fenced = yes
`, id, addresses[0], addresses[1], addresses[2], domain, seeds, address)
	path := filepath.Join(c.Dir, id+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	e := &Edge{Ready: addresses[1], Peer: addresses[2], launch: func() (*Process, error) {
		p, err := start(c.Dir, id, addresses[0], nil, c.daemonProgram, "edge", "--settings", path)
		if err != nil {
			return nil, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.processes = append(c.processes, p)
		return p, nil
	}}
	return e, e.Restart()
}

// Restart starts the daemon, whose process has ended, at the same addresses.
func (e *Edge) Restart() error {
	p, err := e.launch()
	if err == nil {
		e.Process = p
	}
	return err
}

// WaitReady waits until the daemon takes connections.
func (e *Edge) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + e.Ready + "/hornbeamtide/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s is not ready within %s", e.Name, readyTimeout)
}
