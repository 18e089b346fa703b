package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/standin/local"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

// training is the trainers of one run. Each trains on a step while the samples of its
// next step are generated; the first trainer publishes weights after each step.
type training struct {
	run     Run
	system  *local.System
	version atomic.Int64

	mu    sync.Mutex
	steps []trainer.Result
	idle  time.Duration // trainers waited for samples
	busy  time.Duration // trainers trained
}

func (t *training) train(ctx context.Context) error {
	t.version.Store(1)
	errs := make(chan error, t.run.Workload.Trainers)
	for i := range t.run.Workload.Trainers {
		go func() { errs <- t.one(ctx, i) }()
	}
	var first error
	for range t.run.Workload.Trainers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// one is one trainer: a step's samples are pulled while it trains on those of the
// step before.
func (t *training) one(ctx context.Context, number int) error {
	w := t.run.Workload
	addresses := t.system.Addresses()
	rotated := append(append([]string{}, addresses[number%len(addresses):]...), addresses[:number%len(addresses)]...)
	client := trainer.New(trainer.Config{
		Name: fmt.Sprintf("trainer-%d", number), Service: w.ModelService, Daemons: rotated,
		Bound: w.Bound, Version: t.version.Load, Max: w.Samples,
	})
	if err := client.Open(ctx); err != nil {
		return err
	}
	trained := make(chan struct{}, 1)
	trained <- struct{}{}
	for step := range t.run.Steps {
		result, err := client.Step(ctx, int64(step+1), t.groups(number, step), func(int) {})
		if err != nil {
			return fmt.Errorf("trainer %d step %d (%d of %d samples): %w", number, step+1, result.Delivered, result.Expected, err)
		}
		<-trained
		t.record(result, step)
		go t.trainOn(ctx, number, trained)
	}
	<-trained
	return nil
}

// trainOn takes the time of a training step and publishes the new weights.
func (t *training) trainOn(ctx context.Context, number int, trained chan<- struct{}) {
	_ = pause(ctx, t.run.Workload.TrainTime)
	if number == 0 {
		t.system.Weights.Publish(t.run.Workload.ModelService, t.version.Load()+1)
		t.version.Add(1)
	}
	trained <- struct{}{}
}

// record adds a step. A step's samples are generated while the trainer trains on the
// step before, so it idles for what they take longer; the first step has none before it.
func (t *training) record(result trainer.Result, step int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps = append(t.steps, result)
	t.busy += t.run.Workload.TrainTime
	if step > 0 {
		t.idle += max(result.Took-t.run.Workload.TrainTime, 0)
	}
}

// groups returns the groups of a step; the same for each variant.
func (t *training) groups(number, step int) []rollout.Group {
	w := t.run.Workload
	random := rand.New(rand.NewPCG(t.run.Seed, uint64(number*1000+step)))
	var groups []rollout.Group
	for i := range w.Groups {
		groups = append(groups, rollout.Group{
			ID: fmt.Sprintf("g%d", i), Prompt: prompt(random, w.PromptWords), Samples: w.Samples, MaxTokens: w.MaxTokens,
		})
	}
	return groups
}

func prompt(random *rand.Rand, words int) string {
	var text strings.Builder
	for range words {
		fmt.Fprintf(&text, "w%d ", random.IntN(5000))
	}
	return text.String()
}
