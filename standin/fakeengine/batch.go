package fakeengine

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// run decodes one chunk per iteration until the engine is closed.
func (e *Engine) run() {
	defer close(e.done)
	chunkEnd := time.Now()
	for {
		duration, busy := e.prepare()
		if !busy {
			select {
			case <-e.wake:
			case <-e.closed:
				return
			}
			chunkEnd = time.Now()
			continue
		}
		if now := time.Now(); chunkEnd.Before(now.Add(-duration)) {
			chunkEnd = now
		}
		chunkEnd = chunkEnd.Add(duration)
		select {
		case <-time.After(time.Until(chunkEnd)):
		case <-e.closed:
			return
		}
		e.decode(duration)
	}
}

// prepare admits requests to the batch and returns how long the next chunk takes. It
// returns false if the batch is empty.
func (e *Engine) prepare() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = e.removeCanceled(e.running)
	e.waiting = e.removeCanceled(e.waiting)
	duration := e.pendingSwapTime + e.admit()
	e.pendingSwapTime = 0
	e.recordLoad(time.Now())
	if len(e.running) == 0 {
		return 0, false
	}
	tokenTime := e.config.TokenTime + time.Duration(len(e.running)-1)*e.config.ExtraRequestTime
	duration += time.Duration(e.config.ChunkTokens) * tokenTime
	if e.faults.SlowFactor > 0 {
		duration = time.Duration(e.faults.SlowFactor * float64(duration))
	}
	return duration, true
}

// admit moves waiting requests into the batch, higher priorities first and in order of
// arrival within a priority. It returns the time to process their prompts.
func (e *Engine) admit() time.Duration {
	if len(e.waiting) == 0 || len(e.running) >= e.config.MaxBatch {
		return 0
	}
	sort.Slice(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.request.Priority != b.request.Priority {
			return a.request.Priority > b.request.Priority
		}
		return a.arrival < b.arrival
	})
	n := min(len(e.waiting), e.config.MaxBatch-len(e.running))
	var prefill time.Duration
	for _, s := range e.waiting[:n] {
		s.started = true
		e.counts.Started++
		e.counts.RunsByRequest[s.request.RequestID]++
		tokens, cached := e.cache.lookupAndStore(s.request.Prompt)
		e.counts.PromptTokens += int64(tokens)
		e.counts.CachedTokens += int64(cached)
		prefill += time.Duration(tokens-cached) * e.config.PrefillTime
	}
	e.running = append(e.running, e.waiting[:n]...)
	e.waiting = append([]*sequence(nil), e.waiting[n:]...)
	return prefill
}

// removeCanceled returns the sequences whose caller has not disconnected. It reuses the
// slice.
func (e *Engine) removeCanceled(sequences []*sequence) []*sequence {
	kept := sequences[:0]
	for _, s := range sequences {
		select {
		case <-s.canceled:
			e.countCanceled(s)
		default:
			kept = append(kept, s)
		}
	}
	return kept
}

// countCanceled counts a request that ends before its completion is generated in full.
func (e *Engine) countCanceled(s *sequence) {
	e.counts.Canceled++
	e.counts.WastedTokens += int64(s.sent)
}

// decode generates one chunk for each request in the batch.
func (e *Engine) decode(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.BusyTime += duration
	kept := e.running[:0]
	for _, s := range e.running {
		chunk := e.chunk(s)
		s.sent += chunk.Tokens
		e.counts.Tokens += int64(chunk.Tokens)
		s.chunks <- chunk
		if chunk.End {
			e.counts.Completed++
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
}

func (e *Engine) chunk(s *sequence) backend.Chunk {
	n := min(e.config.ChunkTokens, s.length-s.sent)
	c := backend.Chunk{
		RequestID: s.request.RequestID, FirstToken: s.sent, Tokens: n,
		Text: completionWords(s.request.Prompt, e.completionVersion(), s.sent, n), Version: e.version,
	}
	if s.untagged || !e.complete {
		c.Version = 0
	}
	if s.sent+n == s.length {
		c.End = true
		c.FinishReason = "stop"
		if s.length == s.request.MaxTokens {
			c.FinishReason = "length"
		}
	}
	return c
}

// completionVersion returns the weight version that completions are generated from. It is
// negative after a swap that failed partway, so that the completion matches no version.
func (e *Engine) completionVersion() int64 {
	if !e.complete {
		return -e.version
	}
	return e.version
}

// enqueue queues a request, or returns nil and the reason if the engine refuses it.
// canceled is closed when the caller disconnects.
func (e *Engine) enqueue(r backend.GenerateRequest, canceled <-chan struct{}) (*sequence, refusalReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.checkNewRequest(); reason != accepted {
		e.counts.Refused++
		return nil, reason
	}
	e.arrivals++
	length := completionLength(r, e.config)
	s := &sequence{
		request: r, arrival: e.arrivals, length: length, canceled: canceled, aborted: make(chan struct{}),
		chunks: make(chan backend.Chunk, length/e.config.ChunkTokens+1),
	}
	s.untagged = consumeFault(&e.faults.Untagged)
	s.truncate = consumeFault(&e.faults.Truncate)
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, accepted
}
