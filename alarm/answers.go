package alarm

import (
	"fmt"
	"sync"
	"time"
)

// AnswerConfig configures an AnswerBudget.
type AnswerConfig struct {
	MaxUnansweredPercent int              // maximum percentage of a service's requests that may stay unanswered
	MinUnanswered        int              // minimum number of unanswered requests in a window that raises an alarm
	Window               time.Duration    // length of the windows in which requests are counted
	Now                  func() time.Time // clock; nil means time.Now
}

// AnswerBudget counts answered and unanswered requests of callers, and records a broken
// promise when the share of unanswered requests of a service exceeds the limit.
type AnswerBudget struct {
	config   AnswerConfig
	recorder Recorder

	mu      sync.Mutex
	windows map[string]*answerWindow // by service
}

type answerWindow struct {
	start      time.Time
	answered   int
	unanswered int
}

// NewAnswerBudget returns an AnswerBudget that has counted no requests yet.
func NewAnswerBudget(config AnswerConfig, recorder Recorder) *AnswerBudget {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &AnswerBudget{config: config, recorder: recorder, windows: map[string]*answerWindow{}}
}

// Answered counts a request that was answered.
func (b *AnswerBudget) Answered(service string) {
	b.mu.Lock()
	b.window(service).answered++
	b.mu.Unlock()
	b.recorder.Kept(AnsweredInTime, service)
}

// Unanswered counts a request that ended without an answer. subject is the request ID, and
// reason states why there was no answer.
func (b *AnswerBudget) Unanswered(service, subject, reason string) {
	b.mu.Lock()
	w := b.window(service)
	w.unanswered++
	total, unanswered := w.answered+w.unanswered, w.unanswered
	b.mu.Unlock()
	if unanswered < b.config.MinUnanswered || unanswered*100 <= b.config.MaxUnansweredPercent*total {
		return
	}
	b.recorder.Broken(AnsweredInTime, Evidence{
		Service: service,
		Subject: subject,
		Detail:  fmt.Sprintf("%d of %d requests unanswered within %v; last: %s", unanswered, total, b.config.Window, reason),
	})
}

// window returns the service's current window. The caller holds mu.
func (b *AnswerBudget) window(service string) *answerWindow {
	now := b.config.Now()
	w := b.windows[service]
	if w == nil || now.Sub(w.start) >= b.config.Window {
		w = &answerWindow{start: now}
		b.windows[service] = w
	}
	return w
}
