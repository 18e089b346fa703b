package combined

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

const (
	freezeDuration    = 6 * time.Second // longer than the time after which peers consider a member gone
	outageDuration    = 3 * time.Second
	restartDelay      = time.Second
	faultInterval     = 500 * time.Millisecond
	lostResponseCount = 4
)

// scheduledFault is one fault of the schedule.
type scheduledFault struct {
	name   string
	inject func(ctx context.Context) error
}

// injectFaults injects each fault once, in an order and on targets that the seed determines.
// The fleet may not have recovered from a fault when the next one starts.
func (r *run) injectFaults(ctx context.Context) error {
	faults := r.schedule()
	r.random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	for _, fault := range faults {
		r.report.Faults = append(r.report.Faults, fault.name)
		if err := fault.inject(ctx); err != nil {
			return fmt.Errorf("%s: %w", fault.name, err)
		}
		if err := sleep(ctx, faultInterval); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) schedule() []scheduledFault {
	frozen, killed := r.pickTwoDaemons()
	killedEngine := r.engines[r.random.IntN(len(r.engines))]
	partialSwapEngine := r.engines[r.random.IntN(len(r.engines))]
	r.partialSwapReplica = partialSwapEngine.Name
	return []scheduledFault{
		{"freeze " + frozen.Name + " and race operators", func(ctx context.Context) error { return r.freezeDaemon(ctx, frozen) }},
		{"kill " + killed.Name, func(ctx context.Context) error { return r.killAndRestart(ctx, killed, "/debug/vars") }},
		{"kill " + killedEngine.Name, func(ctx context.Context) error { return r.killAndRestart(ctx, killedEngine, "/status") }},
		{"platform outage with new weights", r.platformOutage},
		{"platform loses responses while operators race", r.losePlatformResponses},
		{"swap fails partway on " + partialSwapEngine.Name, func(ctx context.Context) error { return r.partialSwap(ctx, partialSwapEngine) }},
	}
}

func (r *run) pickTwoDaemons() (first, second *cluster.Process) {
	order := r.random.Perm(len(r.daemons))
	return r.daemons[order[0]], r.daemons[order[1]]
}

// freezeDaemon suspends a daemon long enough that its peers consider it gone. Two operators
// change a document in the meantime.
func (r *run) freezeDaemon(ctx context.Context, daemon *cluster.Process) error {
	daemon.Signal(syscall.SIGSTOP)
	defer daemon.Signal(syscall.SIGCONT)
	if err := r.raceOperators(ctx, daemon); err != nil {
		return err
	}
	return sleep(ctx, freezeDuration)
}

func (r *run) killAndRestart(ctx context.Context, p *cluster.Process, readyPath string) error {
	p.Kill()
	if err := sleep(ctx, restartDelay); err != nil {
		return err
	}
	return r.cluster.Restart(ctx, p, readyPath)
}

// platformOutage makes the object API and the instance list unavailable while a weight version
// is published.
func (r *run) platformOutage(ctx context.Context) error {
	if err := r.setPlatformFaults(ctx, fakeplatform.Faults{Outage: true}); err != nil {
		return err
	}
	if err := r.publishNextVersion(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, outageDuration); err != nil {
		return err
	}
	return r.setPlatformFaults(ctx, fakeplatform.Faults{})
}

// losePlatformResponses lets writes to the platform take effect without a response while two
// operators change a document.
func (r *run) losePlatformResponses(ctx context.Context) error {
	if err := r.setPlatformFaults(ctx, fakeplatform.Faults{LoseResponses: lostResponseCount}); err != nil {
		return err
	}
	if err := r.raceOperators(ctx, nil); err != nil {
		return err
	}
	return r.setPlatformFaults(ctx, fakeplatform.Faults{})
}

// partialSwap publishes a weight version whose activation fails partway on one engine.
func (r *run) partialSwap(ctx context.Context, engine *cluster.Process) error {
	faults := fakeengine.Faults{FailActivate: 1}
	if err := r.cluster.Send(ctx, http.MethodPost, engine.Address, "/control/faults", faults); err != nil {
		return err
	}
	return r.publishNextVersion(ctx)
}

// publishNextVersion publishes the next weight version and makes the trainer use it.
func (r *run) publishNextVersion(ctx context.Context) error {
	next := r.trainerVersion.get() + 1
	if err := r.cluster.Publish(ctx, modelService, next); err != nil {
		return err
	}
	r.trainerVersion.set(next)
	return nil
}

func (r *run) setPlatformFaults(ctx context.Context, faults fakeplatform.Faults) error {
	return r.cluster.Send(ctx, http.MethodPost, r.cluster.Platform.Address, "/v1/faults", faults)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
