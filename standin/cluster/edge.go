package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// EdgeDaemon is an edge daemon in its own process. Its Address is the front address, which serves
// callers.
type EdgeDaemon struct {
	*Process

	ReadyAddress string // host:port of the readiness check
	PeerAddress  string // host:port of the drpc interface for peers

	launch func() (*Process, error)
}

// StartEdgeDaemon starts an edge daemon that uses the object store at storeAddress. seeds holds the
// peer addresses that it contacts first. extraSettings is added to its settings file.
func (c *Cluster) StartEdgeDaemon(id, storeAddress, domain, seeds, extraSettings string) (*EdgeDaemon, error) {
	var allocated [3]string
	for i := range allocated {
		address, err := c.addresses.Allocate()
		if err != nil {
			return nil, err
		}
		allocated[i] = address
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
`, id, allocated[0], allocated[1], allocated[2], domain, seeds, storeAddress) + extraSettings
	path := filepath.Join(c.Dir, id+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	e := &EdgeDaemon{ReadyAddress: allocated[1], PeerAddress: allocated[2], launch: func() (*Process, error) {
		p, err := startProcess(c.Dir, id, allocated[0], nil, c.daemonProgram, "edge", "--settings", path)
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

// Restart starts the daemon again at the same addresses. Its previous process must have ended.
func (e *EdgeDaemon) Restart() error {
	p, err := e.launch()
	if err == nil {
		e.Process = p
	}
	return err
}

// WaitReady waits until the daemon reports that it is ready, for at most readyTimeout.
func (e *EdgeDaemon) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + e.ReadyAddress + "/hornbeamtide/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s was not ready within %s", e.Name, readyTimeout)
}
