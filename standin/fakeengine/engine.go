// Package fakeengine is a stand-in for a model engine with believable costs:
// continuous batching, a prefix cache with limited memory, priorities, heavy-tailed
// lengths, a lagging load report and weight swaps. It generates words that follow from
// prompt and seed, so that a client can check whole answers.
package fakeengine

import (
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// Config configures an Engine. Zero values are replaced by defaults.
type Config struct {
	ID            string
	Pool          string
	WeightAddress string        // host:port of the weight store; empty: staging is immediate
	Version       int64         // active weight version at the start, 0 for none
	TokenTime     time.Duration // one token of a batch of one
	BatchTime     time.Duration // added to TokenTime for each further request in the batch
	PrefillTime   time.Duration // one prompt token that is not cached
	ActivateTime  time.Duration // pause of a weight swap
	ReportLag     time.Duration // age of the load that Status reports
	ChunkTokens   int           // tokens a chunk
	MaxBatch      int           // requests in the batch
	MaxWaiting    int           // requests in the queue before others are refused
	CacheTokens   int           // memory of the prefix cache
	MedianTokens  int           // median length of a completion
	LengthSpread  float64       // sigma of the log-normal lengths
	ChecksFencing bool          // orders with an old fencing number are refused
}

func (c Config) withDefaults() Config {
	c.TokenTime = defaulted(c.TokenTime, time.Millisecond)
	c.BatchTime = defaulted(c.BatchTime, 100*time.Microsecond)
	c.PrefillTime = defaulted(c.PrefillTime, 20*time.Microsecond)
	c.ActivateTime = defaulted(c.ActivateTime, 20*time.Millisecond)
	c.ReportLag = defaulted(c.ReportLag, 500*time.Millisecond)
	c.ChunkTokens = defaulted(c.ChunkTokens, 8)
	c.MaxBatch = defaulted(c.MaxBatch, 16)
	c.MaxWaiting = defaulted(c.MaxWaiting, 256)
	c.CacheTokens = defaulted(c.CacheTokens, 1<<14)
	c.MedianTokens = defaulted(c.MedianTokens, 64)
	c.LengthSpread = defaulted(c.LengthSpread, 0.7)
	return c
}

func defaulted[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Counts are what the engine counts.
type Counts struct {
	Started       int64            `json:"started"`         // requests that entered the batch
	Completed     int64            `json:"completed"`       // requests generated whole
	Cancelled     int64            `json:"cancelled"`       // requests whose caller went away
	Refused       int64            `json:"refused"`         // requests not started
	Tokens        int64            `json:"tokens"`          // tokens generated
	WastedTokens  int64            `json:"wasted_tokens"`   // tokens of requests that were not completed
	PromptTokens  int64            `json:"prompt_tokens"`   // tokens of the prompts
	CachedTokens  int64            `json:"cached_tokens"`   // of them found in the prefix cache
	BusyTime      time.Duration    `json:"busy_ns"`         // time with a batch
	FencedOrders  int64            `json:"fenced_orders"`   // orders refused for an old fencing number
	Activations   int64            `json:"activations"`     // versions made active
	ActivatedAt   time.Time        `json:"activated_at"`    // the last of them
	Orders        int64            `json:"orders"`          // orders taken, refused ones included
	RunsByRequest map[string]int64 `json:"runs_by_request"` // starts by request id
}

// sequence is one request in the queue or the batch.
type sequence struct {
	request  backend.GenerateRequest
	arrival  int64 // order of arrival
	length   int   // tokens to generate
	sent     int   // tokens generated
	started  bool
	untagged bool
	truncate bool
	chunks   chan backend.Chunk // has room for the whole completion
	gone     <-chan struct{}    // closed when the caller went away
	aborted  chan struct{}      // closed when the engine lost the request
}

// Engine is one model engine.
type Engine struct {
	config Config
	wake   chan struct{}
	closed chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	arrivals int64
	waiting  []*sequence
	running  []*sequence
	version  int64
	staged   int64
	whole    bool
	fence    int64
	pause    time.Duration // of a swap, taken by the next decoding step
	cache    *prefixCache
	loads    []loadAt
	faults   Faults
	counts   Counts
}

// New returns a running engine. Close ends it.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config: config, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{}),
		version: config.Version, whole: config.Version > 0, cache: newPrefixCache(config.CacheTokens),
	}
	e.counts.RunsByRequest = map[string]int64{}
	go e.run()
	return e
}

// Close ends the engine and the requests in progress.
func (e *Engine) Close() {
	close(e.closed)
	<-e.done
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAll()
}

// Restart loses all requests, weights and cached prefixes, as a crash and a restart do.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAll()
	e.version, e.staged, e.whole, e.fence = 0, 0, false, 0
	e.cache = newPrefixCache(e.config.CacheTokens)
}

func (e *Engine) abortAll() {
	for _, s := range append(e.running, e.waiting...) {
		e.drop(s)
		close(s.aborted)
	}
	e.running, e.waiting = nil, nil
}

// Counts returns a copy of the counts.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.RunsByRequest = make(map[string]int64, len(e.counts.RunsByRequest))
	for id, n := range e.counts.RunsByRequest {
		counts.RunsByRequest[id] = n
	}
	return counts
}

// Status returns the engine's report. Its load lags.
func (e *Engine) Status() backend.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.EngineStatus{
		Load: e.reportedLoad(time.Now()), Version: e.version, Staged: e.staged, Whole: e.whole,
		Leaving: e.faults.Leaving, Fence: e.fence,
	}
}

// loadAt is the load from a point in time on.
type loadAt struct {
	since time.Time
	load  backend.Load
}

func (e *Engine) load() backend.Load {
	return backend.Load{Running: len(e.running), Waiting: len(e.waiting)}
}

// recordLoad keeps the load for the lagging report.
func (e *Engine) recordLoad(now time.Time) {
	e.loads = append(e.loads, loadAt{now, e.load()})
	cut := 0
	for cut+1 < len(e.loads) && now.Sub(e.loads[cut+1].since) >= e.config.ReportLag {
		cut++
	}
	e.loads = e.loads[cut:]
}

func (e *Engine) reportedLoad(now time.Time) backend.Load {
	var load backend.Load
	for _, l := range e.loads {
		if now.Sub(l.since) < e.config.ReportLag {
			break
		}
		load = l.load
	}
	return load
}
