package fakeengine

import (
	"sort"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// run decodes chunk by chunk until the engine is closed.
func (e *Engine) run() {
	defer close(e.done)
	next := time.Now()
	for {
		duration, busy := e.prepare()
		if !busy {
			select {
			case <-e.wake:
			case <-e.closed:
				return
			}
			next = time.Now()
			continue
		}
		if now := time.Now(); next.Before(now.Add(-duration)) {
			next = now
		}
		next = next.Add(duration)
		select {
		case <-time.After(time.Until(next)):
		case <-e.closed:
			return
		}
		e.decode(duration)
	}
}

// prepare admits requests to the batch and returns how long its next chunk takes.
func (e *Engine) prepare() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = e.dropGone(e.running)
	e.waiting = e.dropGone(e.waiting)
	duration := e.pause + e.admit()
	e.pause = 0
	e.recordLoad(time.Now())
	if len(e.running) == 0 {
		return 0, false
	}
	token := e.config.TokenTime + time.Duration(len(e.running)-1)*e.config.BatchTime
	duration += time.Duration(e.config.ChunkTokens) * token
	if e.faults.Slow > 0 {
		duration = time.Duration(e.faults.Slow * float64(duration))
	}
	return duration, true
}

// admit moves waiting requests into the batch, higher priorities first, and returns
// the time that their prompts take.
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
		tokens, cached := e.cache.admit(s.request.Prompt)
		e.counts.PromptTokens += int64(tokens)
		e.counts.CachedTokens += int64(cached)
		prefill += time.Duration(tokens-cached) * e.config.PrefillTime
	}
	e.running = append(e.running, e.waiting[:n]...)
	e.waiting = append([]*sequence(nil), e.waiting[n:]...)
	return prefill
}

func (e *Engine) dropGone(sequences []*sequence) []*sequence {
	kept := sequences[:0]
	for _, s := range sequences {
		select {
		case <-s.gone:
			e.drop(s)
		default:
			kept = append(kept, s)
		}
	}
	return kept
}

// drop counts a request that is not completed.
func (e *Engine) drop(s *sequence) {
	e.counts.Cancelled++
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
		RequestID: s.request.RequestID, First: s.sent, Tokens: n,
		Text: words(s.request.Prompt, e.textVersion(), s.sent, n), Version: e.version,
	}
	if s.untagged || !e.whole {
		c.Version = 0
	}
	if s.sent+n == s.length {
		c.End = true
		c.Reason = "stop"
		if s.length == s.request.MaxTokens {
			c.Reason = "length"
		}
	}
	return c
}

// textVersion is the version that shows in the text, negative after a swap that failed
// partway: such text fits no version.
func (e *Engine) textVersion() int64 {
	if !e.whole {
		return -e.version
	}
	return e.version
}

// enqueue takes a request; nil when the engine refuses it.
func (e *Engine) enqueue(r backend.GenerateRequest, gone <-chan struct{}) (*sequence, refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if why := e.refusal(); why != accepted {
		e.counts.Refused++
		return nil, why
	}
	e.arrivals++
	length := completionLength(r, e.config)
	s := &sequence{
		request: r, arrival: e.arrivals, length: length, gone: gone, aborted: make(chan struct{}),
		chunks: make(chan backend.Chunk, length/e.config.ChunkTokens+1),
	}
	s.untagged = spend(&e.faults.Untagged)
	s.truncate = spend(&e.faults.Truncate)
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, accepted
}
