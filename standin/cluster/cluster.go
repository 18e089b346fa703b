package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// Location is the location of an instance.
type Location struct {
	Region        string
	FailureDomain string
}

// Cluster is a set of processes that listen on loopback addresses.
type Cluster struct {
	Dir      string // holds the logs and the settings files
	Platform *Process
	Weights  *Process

	ExtraEnv []string // KEY=value entries added to the environment of processes started from now on

	daemonProgram  string
	standinProgram string
	addresses      *AddressAllocator
	mu             sync.Mutex
	processes      []*Process
	client         *http.Client
}

// New returns an empty cluster. daemonProgram is the path of the daemon's program and
// standinProgram that of the program with the fake platform and the fake servers.
func New(daemonProgram, standinProgram string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "hornbeamtide-")
	if err != nil {
		return nil, err
	}
	return &Cluster{
		Dir: dir, daemonProgram: daemonProgram, standinProgram: standinProgram,
		client: &http.Client{Timeout: 5 * time.Second}, addresses: NewAddressAllocator(),
	}, nil
}

// UsePlatform makes daemons use a platform and a weight store that the cluster did not start;
// both arguments are host:port.
func (c *Cluster) UsePlatform(platform, weights string) {
	c.Platform = &Process{Name: "platform", Address: platform}
	c.Weights = &Process{Name: "weights", Address: weights}
}

// Close kills all processes and removes logs and settings unless keep is set.
func (c *Cluster) Close(keep bool) {
	for i := len(c.processes) - 1; i >= 0; i-- {
		c.processes[i].Kill()
	}
	if !keep {
		_ = os.RemoveAll(c.Dir)
	}
}

// PrintLogs writes the last lines of each process's log to w.
func (c *Cluster) PrintLogs(w io.Writer, lines int) {
	for _, p := range c.processes {
		p.PrintLog(w, lines)
	}
}

// StartPlatform starts the fake platform and the fake weight store.
func (c *Cluster) StartPlatform(ctx context.Context, weightArgs ...string) error {
	var err error
	if c.Platform, err = c.startFake(ctx, "platform", "platform", "/v1/calls"); err != nil {
		return err
	}
	c.Weights, err = c.startFake(ctx, "weights", "weights", "/control/counts", weightArgs...)
	return err
}

// StartEngine starts a fake model engine and adds it to the platform's instance list.
func (c *Cluster) StartEngine(ctx context.Context, id, pool string, location Location, args ...string) (*Process, error) {
	args = append([]string{"--id", id, "--pool", pool, "--weights", c.Weights.Address}, args...)
	return c.startServer(ctx, id, pool, "engine", location, args)
}

// StartPlainService starts a fake plain service and adds it to the platform's instance list.
func (c *Cluster) StartPlainService(ctx context.Context, id, pool string, location Location, args ...string) (*Process, error) {
	return c.startServer(ctx, id, pool, "plain", location, append([]string{"--id", id}, args...))
}

func (c *Cluster) startServer(ctx context.Context, id, pool, command string, location Location, args []string) (*Process, error) {
	p, err := c.startFake(ctx, id, command, "/control/counts", args...)
	if err != nil {
		return nil, err
	}
	instance := objectapi.Instance{
		ID: id, Pool: pool, Address: p.Address, State: objectapi.Live,
		Region: location.Region, FailureDomain: location.FailureDomain,
	}
	return p, c.AddInstance(ctx, instance)
}

func (c *Cluster) startFake(ctx context.Context, name, command, readyPath string, args ...string) (*Process, error) {
	address, err := c.addresses.Allocate()
	if err != nil {
		return nil, err
	}
	args = append([]string{command, "--address", address}, args...)
	return c.startAndWait(ctx, name, address, readyPath, c.standinProgram, args...)
}

// startAndWait starts a process and waits until it responds at readyPath.
func (c *Cluster) startAndWait(ctx context.Context, name, address, readyPath, program string, args ...string) (*Process, error) {
	p, err := startProcess(c.Dir, name, address, c.ExtraEnv, program, args...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	err = c.WaitFor(ctx, name+" responds", func() bool {
		return p.Exited() || c.Get(ctx, address, readyPath, nil) == nil
	})
	if p.Exited() {
		return nil, fmt.Errorf("%s exited before it responded", name)
	}
	return p, err
}

// DaemonConfig describes a daemon to start.
type DaemonConfig struct {
	ID       string
	Location Location
	Settings string // further INI sections
}

const settingsFormat = `[daemon]
id = %s
http_address = %s
peer_address = %s
region = %s
failure_domain = %s

[platform]
address = %s
weight_address = %s

%s
`

// StartDaemon adds a daemon to the platform's instance list, starts it and waits until its
// HTTP interface responds.
func (c *Cluster) StartDaemon(ctx context.Context, config DaemonConfig) (*Process, error) {
	address, err := c.addresses.Allocate()
	if err != nil {
		return nil, err
	}
	peerAddress, err := c.addresses.Allocate()
	if err != nil {
		return nil, err
	}
	instance := objectapi.Instance{
		ID: config.ID, Pool: objectapi.DaemonPool, Address: address, PeerAddress: peerAddress, State: objectapi.Live,
		Region: config.Location.Region, FailureDomain: config.Location.FailureDomain,
	}
	if err := c.AddInstance(ctx, instance); err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(settingsFormat, config.ID, address, peerAddress, config.Location.Region, config.Location.FailureDomain,
		c.Platform.Address, c.Weights.Address, config.Settings)
	file := filepath.Join(c.Dir, config.ID+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	return c.startAndWait(ctx, config.ID, address, "/debug/vars", c.daemonProgram, "serve", "--settings", file)
}

// AddInstance adds an instance to the platform's instance list or replaces it there.
func (c *Cluster) AddInstance(ctx context.Context, instance objectapi.Instance) error {
	return c.Send(ctx, http.MethodPut, c.Platform.Address, "/v1/instances/"+instance.ID, instance)
}

// RemoveInstance removes an instance from the platform's instance list.
func (c *Cluster) RemoveInstance(ctx context.Context, id string) error {
	return c.Send(ctx, http.MethodDelete, c.Platform.Address, "/v1/instances/"+id, nil)
}

// Apply applies a document file with the daemon's apply command.
func (c *Cluster) Apply(ctx context.Context, daemon *Process, file string) error {
	output, err := exec.CommandContext(ctx, c.daemonProgram, "apply", "--address", daemon.Address, file).CombinedOutput()
	if err != nil {
		return fmt.Errorf("apply %s: %w: %s", file, err, bytes.TrimSpace(output))
	}
	return nil
}

// Publish publishes a weight version of a pool.
func (c *Cluster) Publish(ctx context.Context, pool string, version int64) error {
	return c.Send(ctx, http.MethodPost, c.Weights.Address, "/v1/pools/"+pool+"/publish", publishBody{version})
}

type publishBody struct {
	Version int64 `json:"version"`
}

// Get decodes the JSON response of a process into out. If out is nil, it only checks the status.
func (c *Cluster) Get(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	return c.do(req, out)
}

// Send sends body as JSON and checks the status of the response.
func (c *Cluster) Send(ctx context.Context, method, address, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	return c.do(req, nil)
}

func (c *Cluster) do(req *http.Request, out any) error {
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s: %.200s", req.Method, req.URL, resp.Status, body)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(body, out)
}

// WaitFor polls until holds returns true, for at most readyTimeout. The error names condition.
func (c *Cluster) WaitFor(ctx context.Context, condition string, holds func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if holds() {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return fmt.Errorf("timed out after %s waiting for condition: %s", readyTimeout, condition)
}
