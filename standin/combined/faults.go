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
	freezeTime    = 6 * time.Second // above the time after which a member counts as gone
	outageTime    = 3 * time.Second
	restartDelay  = time.Second
	betweenFaults = 500 * time.Millisecond
	lostAnswers   = 4
)

// faultStep is one fault of the schedule.
type faultStep struct {
	name  string
	cause func(ctx context.Context) error
}

// causeFaults causes each fault once, in an order and on targets chosen by the seed.
// Some overlap: a frozen daemon is woken by a later step of the schedule.
func (r *run) causeFaults(ctx context.Context) error {
	steps := r.schedule()
	r.random.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	for _, step := range steps {
		r.report.Faults = append(r.report.Faults, step.name)
		if err := step.cause(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		if err := pause(ctx, betweenFaults); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) schedule() []faultStep {
	frozen, killed := r.twoDaemons()
	engine := r.engines[r.random.IntN(len(r.engines))]
	partial := r.engines[r.random.IntN(len(r.engines))]
	r.partial = partial.Name
	return []faultStep{
		{"freeze " + frozen.Name + " and race operators", func(ctx context.Context) error { return r.freeze(ctx, frozen) }},
		{"kill " + killed.Name, func(ctx context.Context) error { return r.restart(ctx, killed, "/debug/vars") }},
		{"kill " + engine.Name, func(ctx context.Context) error { return r.restart(ctx, engine, "/status") }},
		{"platform outage with new weights", r.outage},
		{"platform loses answers while operators race", r.loseAnswers},
		{"swap fails partway on " + partial.Name, func(ctx context.Context) error { return r.partialSwap(ctx, partial) }},
	}
}

func (r *run) twoDaemons() (first, second *cluster.Process) {
	order := r.random.Perm(len(r.daemons))
	return r.daemons[order[0]], r.daemons[order[1]]
}

// freeze stops a daemon longer than its peers wait for it, races operators meanwhile
// and wakes it.
func (r *run) freeze(ctx context.Context, daemon *cluster.Process) error {
	daemon.Signal(syscall.SIGSTOP)
	defer daemon.Signal(syscall.SIGCONT)
	if err := r.race(ctx, daemon); err != nil {
		return err
	}
	return pause(ctx, freezeTime)
}

func (r *run) restart(ctx context.Context, p *cluster.Process, readyPath string) error {
	p.Kill()
	if err := pause(ctx, restartDelay); err != nil {
		return err
	}
	return r.cluster.Restart(ctx, p, readyPath)
}

// outage takes the object API and the instance list away while new weights come.
func (r *run) outage(ctx context.Context) error {
	if err := r.platformFaults(ctx, fakeplatform.Faults{Outage: true}); err != nil {
		return err
	}
	if err := r.publish(ctx); err != nil {
		return err
	}
	if err := pause(ctx, outageTime); err != nil {
		return err
	}
	return r.platformFaults(ctx, fakeplatform.Faults{})
}

// loseAnswers lets writes take effect without an answer while two operators race.
func (r *run) loseAnswers(ctx context.Context) error {
	if err := r.platformFaults(ctx, fakeplatform.Faults{LoseAnswers: lostAnswers}); err != nil {
		return err
	}
	if err := r.race(ctx, nil); err != nil {
		return err
	}
	return r.platformFaults(ctx, fakeplatform.Faults{})
}

// partialSwap publishes weights whose activation fails partway on one engine.
func (r *run) partialSwap(ctx context.Context, engine *cluster.Process) error {
	faults := fakeengine.Faults{FailActivate: 1}
	if err := r.cluster.Send(ctx, http.MethodPost, engine.Address, "/control/faults", faults); err != nil {
		return err
	}
	return r.publish(ctx)
}

// publish publishes the next version; the trainer uses it from now on.
func (r *run) publish(ctx context.Context) error {
	next := r.weights.get() + 1
	if err := r.cluster.Publish(ctx, modelService, next); err != nil {
		return err
	}
	r.weights.set(next)
	return nil
}

func (r *run) platformFaults(ctx context.Context, faults fakeplatform.Faults) error {
	return r.cluster.Send(ctx, http.MethodPost, r.cluster.Platform.Address, "/v1/faults", faults)
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
