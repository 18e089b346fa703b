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
	callersADaemon = 2
	// maxCallers bounds the open files of large runs: each caller connects to all daemons.
	maxCallers = 16
	// settle is how long after the last fault everything must work again, and within which
	// configuration and weights must be everywhere: the longest bound of the pages.
	settle = 15 * time.Second
	// lookPause is the pause between two comparisons with the replicas' counts.
	lookPause = 500 * time.Millisecond
)

// run is a world with its load and its judge.
type run struct {
	*world

	judge  *judge
	ctx    context.Context
	faults sync.WaitGroup
}

// Run plays the plan of a seed and writes what it saw. An error tells the first broken promise; the folder that it
// names holds plan and logs.
func Run(ctx context.Context, o Options) error {
	summary, err := Play(ctx, o, Draw(o))
	if err == nil {
		fmt.Fprintf(o.Out, "seed %d held: %v\n", o.Seed, summary)
	}
	return err
}

// Summary is what a run saw.
type Summary struct {
	Faults, Answers, Steps, Samples int
	Took                            time.Duration
}

// String implements fmt.Stringer.
func (s Summary) String() string {
	return fmt.Sprintf("%d faults, %d answers, %d steps, %d samples read whole and once, %.1f s", s.Faults, s.Answers, s.Steps, s.Samples, s.Took.Seconds())
}

// Play is Run with a plan of one's own.
func Play(ctx context.Context, o Options, plan []Fault) (Summary, error) {
	Print(o.Out, o, plan)
	w, err := newWorld(o)
	if err != nil {
		return Summary{}, err
	}
	r := &run{world: w, judge: newJudge(w.replicas)}
	ctx, cancel := context.WithTimeout(ctx, o.For+2*settle+20*time.Second)
	defer cancel()
	begun := time.Now()
	err = r.play(ctx, plan)
	if broken := r.judge.verdict(); broken != "" {
		err = fmt.Errorf("broken promise: %s", broken)
	}
	if missed := w.missed(); missed > 0 && err != nil {
		err = fmt.Errorf("no verdict: the soak itself could not open %d connections (see ulimit -n); %w", missed, err)
	}
	w.end(err != nil)
	if err != nil {
		return Summary{}, fmt.Errorf("seed %d: %w; plan and logs are in %s", o.Seed, err, r.keep(plan))
	}
	return Summary{
		Faults: len(plan), Answers: r.judge.answers(), Steps: r.judge.steps(), Samples: r.judge.steps() * groups * groupSize, Took: time.Since(begun),
	}, nil
}

// keep writes the plan beside the logs and returns the folder.
func (r *run) keep(plan []Fault) string {
	folder := r.cluster.Dir
	if f, err := os.Create(filepath.Join(folder, "plan.txt")); err == nil {
		Print(f, r.options, plan)
		_ = f.Close()
	}
	if r.options.Dir == "" {
		return folder
	}
	kept := filepath.Join(r.options.Dir, fmt.Sprint("seed-", r.options.Seed))
	if os.Rename(folder, kept) != nil {
		return folder
	}
	return kept
}

func (r *run) play(ctx context.Context, plan []Fault) error {
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { r.rewriteMembers(stop) })
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
	for i := range min(callersADaemon*len(r.daemons), maxCallers) {
		load.Go(func() { newClient(r.judge, r.anyDaemon).callers(loadCtx, fmt.Sprint("caller-", i), r.newest) })
	}
	load.Go(func() { newClient(r.judge, r.anyDaemon).trainer(loadCtx, "steps", r.name) })
	background.Go(func() {
		for r.judge.verdict() == "" {
			select {
			case <-stop:
				return
			case <-time.After(lookPause):
				r.judge.look()
			}
		}
	})
	r.causeAll(ctx, plan)
	if r.judge.verdict() != "" {
		return nil
	}
	r.comesBack(ctx)
	endLoad()
	load.Wait()
	pause(ctx, cancelTime)
	r.judge.look()
	return nil
}

// causeAll makes the faults of a plan one after the other and beside each other, until a
// promise breaks.
func (r *run) causeAll(ctx context.Context, plan []Fault) {
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(ctx)
	begun := time.Now()
	for _, f := range plan {
		r.sleep(time.Until(begun.Add(f.At)))
		if r.judge.verdict() != "" {
			break
		}
		r.faults.Go(func() { r.cause(f) })
	}
	if r.judge.verdict() != "" {
		cancel()
	}
	r.faults.Wait()
	cancel()
	r.store.SetFaults(fakeplatform.Faults{})
}

func (r *run) sleep(d time.Duration) { pause(r.ctx, d) }

func (r *run) anyDaemon() (address, process string) {
	d := r.daemons[rand.IntN(len(r.daemons))]
	return d.callers.Address(), d.process()
}

// name is what a trainer does after a step.
func (r *run) name(version int64) {
	r.store.PutSpec("versions/"+engineModel, []byte(fmt.Sprintf(`{"Model":%q,"Version":%d}`, engineModel, version+1)))
}

// comesBack checks that everything works again after the last fault.
func (r *run) comesBack(ctx context.Context) {
	version := r.configure()
	steps := r.judge.steps()
	deadline := time.Now().Add(settle)
	var asked sync.WaitGroup
	for i, d := range r.daemons {
		asked.Go(func() { r.serves(ctx, d, i, version, deadline) })
	}
	asked.Wait()
	for r.judge.verdict() == "" && r.judge.steps() < steps+2 {
		if time.Now().After(deadline.Add(settle)) {
			r.judge.breaks("%d steps became whole within %v after the last fault", r.judge.steps()-steps, 2*settle)
			return
		}
		pause(ctx, pollPause)
	}
}

// serves checks that a daemon serves a configuration before a deadline.
func (r *run) serves(ctx context.Context, d *daemon, i, version int, deadline time.Time) {
	c := newClient(r.judge, func() (string, string) { return d.callers.Address(), d.process() })
	for n := 0; ; n++ {
		id := fmt.Sprintf("back-%d-%d", i, n)
		got, _ := c.call(ctx, "POST", extra(version)+"x", id, id)
		if got.err == nil && got.status == 200 {
			return
		}
		if time.Now().After(deadline) {
			r.judge.breaks("daemon %s does not serve configuration %d %v after the last fault: status %d, %v", d.name, version, settle, got.status, got.err)
			return
		}
		pause(ctx, pollPause)
	}
}
