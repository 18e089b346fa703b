// Package combined runs separate processes under several faults: kills and freezes of
// daemons, an engine restart, a platform outage, lost platform responses, failed weight swaps and
// concurrent document changes. All counts come from outside the daemons: from the trainer, the
// callers and the plain services.
package combined

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

// Options configures a run.
type Options struct {
	DaemonPath  string // path of the hornbeamtide program
	StandinPath string // path of the standin program
	ExamplesDir string // folder with documents
	Seed        uint64 // determines the order of the faults and their targets
	MinSteps    int    // minimum number of training steps, run one after the other
	Out         io.Writer
}

// Report holds the results of a run.
type Report struct {
	Faults        []string // in the order of injection
	Steps         []trainer.Result
	Requests      RequestCounts
	OperatorRaces int      // pairs of operators that applied a document at the same version
	VersionsRead  int      // document versions read from the daemons
	Violations    []string // violated guarantees; empty if all held
}

const (
	modelService   = "draftpool"
	plainService   = "ledgerdesk"
	region         = "pk-south"
	stalenessBound = 2 // as in the model service's document
	runTimeout     = 150 * time.Second
	logLines       = 40
	daemonCount    = 4
	engineCount    = 4
	plainCount     = 2
)

var domains = []string{"khi-a", "khi-b", "hyd-a"}

// run is the state of one run.
type run struct {
	options            Options
	random             *rand.Rand // used for the fault schedule only
	cluster            *cluster.Cluster
	daemons            []*cluster.Process
	engines            []*cluster.Process
	plainServices      []*cluster.Process
	partialSwapReplica string // name of the engine whose weight swap fails partway
	trainerVersion     *weightVersion
	report             Report
}

// Run starts all processes and runs until the steps are complete and every fault was injected.
// It returns an error if the run could not continue; violated guarantees are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	processes, err := cluster.New(options.DaemonPath, options.StandinPath)
	if err != nil {
		return Report{}, err
	}
	r := &run{
		options: options, cluster: processes, trainerVersion: &weightVersion{},
		random: rand.New(rand.NewPCG(options.Seed, 0)),
	}
	defer processes.Close(false)
	err = r.run(ctx)
	if err != nil || len(r.report.Violations) > 0 {
		processes.PrintLogs(options.Out, logLines)
	}
	return r.report, err
}

func (r *run) run(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	load := startLoad(ctx, r.addresses())
	recorder := startRecorder(ctx, r.cluster, r.daemons)
	var faultsErr error
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		faultsErr = r.injectFaults(ctx)
	}()
	trainErr := r.train(ctx, faultsDone)
	<-faultsDone
	requests := load.stop()
	versions := recorder.stop()
	if trainErr != nil {
		return fmt.Errorf("training: %w", trainErr)
	}
	if faultsErr != nil {
		return fmt.Errorf("faults: %w", faultsErr)
	}
	r.report.VersionsRead = versions.read
	r.report.Violations = append(r.report.Violations, versions.reverted...)
	return r.checkRequests(ctx, requests)
}

// start starts all processes, applies the documents and waits until the daemons are ready.
func (r *run) start(ctx context.Context) error {
	if err := r.cluster.StartPlatform(ctx); err != nil {
		return err
	}
	r.trainerVersion.set(1)
	if err := r.cluster.Publish(ctx, modelService, 1); err != nil {
		return err
	}
	if err := r.startServers(ctx); err != nil {
		return err
	}
	for i := range daemonCount {
		d := cluster.DaemonConfig{ID: fmt.Sprintf("daemon-%d", i+1), Location: location(i)}
		daemon, err := r.cluster.StartDaemon(ctx, d)
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, daemon)
	}
	return r.applyDocuments(ctx)
}

func (r *run) startServers(ctx context.Context) error {
	for i := range engineCount {
		arguments := []string{"--version", "1"}
		if i%2 == 0 {
			arguments = append(arguments, "--checks-fencing")
		}
		engine, err := r.cluster.StartEngine(ctx, fmt.Sprintf("engine-%d", i+1), modelService, location(i), arguments...)
		if err != nil {
			return err
		}
		r.engines = append(r.engines, engine)
	}
	for i := range plainCount {
		plain, err := r.cluster.StartPlainService(ctx, fmt.Sprintf("ledger-%d", i+1), plainService, location(i))
		if err != nil {
			return err
		}
		r.plainServices = append(r.plainServices, plain)
	}
	return nil
}

func location(i int) cluster.Location {
	return cluster.Location{Region: region, FailureDomain: domains[i%len(domains)]}
}

func (r *run) applyDocuments(ctx context.Context) error {
	for _, service := range []string{modelService, plainService} {
		if err := r.cluster.Apply(ctx, r.daemons[0], r.documentFile(service)); err != nil {
			return err
		}
	}
	for _, daemon := range r.daemons {
		err := r.cluster.WaitFor(ctx, daemon.Name+" is ready", func() bool {
			return r.cluster.Get(ctx, daemon.Address, "/ready", nil) == nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *run) documentFile(service string) string {
	return filepath.Join(r.options.ExamplesDir, "documents", service+".ini")
}

func (r *run) document(service string) ([]byte, error) {
	return os.ReadFile(r.documentFile(service))
}

func (r *run) addresses() []string {
	var addresses []string
	for _, daemon := range r.daemons {
		addresses = append(addresses, daemon.Address)
	}
	return addresses
}

func (r *run) addViolation(format string, arguments ...any) {
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, arguments...))
}
