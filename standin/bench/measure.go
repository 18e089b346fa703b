package bench

import (
	"context"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/local"
)

// Result holds the measurements of one run.
type Result struct {
	Workload            string  `json:"workload"`
	Variant             string  `json:"variant"`
	Seed                uint64  `json:"seed"`
	IdleShare           float64 `json:"idle_share"`       // share of the trainers' time
	StepSeconds         float64 `json:"step_seconds"`     // mean time from opening a step to its completion
	MeanStaleness       float64 `json:"mean_staleness"`   // mean weight versions by which samples lag at delivery
	StalenessCounts     []int   `json:"staleness_counts"` // number of samples, by staleness
	ViolatingSteps      int     `json:"broken"`           // steps that violate a guarantee
	ModelP50MS          float64 `json:"model_p50_ms"`     // complete responses to callers
	ModelP99MS          float64 `json:"model_p99_ms"`
	LookupP99MS         float64 `json:"lookup_p99_ms"`
	CompleteResponses   int     `json:"answered"`
	NotRun              int     `json:"not_run"`
	Unknown             int     `json:"unknown"`
	MismatchedResponses int     `json:"wrong"`           // responses that do not match their request
	Attempts            float64 `json:"attempts"`        // per request
	PrefixHit           float64 `json:"prefix_hit"`      // share of prompt tokens found in a prefix cache
	BusiestOverMean     float64 `json:"busiest_load"`    // busy time of the busiest engine over the mean
	WastedShare         float64 `json:"wasted_share"`    // share of tokens generated for requests that did not complete
	PlatformReads       float64 `json:"platform_reads"`  // per second
	PlatformWrites      float64 `json:"platform_writes"` // per second
	CPUSeconds          float64 `json:"cpu_seconds"`     // of the process, fakes included
	WallSeconds         float64 `json:"wall_seconds"`
	HeapMegabytes       float64 `json:"heap_megabytes"` // of the process, fakes included
}

// measure runs trainers and callers and collects their measurements.
func measure(ctx context.Context, r Run, system *local.System) (Result, error) {
	before := system.Platform.Calls()
	cpuBefore, started := processCPUTime(), time.Now()
	slowFirstEngine(system, r.Faults.SlowEngine)
	load := newCallers(r.Workload, system.Addresses(), interactiveDeadline)
	sending, stopSending := context.WithCancel(ctx)
	var sent sync.WaitGroup
	sent.Go(func() { load.send(sending, r.Workload.InteractiveRate, r.Seed, load.generate) })
	sent.Go(func() { load.send(sending, r.Workload.LookupRate, r.Seed+1, load.lookup) })
	sent.Go(func() { injectFaults(sending, r.Faults, system) })
	t := &training{run: r, system: system}
	err := t.runTrainers(ctx)
	stopSending()
	sent.Wait()
	result := Result{Workload: r.Workload.Name, Variant: r.Variant.Name, Seed: r.Seed}
	result.WallSeconds = time.Since(started).Seconds()
	result.CPUSeconds = (processCPUTime() - cpuBefore).Seconds()
	result.addTraining(t)
	result.addCallers(load)
	result.addEngines(system)
	result.addPlatform(before, system.Platform.Calls())
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	result.HeapMegabytes = float64(memory.HeapInuse) / (1 << 20)
	return result, err
}

func slowFirstEngine(system *local.System, factor float64) {
	if factor > 0 {
		system.Engines[0].SetFaults(fakeengine.Faults{SlowFactor: factor})
	}
}

const (
	crashAt        = 2 * time.Second
	outageAt       = 3 * time.Second
	outageDuration = 2 * time.Second
)

// injectFaults causes the crash and the outage at fixed times of the run.
func injectFaults(ctx context.Context, faults FaultOptions, system *local.System) {
	if sleep(ctx, crashAt) != nil {
		return
	}
	if faults.Crash {
		system.Engines[len(system.Engines)-1].Restart()
	}
	if !faults.Outage || sleep(ctx, outageAt-crashAt) != nil {
		return
	}
	system.Platform.SetFaults(fakeplatform.Faults{Outage: true})
	_ = sleep(ctx, outageDuration)
	system.Platform.SetFaults(fakeplatform.Faults{})
}

func (r *Result) addTraining(t *training) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if total := t.idleTime + t.busyTime; total > 0 {
		r.IdleShare = t.idleTime.Seconds() / total.Seconds()
	}
	samples, totalStaleness := 0, 0
	for _, step := range t.steps {
		r.StepSeconds += step.Duration.Seconds() / float64(len(t.steps))
		if step.Violated() {
			r.ViolatingSteps++
		}
		for _, n := range step.Staleness {
			for len(r.StalenessCounts) <= n {
				r.StalenessCounts = append(r.StalenessCounts, 0)
			}
			r.StalenessCounts[n]++
			samples++
			totalStaleness += n
		}
	}
	r.MeanStaleness = float64(totalStaleness) / float64(max(samples, 1))
}

func (r *Result) addCallers(c *callers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.ModelP50MS = float64(c.modelLatency.ValueAtQuantile(50)) / 1000
	r.ModelP99MS = float64(c.modelLatency.ValueAtQuantile(99)) / 1000
	r.LookupP99MS = float64(c.lookupLatency.ValueAtQuantile(99)) / 1000
	r.CompleteResponses = c.outcomes[caller.OK]
	r.NotRun = c.outcomes[fault.NotRun]
	r.Unknown = c.outcomes[fault.Unknown]
	r.MismatchedResponses = c.mismatchedResponses
	r.Attempts = float64(c.totalAttempts) / float64(max(c.responsesWithAttempts, 1))
}

func (r *Result) addEngines(system *local.System) {
	var prompt, cached, tokens, wasted int64
	var longestBusyTime, totalBusyTime time.Duration
	for _, engine := range system.Engines {
		counts := engine.Counts()
		prompt += counts.PromptTokens
		cached += counts.CachedTokens
		tokens += counts.Tokens
		wasted += counts.WastedTokens
		totalBusyTime += counts.BusyTime
		longestBusyTime = max(longestBusyTime, counts.BusyTime)
	}
	r.PrefixHit = float64(cached) / float64(max(prompt, 1))
	r.WastedShare = float64(wasted) / float64(max(tokens, 1))
	if totalBusyTime > 0 {
		r.BusiestOverMean = longestBusyTime.Seconds() * float64(len(system.Engines)) / totalBusyTime.Seconds()
	}
}

func (r *Result) addPlatform(before, after fakeplatform.CallCounts) {
	reads := after.Gets + after.Lists + after.Watches - before.Gets - before.Lists - before.Watches
	r.PlatformReads = float64(reads) / r.WallSeconds
	r.PlatformWrites = float64(after.Writes-before.Writes) / r.WallSeconds
}

// processCPUTime returns the processor time of this process.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
