package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

// sendAtRate calls send rate times per second for the given duration, each call in its own
// goroutine, waits for all of them and returns their number.
func sendAtRate(rate float64, duration time.Duration, send func(i int)) int {
	interval := time.Duration(float64(time.Second) / rate)
	total := int(rate * duration.Seconds())
	started := time.Now()
	var group sync.WaitGroup
	for i := range total {
		time.Sleep(time.Until(started.Add(time.Duration(i) * interval)))
		group.Go(func() { send(i) })
	}
	group.Wait()
	return total
}

// sendPlainRequests sends idempotent requests, or non-idempotent ones with a key if claimed
// is set, and returns the number of complete responses.
func (f *fleet) sendPlainRequests(ctx context.Context, client *caller.Client, idPrefix string, rate float64, duration time.Duration, claimed bool) int {
	var completed atomic.Int64
	sendAtRate(rate, duration, func(i int) {
		id := fmt.Sprintf("%s-%d", idPrefix, i)
		r := caller.Request{Service: plainService, Method: http.MethodGet, Path: "/members/1", ID: id}
		if claimed {
			r.Method, r.Path, r.Key, r.Body = http.MethodPost, "/billing", id, []byte(id)
		}
		if client.Plain(ctx, r).Outcome == caller.OK {
			completed.Add(1)
		}
	})
	return int(completed.Load())
}

// sendGenerateRequests sends generate requests and returns the number of complete
// responses and of their tokens.
func (f *fleet) sendGenerateRequests(ctx context.Context, client *caller.Client, idPrefix string, rate float64, duration time.Duration, tokens int) (completed, generated int) {
	var requests, total atomic.Int64
	sendAtRate(rate, duration, func(i int) {
		r := caller.Request{
			Service: modelService, ID: fmt.Sprintf("%s-%d", idPrefix, i), Seed: int64(i), MaxTokens: tokens,
			Prompt: fmt.Sprintf("question %d", i),
		}
		if result := client.Generate(ctx, r); result.Outcome == caller.OK {
			requests.Add(1)
			total.Add(int64(result.Tokens))
		}
	})
	return int(requests.Load()), int(total.Load())
}

// runTrainingStep opens a trainer and runs one step of the given number of samples.
func (f *fleet) runTrainingStep(ctx context.Context, name string, number int64, samples int) (trainer.Result, error) {
	t := trainer.New(trainer.Config{
		Name: name, Service: modelService, Daemons: f.addresses(), StalenessBound: 2,
		Version: func() int64 { return 1 }, MaxSamplesPerPull: 128,
	})
	if err := t.Open(ctx); err != nil {
		return trainer.Result{}, err
	}
	var groups []rollout.Group
	for i := range samples / groupSize {
		id := fmt.Sprintf("group-%d", i)
		groups = append(groups, rollout.Group{ID: id, Prompt: id, Samples: groupSize, MaxTokens: sampleTokens})
	}
	return t.Step(ctx, number, groups, func(int) {})
}

const (
	groupSize    = 8
	sampleTokens = 64
)

// changeDocument writes a new revision of the plain service's document through a random
// daemon and returns its version.
func (f *fleet) changeDocument(ctx context.Context, random *rand.Rand, source []byte, version int64) (int64, error) {
	daemon := f.daemons[random.IntN(len(f.daemons))]
	return putDocument(ctx, daemon.Address, plainService, source, version)
}

// waitUntilInForce waits until the version is in force on all daemons and returns the time
// that took.
func (f *fleet) waitUntilInForce(ctx context.Context, version int64) (time.Duration, error) {
	started := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	for _, daemon := range f.daemons {
		group.Go(func() error { return f.waitVersion(ctx, daemon, version) })
	}
	err := group.Wait()
	return time.Since(started), err
}

func (f *fleet) waitVersion(ctx context.Context, daemon *cluster.Process, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		infos, err := f.documents(ctx, daemon)
		if err != nil || hasVersion(infos, version) {
			return err
		}
		time.Sleep(2 * time.Millisecond)
	}
}

const inForceTimeout = 15 * time.Second

func hasVersion(infos []documentInfo, version int64) bool {
	for _, info := range infos {
		if info.Service == plainService {
			return info.Version >= version
		}
	}
	return false
}

// waveResult describes the rollout of one weight version over the engines.
type waveResult struct {
	Total  float64 `json:"total_s"`  // from publication until all engines have activated the version
	Spread float64 `json:"spread_s"` // from the first to the last activation
	Orders float64 `json:"orders"`   // load and activation orders that the engines received
}

// publishAndWait publishes a version and waits until all engines have activated it.
func (f *fleet) publishAndWait(version int64) (waveResult, error) {
	ordersBefore := f.totalOrders()
	started := time.Now()
	f.system.Weights.Publish(modelService, version)
	for {
		active := 0
		for _, e := range f.system.Engines {
			if e.Status().Version == version {
				active++
			}
		}
		if active == len(f.system.Engines) {
			break
		}
		if time.Since(started) > publishTimeout {
			return waveResult{}, fmt.Errorf("weight version active on %d of %d engines after %s", active, len(f.system.Engines), publishTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	wave := waveResult{Total: time.Since(started).Seconds(), Orders: f.totalOrders() - ordersBefore}
	var first, last time.Time
	for _, e := range f.system.Engines {
		at := e.Counts().ActivatedAt
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	wave.Spread = last.Sub(first).Seconds()
	return wave, nil
}

const publishTimeout = 30 * time.Second

func (f *fleet) totalOrders() float64 {
	total := 0.0
	for _, e := range f.system.Engines {
		total += float64(e.Counts().Orders)
	}
	return total
}
