package alarm

import (
	"fmt"
	"sync"
	"time"
)

// AnswerConfig configures an AnswerBudget.
type AnswerConfig struct {
	Share   int              // percent of a service's requests that may stay unanswered
	Minimum int              // unanswered requests in a window below which no alarm is raised
	Window  time.Duration    // time over which requests are counted
	Now     func() time.Time // clock, nil for time.Now
}

// AnswerBudget counts how requests of callers end, and records a broken promise
// when too large a share of a service's requests stays unanswered.
type AnswerBudget struct {
	config   AnswerConfig
	recorder Recorder

	mu      sync.Mutex
	windows map[string]*answerWindow // by service
}

type answerWindow struct {
	begin      time.Time
	answered   int
	unanswered int
}

// NewAnswerBudget returns a budget without requests.
func NewAnswerBudget(config AnswerConfig, recorder Recorder) *AnswerBudget {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &AnswerBudget{config: config, recorder: recorder, windows: map[string]*answerWindow{}}
}

// Answered counts a request that got an answer.
func (b *AnswerBudget) Answered(service string) {
	b.mu.Lock()
	b.window(service).answered++
	b.mu.Unlock()
	b.recorder.Kept(Unanswered, service)
}

// Unanswered counts a request that ended without an answer. subject is its id, and
// reason tells why.
func (b *AnswerBudget) Unanswered(service, subject, reason string) {
	b.mu.Lock()
	w := b.window(service)
	w.unanswered++
	total, unanswered := w.answered+w.unanswered, w.unanswered
	b.mu.Unlock()
	if unanswered < b.config.Minimum || unanswered*100 <= b.config.Share*total {
		return
	}
	b.recorder.Broken(Unanswered, Evidence{
		Service: service,
		Subject: subject,
		Detail:  fmt.Sprintf("%d of %d requests unanswered within %v; last: %s", unanswered, total, b.config.Window, reason),
	})
}

// window returns the service's current window. The caller holds mu.
func (b *AnswerBudget) window(service string) *answerWindow {
	now := b.config.Now()
	w := b.windows[service]
	if w == nil || now.Sub(w.begin) >= b.config.Window {
		w = &answerWindow{begin: now}
		b.windows[service] = w
	}
	return w
}
