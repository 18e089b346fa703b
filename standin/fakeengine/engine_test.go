package fakeengine

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// newFastEngine starts an engine with short delays.
func newFastEngine(t *testing.T, change func(*Config)) *Engine {
	t.Helper()
	config := Config{
		ID: "e", Pool: "p", Version: 1, TokenTime: 10 * time.Microsecond, ExtraRequestTime: time.Microsecond,
		PrefillTime: time.Microsecond, ActivateTime: time.Millisecond, ReportLag: time.Millisecond,
	}
	if change != nil {
		change(&config)
	}
	e := New(config)
	t.Cleanup(e.Close)
	return e
}

func generate(t *testing.T, e *Engine, r backend.GenerateRequest) []backend.Chunk {
	t.Helper()
	s, reason := e.enqueue(r, nil)
	if reason != accepted {
		t.Fatalf("refused: %d", reason)
	}
	return collectChunks(t, s)
}

func collectChunks(t *testing.T, s *sequence) []backend.Chunk {
	t.Helper()
	var chunks []backend.Chunk
	timeout := time.After(20 * time.Second)
	for {
		select {
		case c := <-s.chunks:
			chunks = append(chunks, c)
			if c.End {
				return chunks
			}
		case <-timeout:
			t.Fatal("completion did not end within 20 s")
		}
	}
}

func TestCompletionIsDeterministic(t *testing.T) {
	r := backend.GenerateRequest{RequestID: "r", Prompt: "a b c", MaxTokens: 100, Seed: 3}
	a, b := generate(t, newFastEngine(t, nil), r), generate(t, newFastEngine(t, nil), r)
	if len(a) != len(b) || a[0].Text != b[0].Text {
		t.Errorf("completions differ: %v and %v", a, b)
	}
}

func TestCompletionLengthIsHeavyTailedAndLimited(t *testing.T) {
	config := Config{}.withDefaults()
	longest, sum := 0, 0
	for seed := range int64(2000) {
		n := completionLength(backend.GenerateRequest{Prompt: "p", Seed: seed, MaxTokens: 400}, config)
		if n < 1 || n > 400 {
			t.Fatalf("length %d", n)
		}
		longest, sum = max(longest, n), sum+n
	}
	if mean := sum / 2000; longest < 4*mean {
		t.Errorf("longest %d, mean %d", longest, mean)
	}
}

func TestTokenRatePerRequestFallsWithBatchSize(t *testing.T) {
	e := newFastEngine(t, func(c *Config) { c.ExtraRequestTime = 20 * time.Microsecond })
	chunkTime := func(batch int) time.Duration {
		e.mu.Lock()
		e.running = make([]*sequence, batch)
		for i := range e.running {
			e.running[i] = &sequence{canceled: nil}
		}
		e.mu.Unlock()
		duration, _ := e.prepare()
		e.mu.Lock()
		e.running = nil
		e.mu.Unlock()
		return duration
	}
	if one, eight := chunkTime(1), chunkTime(8); eight < 2*one {
		t.Errorf("a chunk takes %s alone and %s in a batch of 8", one, eight)
	}
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	e := newFastEngine(t, func(c *Config) { c.MaxBatch, c.TokenTime = 1, time.Minute })
	e.mu.Lock()
	e.running = []*sequence{{length: 1 << 30, chunks: make(chan backend.Chunk, 1<<10)}} // the batch is full
	e.mu.Unlock()
	low, _ := e.enqueue(backend.GenerateRequest{RequestID: "low", Prompt: "a", MaxTokens: 1, Priority: backend.PrioritySample}, nil)
	high, _ := e.enqueue(backend.GenerateRequest{RequestID: "high", Prompt: "b", MaxTokens: 1, Priority: backend.PriorityInteractive}, nil)
	e.mu.Lock()
	e.running = nil
	e.admit()
	first := e.running[0]
	e.mu.Unlock()
	if first != high || low.started {
		t.Errorf("request %s started first", first.request.RequestID)
	}
}

func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(4 * blockTokens)
	long := strings.Repeat("w ", 3*blockTokens)
	if tokens, cached := c.lookupAndStore(long); tokens != 3*blockTokens || cached != 0 {
		t.Errorf("first use: %d of %d cached", cached, tokens)
	}
	if _, cached := c.lookupAndStore(long + "and a question"); cached != 3*blockTokens {
		t.Errorf("shared prefix: %d cached", cached)
	}
	c.lookupAndStore(strings.Repeat("x ", 4*blockTokens)) // evicts all of it
	if _, cached := c.lookupAndStore(long); cached != 0 {
		t.Errorf("after eviction: %d cached", cached)
	}
	evicted := 0
	for _, e := range c.events.after(0, time.Now().Add(time.Hour), 0) {
		if !e.Stored {
			evicted++
		}
	}
	if evicted == 0 {
		t.Error("no eviction event")
	}
}

func TestCacheEventsAreDelayedAndLossy(t *testing.T) {
	var c cacheEvents
	for range 2 * lostEventInterval {
		c.add(1, true)
	}
	now := time.Now()
	if early := c.after(0, now, time.Hour); len(early) != 0 {
		t.Errorf("%d events published before the report lag", len(early))
	}
	if all := c.after(0, now.Add(time.Hour), time.Minute); len(all) != 2*lostEventInterval-2 {
		t.Errorf("%d of %d events published", len(all), 2*lostEventInterval)
	}
}

func TestCompletionDependsOnWeightVersion(t *testing.T) {
	e := newFastEngine(t, nil)
	chunks := generate(t, e, backend.GenerateRequest{RequestID: "r", Prompt: "p", MaxTokens: 8, Seed: 1})
	n := 0
	text := ""
	for _, c := range chunks {
		n += c.Tokens
		text += c.Text
	}
	if text != CompletionText("p", []backend.Segment{{Version: 1, Tokens: n}}) {
		t.Error("completion does not match version 1")
	}
	if text == CompletionText("p", []backend.Segment{{Version: 2, Tokens: n}}) {
		t.Error("completion matches version 2 as well")
	}
}

func TestSwaps(t *testing.T) {
	e := newFastEngine(t, func(c *Config) { c.ChecksFencing = true })
	order := backend.Order{Version: 2, FencingToken: 5}
	if err := e.Activate(order); !errors.Is(err, errNotStaged) {
		t.Fatalf("activated without staging: %v", err)
	}
	if err := e.Stage(context.Background(), order); err != nil {
		t.Fatal(err)
	}
	e.SetFaults(Faults{FailActivate: 1})
	if err := e.Activate(order); !errors.Is(err, errInjected) || e.Status().Complete {
		t.Fatalf("failed swap: %v, complete %v", err, e.Status().Complete)
	}
	if err := e.Activate(backend.Order{Version: 2, FencingToken: 4}); !errors.Is(err, errFenced) {
		t.Errorf("old fencing token: %v", err)
	}
	if err := e.Activate(order); err != nil || e.Status().Version != 2 || !e.Status().Complete {
		t.Errorf("repeated order: %v, %+v", err, e.Status())
	}
	e.Restart()
	if s := e.Status(); s.Version != 0 || s.Complete {
		t.Errorf("after a restart: %+v", s)
	}
	if _, reason := e.enqueue(backend.GenerateRequest{RequestID: "r"}, nil); reason != refusedNoWeights {
		t.Errorf("engine without weights accepted a request: %d", reason)
	}
}

func TestOldOrdersAreAcceptedWithoutFencingCheck(t *testing.T) {
	e := newFastEngine(t, nil)
	for _, fencingToken := range []int64{5, 4} {
		if err := e.Stage(context.Background(), backend.Order{Version: 2, FencingToken: fencingToken}); err != nil {
			t.Errorf("fencing token %d: %v", fencingToken, err)
		}
	}
}

func TestCanceledRequestIsRemovedFromTheBatch(t *testing.T) {
	e := newFastEngine(t, func(c *Config) { c.MedianTokens = 1 << 16 })
	canceled := make(chan struct{})
	if _, reason := e.enqueue(backend.GenerateRequest{RequestID: "r", Prompt: "p"}, canceled); reason != accepted {
		t.Fatal("refused")
	}
	close(canceled)
	for deadline := time.Now().Add(20 * time.Second); e.Counts().Canceled == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("canceled request still in the batch after 20 s")
		}
	}
}
