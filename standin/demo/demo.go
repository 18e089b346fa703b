// Package demo runs the whole system as separate processes on loopback. It applies documents,
// sends a mix of requests and runs a training step while a daemon and an engine are killed and
// the weights change. The trainer, the callers and the plain service count the results.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

// Options configures the demo.
type Options struct {
	DaemonPath  string // path of the hornbeamtide program
	StandinPath string // path of the standin program
	ExamplesDir string // folder with documents and prompts
	Groups      int
	Samples     int      // per group
	Faults      []string // faults to inject: "daemon", "weights", "engine"
	LogLines    int      // lines of each process log to print on failure
	Out         io.Writer
}

const (
	modelService   = "draftpool"
	plainService   = "ledgerdesk"
	region         = "pk-south"
	stalenessBound = 2 // as in the model service's document
	demoTimeout    = 55 * time.Second
	documentWait   = 10 * time.Second
)

var domains = []string{"khi-a", "khi-b", "hyd-a"}

// demo is the state of one run.
type demo struct {
	options     Options
	cluster     *cluster.Cluster
	daemons     []*cluster.Process
	engines     []*cluster.Process
	plainServer *cluster.Process
	version     atomic.Int64 // weight version that the trainer uses
	startedAt   time.Time
}

// Run runs the demo and writes its summary line. It returns an error if a process failed or a
// guarantee was violated.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	processes, err := cluster.New(options.DaemonPath, options.StandinPath)
	if err != nil {
		return err
	}
	d := &demo{options: options, cluster: processes, startedAt: time.Now()}
	err = d.run(ctx)
	if err != nil {
		processes.PrintLogs(options.Out, options.LogLines)
	}
	processes.Close(false)
	return err
}

func (d *demo) run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	if err := d.applyDocuments(ctx); err != nil {
		return err
	}
	if err := d.streamThroughEachDaemon(ctx); err != nil {
		return err
	}
	groups, err := d.readGroups()
	if err != nil {
		return err
	}
	mix := startMix(ctx, d.addresses())
	samples, err := d.runStep(ctx, groups)
	requests := mix.stop()
	if err != nil {
		return fmt.Errorf("step: %w (samples delivered %d of %d)", err, samples.Delivered, samples.Expected)
	}
	if err := d.waitForWeights(ctx); err != nil {
		return err
	}
	return d.report(ctx, samples, requests)
}

// start starts all processes.
func (d *demo) start(ctx context.Context) error {
	if err := d.cluster.StartPlatform(ctx); err != nil {
		return err
	}
	d.version.Store(1)
	if err := d.cluster.Publish(ctx, modelService, 1); err != nil {
		return err
	}
	for i, domain := range domains {
		location := cluster.Location{Region: region, FailureDomain: domain}
		id := fmt.Sprintf("engine-%d", i+1)
		engine, err := d.cluster.StartEngine(ctx, id, modelService, location, "--version", "1", "--checks-fencing", "--token-time", "10ms")
		if err != nil {
			return err
		}
		d.engines = append(d.engines, engine)
	}
	var err error
	if d.plainServer, err = d.cluster.StartPlainService(ctx, "ledger-1", plainService, cluster.Location{Region: region, FailureDomain: domains[0]}); err != nil {
		return err
	}
	for i, domain := range domains {
		location := cluster.Location{Region: region, FailureDomain: domain}
		daemon, err := d.cluster.StartDaemon(ctx, cluster.DaemonConfig{ID: fmt.Sprintf("daemon-%d", i+1), Location: location})
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, daemon)
	}
	d.logf("started platform, weight store, %d engines, 1 plain service and %d daemons", len(d.engines), len(d.daemons))
	return nil
}

// applyDocuments applies both documents through one daemon and waits until all daemons are
// ready.
func (d *demo) applyDocuments(ctx context.Context) error {
	started := time.Now()
	for _, service := range []string{modelService, plainService} {
		file := filepath.Join(d.options.ExamplesDir, "documents", service+".ini")
		if err := d.cluster.Apply(ctx, d.daemons[0], file); err != nil {
			return err
		}
	}
	for _, daemon := range d.daemons {
		err := d.cluster.WaitFor(ctx, daemon.Name+" is ready", func() bool {
			return d.cluster.Get(ctx, daemon.Address, "/ready", nil) == nil
		})
		if err != nil {
			return err
		}
	}
	d.logf("documents applied and daemons ready after %s", time.Since(started).Round(time.Millisecond))
	return nil
}

// streamThroughEachDaemon repeats a streamed request through each daemon until its response is
// complete.
func (d *demo) streamThroughEachDaemon(ctx context.Context) error {
	client := caller.NewClient()
	for i, address := range d.addresses() {
		var last caller.Result
		err := d.cluster.WaitFor(ctx, "a streamed response is complete", func() bool {
			last = client.Generate(ctx, caller.Request{
				Daemon: address, Service: modelService, ID: fmt.Sprintf("first-%d", i),
				Prompt: "Describe the sketch of today.", MaxTokens: 48, Seed: int64(i),
			})
			return last.Outcome == caller.OK
		})
		if err != nil {
			return fmt.Errorf("%w: %s: %s", err, last.Outcome, last.Detail)
		}
		if last.Mismatch != "" {
			return fmt.Errorf("streamed response: %s", last.Mismatch)
		}
	}
	d.logf("each daemon completed one streamed request")
	return nil
}

func (d *demo) addresses() []string {
	var addresses []string
	for _, daemon := range d.daemons {
		addresses = append(addresses, daemon.Address)
	}
	return addresses
}

// readGroups reads the prompt of each group from the examples.
func (d *demo) readGroups() ([]rollout.Group, error) {
	files, err := filepath.Glob(filepath.Join(d.options.ExamplesDir, "prompts", "*.txt"))
	if err != nil {
		return nil, err
	}
	sort.Strings(files)
	if len(files) < d.options.Groups {
		return nil, fmt.Errorf("%d prompts in %s, want %d", len(files), d.options.ExamplesDir, d.options.Groups)
	}
	var groups []rollout.Group
	for _, file := range files[:d.options.Groups] {
		prompt, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		id := strings.TrimSuffix(filepath.Base(file), ".txt")
		groups = append(groups, rollout.Group{ID: id, Prompt: strings.TrimSpace(string(prompt)), Samples: d.options.Samples})
	}
	return groups, nil
}

// runStep runs one training step and injects the faults as samples arrive.
func (d *demo) runStep(ctx context.Context, groups []rollout.Group) (trainer.Result, error) {
	t := trainer.New(trainer.Config{
		Name: "captions", Service: modelService, Daemons: d.addresses(), StalenessBound: stalenessBound,
		Version: d.version.Load, MaxSamplesPerPull: len(groups),
	})
	if err := t.Open(ctx); err != nil {
		return trainer.Result{}, err
	}
	faults := d.faultInjector(ctx, len(groups)*d.options.Samples)
	return t.Step(ctx, 1, groups, faults)
}

func (d *demo) logf(format string, arguments ...any) {
	elapsed := time.Since(d.startedAt).Round(10 * time.Millisecond)
	fmt.Fprintf(d.options.Out, "demo: %6s "+format+"\n", append([]any{elapsed}, arguments...)...)
}
