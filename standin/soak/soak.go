package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

const (
	callersPerDaemon = 2
	// maxCallers bounds the open files of large runs: each caller connects to all daemons.
	maxCallers = 16
	// recoveryTimeout is the time after the last fault within which all daemons must serve
	// requests again and use the newest configuration and weights. It is the longest such
	// limit that the documentation promises.
	recoveryTimeout = 15 * time.Second
	// checkInterval is the interval of the checks against the replicas' run counts.
	checkInterval = 500 * time.Millisecond
)

// run is one soak run: a testbed, the load on it and the checker.
type run struct {
	*testbed

	ctx        context.Context
	injections sync.WaitGroup
	reported   int // requests in all accepted reports
}

// Run executes the plan that the seed determines and writes the plan and a summary to o.Out. An
// error describes the first broken promise and names the folder that holds the plan and the logs.
func Run(ctx context.Context, o Options) error {
	summary, err := RunPlan(ctx, o, GeneratePlan(o))
	if err == nil {
		fmt.Fprintf(o.Out, "seed %d passed: %v\n", o.Seed, summary)
	}
	return err
}

// Summary holds the counts and the duration of a run without a broken promise.
type Summary struct {
	Faults, Responses, Steps, Samples, Reported int
	Duration                                    time.Duration
}

// String implements fmt.Stringer.
func (s Summary) String() string {
	return fmt.Sprintf("%d faults, %d responses, %d steps, %d samples each read complete and once, %d requests reported, %.1f s",
		s.Faults, s.Responses, s.Steps, s.Samples, s.Reported, s.Duration.Seconds())
}

// RunPlan is like Run, but executes the given plan and returns the summary.
func RunPlan(ctx context.Context, o Options, plan []Fault) (Summary, error) {
	WritePlan(o.Out, o, plan)
	tb, err := newTestbed(o)
	if err != nil {
		return Summary{}, err
	}
	r := &run{testbed: tb}
	ctx, cancel := context.WithTimeout(ctx, o.FaultDuration+2*recoveryTimeout+usageDue+30*time.Second)
	defer cancel()
	start := time.Now()
	err = r.execute(ctx, plan)
	if promise := r.checker.brokenPromise(); promise != "" {
		err = fmt.Errorf("broken promise: %s", promise)
	}
	if failedConns := tb.failedConns(); failedConns > 0 && err != nil {
		err = fmt.Errorf("inconclusive: the soak itself could not open %d connections (see ulimit -n); %w", failedConns, err)
	}
	tb.shutDown(err != nil)
	if err != nil {
		return Summary{}, fmt.Errorf("seed %d: %w; plan and logs are in %s", o.Seed, err, r.saveRun(plan))
	}
	return Summary{
		Faults: len(plan), Responses: r.checker.responses(), Steps: r.checker.completeSteps(), Samples: r.checker.completeSteps() * groupCount * groupSize,
		Reported: r.reported, Duration: time.Since(start),
	}, nil
}

// saveRun writes the plan into the folder of the logs, moves the folder into Options.Dir if
// that is set, and returns the folder's path.
func (r *run) saveRun(plan []Fault) string {
	dir := r.cluster.Dir
	if f, err := os.Create(filepath.Join(dir, "plan.txt")); err == nil {
		WritePlan(f, r.options, plan)
		_ = f.Close()
	}
	if r.options.KeepDir == "" {
		return dir
	}
	target := filepath.Join(r.options.KeepDir, fmt.Sprint("seed-", r.options.Seed))
	if os.Rename(dir, target) != nil {
		return dir
	}
	return target
}

func (r *run) execute(ctx context.Context, plan []Fault) error {
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { r.redirectMembers(stop) })
	defer background.Wait()
	defer close(stop)
	for _, d := range r.daemons {
		if err := d.WaitReady(ctx); err != nil {
			return err
		}
	}
	var load sync.WaitGroup
	loadCtx, endLoad := context.WithCancel(ctx)
	defer load.Wait()
	defer endLoad()
	for i := range min(callersPerDaemon*len(r.daemons), maxCallers) {
		load.Go(func() {
			newClient(r.checker, r.randomDaemon).runCaller(loadCtx, fmt.Sprint("caller-", i), r.newestConfig)
		})
	}
	load.Go(func() {
		trainer := newClient(r.checker, r.randomDaemon)
		trainer.organisation = organisations[0]
		trainer.runTrainer(loadCtx, "steps", r.publishVersion)
	})
	background.Go(func() {
		for r.checker.brokenPromise() == "" {
			select {
			case <-stop:
				return
			case <-time.After(checkInterval):
				r.checker.checkRunCounts()
			}
		}
	})
	r.injectAll(ctx, plan)
	faultsEnded := time.Now()
	if r.checker.brokenPromise() != "" {
		return nil
	}
	r.checkRecovery(ctx)
	if r.checker.brokenPromise() != "" {
		return nil
	}
	first, last := r.runCalmWindows(ctx, faultsEnded)
	endLoad()
	load.Wait()
	sleepContext(ctx, cancelGracePeriod)
	r.checker.checkRunCounts()
	if ctx.Err() != nil {
		return ctx.Err() // the calm windows were cut short
	}
	r.checkUsage(ctx, first, last)
	return nil
}

// injectAll injects each fault of the plan at its time, so that faults may overlap, and stops
// at the first broken promise.
func (r *run) injectAll(ctx context.Context, plan []Fault) {
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(ctx)
	start := time.Now()
	for _, f := range plan {
		r.sleep(time.Until(start.Add(f.StartOffset)))
		if r.checker.brokenPromise() != "" {
			break
		}
		r.injections.Go(func() { r.inject(f) })
	}
	if r.checker.brokenPromise() != "" {
		cancel()
	}
	r.injections.Wait()
	cancel()
	r.store.SetFaults(fakeplatform.Faults{})
}

func (r *run) sleep(d time.Duration) { sleepContext(r.ctx, d) }

func (r *run) randomDaemon() (address, processName string) {
	d := r.daemons[rand.IntN(len(r.daemons))]
	return d.callerLink.Address(), d.processName()
}

// publishVersion publishes the next weight version, as a trainer does after a step.
func (r *run) publishVersion(version int64) {
	r.store.PutSpec("versions/"+engineModel, []byte(fmt.Sprintf(`{"Model":%q,"Version":%d}`, engineModel, version+1)))
}

// checkRecovery checks that, after the last fault, all daemons serve a new configuration and
// two more steps complete.
func (r *run) checkRecovery(ctx context.Context) {
	version := r.publishConfig(organisations[0])
	steps := r.checker.completeSteps()
	deadline := time.Now().Add(recoveryTimeout)
	var checks sync.WaitGroup
	for i, d := range r.daemons {
		checks.Go(func() { r.checkServes(ctx, d, i, version, deadline) })
	}
	checks.Wait()
	for r.checker.brokenPromise() == "" && r.checker.completeSteps() < steps+2 {
		if time.Now().After(deadline.Add(recoveryTimeout)) {
			r.checker.reportBroken("%d steps completed within %v after the last fault", r.checker.completeSteps()-steps, 2*recoveryTimeout)
			return
		}
		sleepContext(ctx, pollInterval)
	}
}

// checkServes checks that a daemon serves a configuration version before the deadline.
func (r *run) checkServes(ctx context.Context, d *daemon, i, version int, deadline time.Time) {
	c := newClient(r.checker, func() (string, string) { return d.callerLink.Address(), d.processName() })
	c.organisation = organisations[0]
	for n := 0; ; n++ {
		id := fmt.Sprintf("back-%d-%d", i, n)
		got, _ := c.call(ctx, "POST", versionPath(version)+"x", id, id)
		if got.err == nil && got.status == 200 {
			return
		}
		if time.Now().After(deadline) {
			r.checker.reportBroken("daemon %s does not serve configuration %d %v after the last fault: status %d, %v", d.name, version, recoveryTimeout, got.status, got.err)
			return
		}
		sleepContext(ctx, pollInterval)
	}
}
