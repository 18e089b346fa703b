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

// Place is where an instance runs.
type Place struct {
	Region        string
	FailureDomain string
}

// Cluster is a set of processes on loopback.
type Cluster struct {
	Dir      string // logs and settings
	Platform *Process
	Weights  *Process

	Environment []string // added to the environment of processes started later

	daemonProgram  string
	standinProgram string
	ports          ports
	mu             sync.Mutex
	processes      []*Process
	client         *http.Client
}

// New returns an empty cluster that starts the given programs.
func New(daemonProgram, standinProgram string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "hornbeamtide-")
	if err != nil {
		return nil, err
	}
	return &Cluster{
		Dir: dir, daemonProgram: daemonProgram, standinProgram: standinProgram,
		client: &http.Client{Timeout: 5 * time.Second}, ports: ports{taken: map[string]bool{}},
	}, nil
}

// UsePlatform makes daemons use a platform and a weight store of another process.
func (c *Cluster) UsePlatform(platform, weights string) {
	c.Platform = &Process{Name: "platform", Address: platform}
	c.Weights = &Process{Name: "weights", Address: weights}
}

// Close ends all processes and removes the logs unless keep is set.
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

// StartPlatform starts the platform and the weight store.
func (c *Cluster) StartPlatform(ctx context.Context, weightArguments ...string) error {
	var err error
	if c.Platform, err = c.startStandin(ctx, "platform", "platform", "/v1/calls"); err != nil {
		return err
	}
	c.Weights, err = c.startStandin(ctx, "weights", "weights", "/control/counts", weightArguments...)
	return err
}

// StartEngine starts a model engine and lists it.
func (c *Cluster) StartEngine(ctx context.Context, id, pool string, place Place, arguments ...string) (*Process, error) {
	arguments = append([]string{"--id", id, "--pool", pool, "--weights", c.Weights.Address}, arguments...)
	return c.startServer(ctx, id, pool, "engine", place, arguments)
}

// StartPlain starts a plain service and lists it.
func (c *Cluster) StartPlain(ctx context.Context, id, pool string, place Place, arguments ...string) (*Process, error) {
	return c.startServer(ctx, id, pool, "plain", place, append([]string{"--id", id}, arguments...))
}

func (c *Cluster) startServer(ctx context.Context, id, pool, command string, place Place, arguments []string) (*Process, error) {
	p, err := c.startStandin(ctx, id, command, "/control/counts", arguments...)
	if err != nil {
		return nil, err
	}
	instance := objectapi.Instance{
		ID: id, Pool: pool, Address: p.Address, State: objectapi.Live,
		Region: place.Region, FailureDomain: place.FailureDomain,
	}
	return p, c.List(ctx, instance)
}

func (c *Cluster) startStandin(ctx context.Context, name, command, readyPath string, arguments ...string) (*Process, error) {
	address, err := c.ports.free()
	if err != nil {
		return nil, err
	}
	arguments = append([]string{command, "--address", address}, arguments...)
	return c.launch(ctx, name, address, readyPath, c.standinProgram, arguments...)
}

// launch starts a process and waits until it answers at readyPath.
func (c *Cluster) launch(ctx context.Context, name, address, readyPath, program string, arguments ...string) (*Process, error) {
	p, err := start(c.Dir, name, address, c.Environment, program, arguments...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	err = c.WaitFor(ctx, name+" answers", func() bool {
		return p.Exited() || c.Get(ctx, address, readyPath, nil) == nil
	})
	if p.Exited() {
		return nil, fmt.Errorf("%s exited at once", name)
	}
	return p, err
}

// Daemon describes a daemon to start.
type Daemon struct {
	ID       string
	Place    Place
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

// StartDaemon lists a daemon, starts it and waits until its HTTP interface answers.
func (c *Cluster) StartDaemon(ctx context.Context, d Daemon) (*Process, error) {
	address, err := c.ports.free()
	if err != nil {
		return nil, err
	}
	peerAddress, err := c.ports.free()
	if err != nil {
		return nil, err
	}
	instance := objectapi.Instance{
		ID: d.ID, Pool: objectapi.DaemonPool, Address: address, PeerAddress: peerAddress, State: objectapi.Live,
		Region: d.Place.Region, FailureDomain: d.Place.FailureDomain,
	}
	if err := c.List(ctx, instance); err != nil {
		return nil, err
	}
	settings := fmt.Sprintf(settingsFormat, d.ID, address, peerAddress, d.Place.Region, d.Place.FailureDomain,
		c.Platform.Address, c.Weights.Address, d.Settings)
	file := filepath.Join(c.Dir, d.ID+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	return c.launch(ctx, d.ID, address, "/debug/vars", c.daemonProgram, "serve", "--settings", file)
}

// List puts an instance into the platform's list.
func (c *Cluster) List(ctx context.Context, instance objectapi.Instance) error {
	return c.Send(ctx, http.MethodPut, c.Platform.Address, "/v1/instances/"+instance.ID, instance)
}

// Unlist removes an instance from the platform's list.
func (c *Cluster) Unlist(ctx context.Context, id string) error {
	return c.Send(ctx, http.MethodDelete, c.Platform.Address, "/v1/instances/"+id, nil)
}

// Apply applies a document through the operator's command.
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

// Get reads JSON from a process into answer, which may be nil.
func (c *Cluster) Get(ctx context.Context, address, path string, answer any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	return c.do(r, answer)
}

// Send sends body as JSON.
func (c *Cluster) Send(ctx context.Context, method, address, path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	return c.do(r, nil)
}

func (c *Cluster) do(r *http.Request, answer any) error {
	response, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s: %.200s", r.Method, r.URL, response.Status, content)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(content, answer)
}

// WaitFor polls until the condition holds.
func (c *Cluster) WaitFor(ctx context.Context, what string, holds func() bool) error {
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
	return fmt.Errorf("waited %s in vain: %s", readyTimeout, what)
}
