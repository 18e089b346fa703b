package duty

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"
)

// testTimeout is the timeout of a call to the platform's API.
const testTimeout = 1500 * time.Millisecond

// execution is a call that the platform executed or refused because of its token.
type execution struct {
	at     time.Time
	by     string // process that sent it
	report UsageReport
	reply  Reply
}

// fakePlatform executes calls. Its fields other than the executions are set by the test.
type fakePlatform struct {
	mu         sync.Mutex
	fence      bool
	highest    int64
	received   []execution // all calls, also those that were not executed; without replies
	executions []execution
	accepted   map[int64]time.Time // when the first report of a window was accepted
	late       sync.WaitGroup

	down     bool          // calls get no answer and are not executed
	lose     int           // this many next calls get no answer and are executed after delay
	delay    time.Duration // of lost calls
	throttle int           // this many next calls get 429
}

func (p *fakePlatform) set(change func(p *fakePlatform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *fakePlatform) log() []execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.executions)
}

// acceptedAt returns when the first report of each window was accepted.
func (p *fakePlatform) acceptedAt() map[int64]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.accepted)
}

func (p *fakePlatform) execute(by string, report UsageReport) Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := Accepted
	if p.fence && report.Token < p.highest {
		reply = Fenced
	}
	p.highest = max(p.highest, report.Token)
	p.executions = append(p.executions, execution{time.Now(), by, report, reply})
	if _, done := p.accepted[report.Window]; reply == Accepted && !done {
		p.accepted[report.Window] = time.Now()
	}
	return reply
}

func (p *fakePlatform) call(ctx context.Context, by string, report UsageReport) (Reply, error) {
	report.Body = slices.Clone(report.Body)
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	p.mu.Lock()
	p.received = append(p.received, execution{at: time.Now(), by: by, report: report})
	down, lost, throttled, delay := p.down, p.lose > 0, p.throttle > 0, p.delay
	switch {
	case down:
	case lost:
		p.lose--
	case throttled:
		p.throttle--
	}
	p.mu.Unlock()
	switch {
	case down:
		<-ctx.Done()
		return "", errors.New("no answer")
	case lost:
		p.late.Go(func() {
			time.Sleep(delay)
			p.execute(by, report)
		})
		<-ctx.Done()
		return "", errors.New("no answer")
	case throttled:
		return Throttled, nil
	}
	time.Sleep(30 * time.Millisecond)
	return p.execute(by, report), nil
}
