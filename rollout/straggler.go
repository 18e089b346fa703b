package rollout

import (
	"sort"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
)

const (
	speedWindow     = 64                     // recent samples of a service that speeds are taken from
	speedLeast      = 8                      // of them before they count
	siblingsLeast   = 2                      // finished samples of the group before they count
	slowFactor      = 2.0                    // times slower than the median is a straggler, idle time preference
	slowFactorFresh = 3.0                    // the same, staleness preference
	hedgeAge        = 0.5                    // part of the median duration before an attempt is judged
	hedgeAgeLeast   = 150 * time.Millisecond // the same, at least
	hedgeCreditMost = 16                     // unused hedges that a service keeps
	hedgeTokenShare = 0.05                   // thrown away tokens over generated ones
)

// speeds keeps the recent speeds and the hedge budget of each service on this daemon.
type speeds struct {
	mu sync.Mutex
	by map[string]*serviceSpeed
}

type serviceSpeed struct {
	recent    []finishedSample // ring
	next      int
	credit    float64 // hedges that may be started
	generated int64   // tokens
	wasted    int64   // tokens of attempts that lost against a hedge or the first
}

type finishedSample struct {
	tokens int
	took   time.Duration
}

// rate returns the tokens a second.
func (f finishedSample) rate() float64 {
	return float64(f.tokens) / max(f.took.Seconds(), 1e-6)
}

func newSpeeds() *speeds { return &speeds{by: map[string]*serviceSpeed{}} }

func (s *speeds) service(name string) *serviceSpeed {
	v, ok := s.by[name]
	if !ok {
		v = &serviceSpeed{}
		s.by[name] = v
	}
	return v
}

// add takes in a finished sample.
func (s *speeds) add(service string, tokens int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(service)
	v.generated += int64(tokens)
	f := finishedSample{tokens: tokens, took: took}
	if len(v.recent) < speedWindow {
		v.recent = append(v.recent, f)
	} else {
		v.recent[v.next%speedWindow] = f
	}
	v.next++
}

// earn gives the service credit for one sample that was started.
func (s *speeds) earn(doc *document.Document, samples int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(doc.Service)
	v.credit = min(v.credit+float64(samples*doc.Samples.HedgeBudget)/100, hedgeCreditMost)
}

// takeHedge uses up the credit of one hedge if there is that much and the tokens
// thrown away so far are within their share.
func (s *speeds) takeHedge(doc *document.Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(doc.Service)
	if v.credit < 1 || float64(v.wasted) > hedgeTokenShare*float64(v.generated) {
		return false
	}
	v.credit--
	return true
}

// throwAway counts tokens of an attempt that lost.
func (s *speeds) throwAway(service string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(service).wasted += int64(tokens)
}

// thrownAway returns the tokens of all attempts that lost.
func (s *speeds) thrownAway() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum int64
	for _, v := range s.by {
		sum += v.wasted
	}
	return sum
}

// expectedTokens returns the median length of recent samples, at most limit.
func (s *speeds) expectedTokens(service string, limit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(service)
	if len(v.recent) < speedLeast {
		return limit
	}
	lengths := make([]int, len(v.recent))
	for i, f := range v.recent {
		lengths[i] = f.tokens
	}
	sort.Ints(lengths)
	return min(lengths[len(lengths)/2], limit)
}

func (s *speeds) recent(service string) []finishedSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]finishedSample(nil), s.service(service).recent...)
}

// straggles reports whether an attempt is much slower than its group's finished
// samples, or than the service's recent ones while the group has too few. A sample that
// is long but as fast as the others does not straggle: a second attempt of it would be
// as long.
func (j *job) straggles(a *attempt, doc *document.Document) bool {
	tokens, since, chosen := a.elapsed()
	if !chosen || since < hedgeAgeLeast {
		return false
	}
	reference := j.group.finished()
	if len(reference) < max(siblingsLeast, len(j.group.siblings)/2) {
		reference = j.m.runner.speeds.recent(doc.Service)
		if len(reference) < speedLeast {
			return false
		}
	}
	rate, duration := medians(reference)
	if since.Seconds() < hedgeAge*duration.Seconds() {
		return false
	}
	factor := slowFactor
	if doc.Samples.Preference == document.PreferStaleness {
		factor = slowFactorFresh
	}
	return finishedSample{tokens: tokens, took: since}.rate()*factor < rate
}

// medians returns the median rate and duration.
func medians(samples []finishedSample) (rate float64, duration time.Duration) {
	rates := make([]float64, len(samples))
	durations := make([]time.Duration, len(samples))
	for i, f := range samples {
		rates[i] = f.rate()
		durations[i] = f.took
	}
	sort.Float64s(rates)
	sort.Slice(durations, func(a, b int) bool { return durations[a] < durations[b] })
	return rates[len(rates)/2], durations[len(durations)/2]
}
