package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/caller"
)

const (
	interactiveDeadline  = 10 * time.Second
	highestLatencyMicros = int64(time.Minute / time.Microsecond)
)

// callers sends requests at a fixed mean rate, without waiting for earlier responses.
type callers struct {
	client    *caller.Client
	workload  Workload
	addresses []string
	deadline  time.Duration

	mu                    sync.Mutex
	modelLatency          *hdrhistogram.Histogram // µs, complete responses of the model service
	lookupLatency         *hdrhistogram.Histogram // µs, complete responses of the plain service
	outcomes              map[fault.Outcome]int
	totalAttempts         int // of responses that state their attempts
	responsesWithAttempts int
	mismatchedResponses   int
}

func newCallers(w Workload, addresses []string, deadline time.Duration) *callers {
	return &callers{
		client: caller.NewClient(), workload: w, addresses: addresses, deadline: deadline,
		modelLatency: hdrhistogram.New(1, highestLatencyMicros, 3), lookupLatency: hdrhistogram.New(1, highestLatencyMicros, 3),
		outcomes: map[fault.Outcome]int{},
	}
}

// send sends requests with exponentially distributed intervals until ctx ends, then waits for
// the responses.
func (c *callers) send(ctx context.Context, rate float64, seed uint64, sendOne func(n int, random *rand.Rand)) {
	if rate <= 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, 7))
	var sent sync.WaitGroup
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if sleep(ctx, time.Until(next)) != nil {
			break
		}
		requestRandom := rand.New(rand.NewPCG(seed, uint64(n)))
		sent.Go(func() { sendOne(n, requestRandom) })
	}
	sent.Wait()
}

// generate sends one model request, whose prompt starts with one of the shared prefixes.
func (c *callers) generate(n int, random *rand.Rand) {
	prefixIndex := random.IntN(c.workload.SharedPrefixes)
	sharedPrefix := randomPrompt(rand.New(rand.NewPCG(uint64(prefixIndex), 99)), c.workload.PromptWords)
	ctx, cancel := context.WithTimeout(context.Background(), 2*c.deadline)
	defer cancel()
	result := c.client.Generate(ctx, caller.Request{
		Daemon: c.addresses[n%len(c.addresses)], Service: c.workload.ModelService, ID: fmt.Sprintf("ask-%d", n),
		Prompt: sharedPrefix + fmt.Sprintf("question %d", n), MaxTokens: c.workload.InteractiveMaxTokens, Seed: int64(n),
		PrefixKey: fmt.Sprintf("desk-%d", prefixIndex), Deadline: c.deadline,
	})
	c.record(c.modelLatency, result)
}

// lookup sends one request to the plain service.
func (c *callers) lookup(n int, _ *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*c.deadline)
	defer cancel()
	result := c.client.Plain(ctx, caller.Request{
		Daemon: c.addresses[n%len(c.addresses)], Service: c.workload.PlainService, ID: fmt.Sprintf("lookup-%d", n),
		Method: http.MethodGet, Path: fmt.Sprintf("/members/%d", n), Deadline: c.deadline,
	})
	c.record(c.lookupLatency, result)
}

func (c *callers) record(latency *hdrhistogram.Histogram, result caller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[result.Outcome]++
	if result.Attempts > 0 {
		c.responsesWithAttempts++
		c.totalAttempts += result.Attempts
	}
	if result.Mismatch != "" {
		c.mismatchedResponses++
	}
	if result.Outcome == caller.OK {
		_ = latency.RecordValue(min(result.Duration.Microseconds(), highestLatencyMicros))
	}
}
