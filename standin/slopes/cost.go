package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/caller"
)

// workCost is the cost of one piece of work in excess of the idle rates, summed over all
// daemons unless noted.
type workCost struct {
	Units       float64 `json:"units"`  // requests, claims or samples
	Tokens      float64 `json:"tokens"` // tokens generated
	WallSeconds float64 `json:"took_s"` // wall time
	CPU         float64 `json:"cpu_s"`
	MaxCPU      float64 `json:"max_cpu_s"`  // of the busiest daemon
	Bytes       float64 `json:"bytes"`      // exchanged between daemons
	MaxBytes    float64 `json:"peak_bytes"` // of the busiest daemon
	Messages    float64 `json:"messages"`   // calls between daemons
	Writes      float64 `json:"writes"`     // platform writes
	Reads       float64 `json:"reads"`      // platform reads
	Memory      float64 `json:"memory"`     // largest resident memory of a daemon, in bytes
}

// workCosts holds the costs by kind of work.
type workCosts struct {
	Plain   []workCost `json:"plain"`
	Streams []workCost `json:"streams"`
	Claims  []workCost `json:"claims"`
	Steps   []workCost `json:"steps"`
}

const (
	workWindow        = 4 * time.Second
	maxStepSamples    = 1024 // in the largest measured step
	streamRequestRate = 50.0 // generate requests per second
)

// workTask is one measured piece of work. run returns the units completed and the tokens
// generated; the cost is appended to results.
type workTask struct {
	results *[]workCost
	run     func(ctx context.Context) (units, tokens float64, err error)
}

func (f *fleet) measureWork(ctx context.Context, idle []daemonRates) (*workCosts, error) {
	w := &workCosts{}
	client := caller.NewClient(f.addresses()...)
	f.sendPlainRequests(ctx, client, "warm", 100, time.Second, false)
	tasks := f.requestTasks(w, client)
	tasks = append(tasks, f.streamTasks(w, client)...)
	tasks = append(tasks, f.stepTasks(w)...)
	for _, t := range tasks {
		c, err := f.measureCost(ctx, idle, t.run)
		if err != nil {
			return nil, err
		}
		*t.results = append(*t.results, c)
	}
	return w, nil
}

// requestTasks returns the tasks that send plain requests and requests with a claimed key.
func (f *fleet) requestTasks(w *workCosts, client *caller.Client) []workTask {
	send := func(results *[]workCost, name string, rate float64, claimed bool) workTask {
		return workTask{results, func(ctx context.Context) (float64, float64, error) {
			return float64(f.sendPlainRequests(ctx, client, fmt.Sprintf("%s-%g", name, rate), rate, workWindow, claimed)), 0, nil
		}}
	}
	return []workTask{
		send(&w.Plain, "plain", 100, false),
		send(&w.Plain, "plain", 300, false),
		send(&w.Claims, "claim", 20, true),
		send(&w.Claims, "claim", 100, true),
		send(&w.Claims, "claim", 300, true),
	}
}

func (f *fleet) streamTasks(w *workCosts, client *caller.Client) []workTask {
	var tasks []workTask
	for _, tokens := range []int{16, 64, 256} {
		tasks = append(tasks, workTask{&w.Streams, func(ctx context.Context) (float64, float64, error) {
			n, generated := f.sendGenerateRequests(ctx, client, fmt.Sprintf("stream-%d", tokens), streamRequestRate, workWindow, tokens)
			return float64(n), float64(generated), nil
		}})
	}
	return tasks
}

func (f *fleet) stepTasks(w *workCosts) []workTask {
	var tasks []workTask
	for i, samples := range []int{64, 256, maxStepSamples} {
		tasks = append(tasks, workTask{&w.Steps, func(ctx context.Context) (float64, float64, error) {
			result, err := f.runTrainingStep(ctx, fmt.Sprintf("trainer-%d", i), int64(i+1), samples)
			if err == nil && result.Violated() {
				err = fmt.Errorf("step of %d samples: %+v", samples, result)
			}
			return float64(result.Delivered), float64(result.Tokens), err
		}})
	}
	return tasks
}

// measureCost runs work and returns its cost in excess of the idle rates.
func (f *fleet) measureCost(ctx context.Context, idle []daemonRates, run func(context.Context) (units, tokens float64, err error)) (workCost, error) {
	var c workCost
	var workErr error
	readings, elapsed, err := measureWindow(ctx, f.cluster, f.daemons, func() {
		started := time.Now()
		c.Units, c.Tokens, workErr = run(ctx)
		c.WallSeconds = time.Since(started).Seconds()
	})
	if err == nil {
		err = workErr
	}
	if err != nil {
		return c, err
	}
	seconds := elapsed.Seconds()
	for i, r := range readings {
		cpu, bytes := r.CPU-idle[i].CPU*seconds, r.Bytes-idle[i].Bytes*seconds
		c.CPU += cpu
		c.MaxCPU = max(c.MaxCPU, cpu)
		c.Bytes += bytes
		c.MaxBytes = max(c.MaxBytes, bytes)
		c.Messages += r.Messages - idle[i].Messages*seconds
		c.Writes += r.Writes - idle[i].Writes*seconds
		c.Reads += r.Reads - idle[i].Reads*seconds
		c.Memory = max(c.Memory, r.Memory)
	}
	return c, nil
}
