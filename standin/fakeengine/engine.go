// Package fakeengine is a fake model engine with realistic costs: continuous batching,
// a prefix cache of limited size, priorities, heavy-tailed completion lengths, a delayed
// load report and weight swaps. The words of a completion depend only on prompt and weight
// version, and its length only on prompt, seed and the request's limit, so that a client can
// check complete responses.
package fakeengine

import (
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// Config configures an Engine. Zero values are replaced by defaults.
type Config struct {
	ID               string
	Pool             string
	WeightAddress    string        // host:port of the weight store; if empty, staging is immediate
	Version          int64         // initially active weight version, 0 for none
	TokenTime        time.Duration // time to decode one token in a batch of one request
	ExtraRequestTime time.Duration // added to TokenTime for each further request in the batch
	PrefillTime      time.Duration // time to process one prompt token that is not cached
	ActivateTime     time.Duration // duration of a weight swap, during which decoding stops
	ReportLag        time.Duration // age of the load in Status and delay of cache events
	ChunkTokens      int           // tokens per chunk
	MaxBatch         int           // maximum requests in the batch
	MaxWaiting       int           // maximum requests in the queue; further ones are refused
	CacheTokens      int           // capacity of the prefix cache in tokens
	MedianTokens     int           // median length of a completion
	LengthSpread     float64       // sigma of the log-normal distribution of lengths
	ChecksFencing    bool          // orders with an older fencing token are refused
}

func (c Config) withDefaults() Config {
	c.TokenTime = orDefault(c.TokenTime, time.Millisecond)
	c.ExtraRequestTime = orDefault(c.ExtraRequestTime, 100*time.Microsecond)
	c.PrefillTime = orDefault(c.PrefillTime, 20*time.Microsecond)
	c.ActivateTime = orDefault(c.ActivateTime, 20*time.Millisecond)
	c.ReportLag = orDefault(c.ReportLag, 500*time.Millisecond)
	c.ChunkTokens = orDefault(c.ChunkTokens, 8)
	c.MaxBatch = orDefault(c.MaxBatch, 16)
	c.MaxWaiting = orDefault(c.MaxWaiting, 256)
	c.CacheTokens = orDefault(c.CacheTokens, 1<<14)
	c.MedianTokens = orDefault(c.MedianTokens, 64)
	c.LengthSpread = orDefault(c.LengthSpread, 0.7)
	return c
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Counts are the counters of an engine.
type Counts struct {
	Started       int64            `json:"started"`         // requests that entered the batch
	Completed     int64            `json:"completed"`       // requests whose completion was generated in full
	Canceled      int64            `json:"cancelled"`       // requests ended early: caller disconnected or engine restarted
	Refused       int64            `json:"refused"`         // requests not started
	Tokens        int64            `json:"tokens"`          // tokens generated
	WastedTokens  int64            `json:"wasted_tokens"`   // tokens of requests that were not completed
	PromptTokens  int64            `json:"prompt_tokens"`   // tokens of the prompts
	CachedTokens  int64            `json:"cached_tokens"`   // prompt tokens found in the prefix cache
	BusyTime      time.Duration    `json:"busy_ns"`         // time spent on chunks, including prompts and weight swaps
	FencedOrders  int64            `json:"fenced_orders"`   // orders refused because of an older fencing token
	Activations   int64            `json:"activations"`     // versions activated
	ActivatedAt   time.Time        `json:"activated_at"`    // time of the last activation
	Orders        int64            `json:"orders"`          // orders received, including refused ones
	RunsByRequest map[string]int64 `json:"runs_by_request"` // starts by request id
}

// sequence is one request in the queue or the batch.
type sequence struct {
	request  backend.GenerateRequest
	arrival  int64 // position in the order of arrival
	length   int   // tokens to generate
	sent     int   // tokens generated
	started  bool
	untagged bool               // chunks name no weight version
	truncate bool               // the stream ends without its end marker
	chunks   chan backend.Chunk // buffers the whole completion
	canceled <-chan struct{}    // closed when the caller disconnects
	aborted  chan struct{}      // closed when the engine restarts or closes
}

// Engine is a fake model engine.
type Engine struct {
	config Config
	wake   chan struct{} // receives after a request is queued
	closed chan struct{}
	done   chan struct{}

	mu              sync.Mutex
	arrivals        int64
	waiting         []*sequence
	running         []*sequence
	version         int64
	staged          int64
	complete        bool
	fencingToken    int64
	pendingSwapTime time.Duration // duration of swaps, added to the next chunk
	cache           *prefixCache
	loadHistory     []loadRecord
	faults          Faults
	counts          Counts
}

// New starts an engine. Close stops it.
func New(config Config) *Engine {
	config = config.withDefaults()
	e := &Engine{
		config: config, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{}),
		version: config.Version, complete: config.Version > 0, cache: newPrefixCache(config.CacheTokens),
	}
	e.counts.RunsByRequest = map[string]int64{}
	go e.run()
	return e
}

// Close stops the engine and aborts all requests.
func (e *Engine) Close() {
	close(e.closed)
	<-e.done
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAll()
}

// Restart aborts all requests and clears the weights and the prefix cache, as a crash
// and restart do.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAll()
	e.version, e.staged, e.complete, e.fencingToken = 0, 0, false, 0
	e.cache = newPrefixCache(e.config.CacheTokens)
}

func (e *Engine) abortAll() {
	for _, s := range append(e.running, e.waiting...) {
		e.countCanceled(s)
		close(s.aborted)
	}
	e.running, e.waiting = nil, nil
}

// Counts returns a copy of the counters.
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

// Status returns the engine's status. Its load is older by Config.ReportLag.
func (e *Engine) Status() backend.EngineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return backend.EngineStatus{
		Load: e.reportedLoad(time.Now()), Version: e.version, StagedVersion: e.staged, Complete: e.complete,
		Leaving: e.faults.Leaving, HighestFencingToken: e.fencingToken,
	}
}

// loadRecord is the load from a point in time until the next record.
type loadRecord struct {
	since time.Time
	load  backend.Load
}

func (e *Engine) load() backend.Load {
	return backend.Load{Running: len(e.running), Waiting: len(e.waiting)}
}

// recordLoad adds the current load to the history and removes records that are no
// longer needed for a report.
func (e *Engine) recordLoad(now time.Time) {
	e.loadHistory = append(e.loadHistory, loadRecord{now, e.load()})
	firstKept := 0
	for firstKept+1 < len(e.loadHistory) && now.Sub(e.loadHistory[firstKept+1].since) >= e.config.ReportLag {
		firstKept++
	}
	e.loadHistory = e.loadHistory[firstKept:]
}

func (e *Engine) reportedLoad(now time.Time) backend.Load {
	var load backend.Load
	for _, l := range e.loadHistory {
		if now.Sub(l.since) < e.config.ReportLag {
			break
		}
		load = l.load
	}
	return load
}
