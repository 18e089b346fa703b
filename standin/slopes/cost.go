package slopes

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/caller"
)

// cost is what all daemons together spent on some work, beside the idle rates.
type cost struct {
	Units  float64 `json:"units"`      // requests, claims or samples
	Tokens float64 `json:"tokens"`     // generated
	Took   float64 `json:"took_s"`     // wall time
	CPU    float64 `json:"cpu_s"`      // all daemons
	MaxCPU float64 `json:"max_cpu_s"`  // the busiest daemon
	Bytes  float64 `json:"bytes"`      // between daemons
	Peak   float64 `json:"peak_bytes"` // the busiest daemon
	Calls  float64 `json:"messages"`   // between daemons
	Writes float64 `json:"writes"`     // to the platform
	Reads  float64 `json:"reads"`      // of the platform
	Memory float64 `json:"memory"`     // largest resident memory of a daemon
}

// work holds the costs of requests, streams, claims and steps.
type work struct {
	Plain   []cost `json:"plain"`
	Streams []cost `json:"streams"`
	Claims  []cost `json:"claims"`
	Steps   []cost `json:"steps"`
}

const (
	workWindow  = 4 * time.Second
	largestStep = 1024 // samples
	streamRate  = 50.0 // generate requests a second
)

// task is one measured piece of work. do returns the units done and the tokens generated.
type task struct {
	into *[]cost
	do   func(ctx context.Context) (units, tokens float64, err error)
}

func (f *fleet) measureWork(ctx context.Context, idle []member) (*work, error) {
	w := &work{}
	client := caller.NewClient(f.addresses()...)
	f.plainRequests(ctx, client, "warm", 100, time.Second, false)
	tasks := f.requestTasks(w, client)
	tasks = append(tasks, f.streamTasks(w, client)...)
	tasks = append(tasks, f.stepTasks(w)...)
	for _, t := range tasks {
		c, err := f.spend(ctx, idle, t.do)
		if err != nil {
			return nil, err
		}
		*t.into = append(*t.into, c)
	}
	return w, nil
}

// requestTasks are plain requests and claimed ones.
func (f *fleet) requestTasks(w *work, client *caller.Client) []task {
	send := func(into *[]cost, run string, rate float64, claimed bool) task {
		return task{into, func(ctx context.Context) (float64, float64, error) {
			return float64(f.plainRequests(ctx, client, fmt.Sprintf("%s-%g", run, rate), rate, workWindow, claimed)), 0, nil
		}}
	}
	return []task{
		send(&w.Plain, "plain", 100, false),
		send(&w.Plain, "plain", 300, false),
		send(&w.Claims, "claim", 20, true),
		send(&w.Claims, "claim", 100, true),
		send(&w.Claims, "claim", 300, true),
	}
}

func (f *fleet) streamTasks(w *work, client *caller.Client) []task {
	var tasks []task
	for _, tokens := range []int{16, 64, 256} {
		tasks = append(tasks, task{&w.Streams, func(ctx context.Context) (float64, float64, error) {
			n, generated := f.streams(ctx, client, fmt.Sprintf("stream-%d", tokens), streamRate, workWindow, tokens)
			return float64(n), float64(generated), nil
		}})
	}
	return tasks
}

func (f *fleet) stepTasks(w *work) []task {
	var tasks []task
	for i, samples := range []int{64, 256, largestStep} {
		tasks = append(tasks, task{&w.Steps, func(ctx context.Context) (float64, float64, error) {
			result, err := f.trainingStep(ctx, fmt.Sprintf("trainer-%d", i), int64(i+1), samples)
			if err == nil && result.Broken() {
				err = fmt.Errorf("step of %d samples: %+v", samples, result)
			}
			return float64(result.Delivered), float64(result.Tokens), err
		}})
	}
	return tasks
}

// spend measures what the daemons spend on some work beside their idle rates.
func (f *fleet) spend(ctx context.Context, idle []member, do func(context.Context) (units, tokens float64, err error)) (cost, error) {
	var c cost
	var failure error
	readings, elapsed, err := window(ctx, f.cluster, f.daemons, func() {
		started := time.Now()
		c.Units, c.Tokens, failure = do(ctx)
		c.Took = time.Since(started).Seconds()
	})
	if err == nil {
		err = failure
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
		c.Peak = max(c.Peak, bytes)
		c.Calls += r.Messages - idle[i].Messages*seconds
		c.Writes += r.Writes - idle[i].Writes*seconds
		c.Reads += r.Reads - idle[i].Reads*seconds
		c.Memory = max(c.Memory, r.Memory)
	}
	return c, nil
}
