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
	hedgeAge        = 0.25                   // part of the median decoding time before an attempt is judged
	hedgeAgeLeast   = 150 * time.Millisecond // the same, at least
	waitFactor      = 1.5                    // times longer than nearly all waited for their first tokens
	movesMost       = 2                      // times that a straggler is begun again elsewhere
	chunksLeast     = 3                      // chunks of a straggler that prove its replica slow
	slowTime        = 5 * time.Second        // a replica stays proven slow
	moveShare       = 0.25                   // part of the expected tokens up to which it is
	hedgeCreditMost = 16                     // unused hedges that a service keeps
	hedgeTokenShare = 0.05                   // thrown away tokens over generated ones
)

// speeds keeps the recent speeds and the hedge budget of each service on this daemon.
type speeds struct {
	mu   sync.Mutex
	by   map[string]*serviceSpeed
	slow map[string]time.Time // replicas, until when they are proven slow
}

type serviceSpeed struct {
	recent    []finishedSample // ring
	next      int
	credit    float64 // hedges that may be started
	generated int64   // tokens
	wasted    int64   // tokens of attempts that lost against a hedge or the first
}

// finishedSample is how a sample was generated.
type finishedSample struct {
	tokens int
	first  time.Duration // until the first tokens
	took   time.Duration // in all
}

// decoding returns the time after the first tokens.
func (f finishedSample) decoding() time.Duration { return max(f.took-f.first, time.Microsecond) }

// rate returns the tokens a second after the first ones.
func (f finishedSample) rate() float64 { return float64(f.tokens) / f.decoding().Seconds() }

func newSpeeds() *speeds {
	return &speeds{by: map[string]*serviceSpeed{}, slow: map[string]time.Time{}}
}

func (s *speeds) markSlow(replica string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow[replica] = now.Add(slowTime)
}

// isSlow reports whether a straggler proved the replica slow a moment ago.
func (s *speeds) isSlow(replica string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.slow[replica]
	if ok && now.After(until) {
		delete(s.slow, replica)
		return false
	}
	return ok
}

func (s *speeds) service(name string) *serviceSpeed {
	v, ok := s.by[name]
	if !ok {
		v = &serviceSpeed{}
		s.by[name] = v
	}
	return v
}

// add takes in a finished sample.
func (s *speeds) add(service string, f finishedSample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(service)
	v.generated += int64(f.tokens)
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
	if v.credit < 1 || v.overWasted() {
		return false
	}
	v.credit--
	return true
}

// mayWaste reports whether the tokens thrown away so far are within their share.
func (s *speeds) mayWaste(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.service(service).overWasted()
}

func (v *serviceSpeed) overWasted() bool {
	return float64(v.wasted) > hedgeTokenShare*float64(v.generated)
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
// as long. One that still waits for its first tokens straggles when it waits much
// longer than nearly all others did.
func (j *job) straggles(a *attempt, doc *document.Document) bool {
	e := a.elapsed()
	if !e.chosen || e.since < hedgeAgeLeast {
		return false
	}
	recent := j.m.runner.speeds.recent(doc.Service)
	if e.tokens == 0 {
		return len(recent) >= speedLeast && e.since.Seconds() > waitFactor*longWait(recent).Seconds()
	}
	reference := j.group.finished()
	if len(reference) < max(siblingsLeast, len(j.group.siblings)/2) {
		reference = recent
		if len(reference) < speedLeast {
			return false
		}
	}
	rate, decoding := medians(reference)
	if e.decoding.Seconds() < hedgeAge*decoding.Seconds() {
		return false
	}
	factor := slowFactor
	if doc.Samples.Preference == document.PreferStaleness {
		factor = slowFactorFresh
	}
	return finishedSample{tokens: e.tokens, took: e.decoding}.rate()*factor < rate
}

// betterMoved reports whether a straggler is better cancelled and begun again on
// another replica than hedged: when little was generated, that costs few tokens and
// leaves the slow replica.
func (j *job) betterMoved(a *attempt, doc *document.Document) bool {
	speeds := j.m.runner.speeds
	if j.moves >= movesMost || !speeds.mayWaste(doc.Service) {
		return false
	}
	if a.elapsed().chunks >= chunksLeast {
		speeds.markSlow(a.replicaID(), j.m.now())
	}
	if !speeds.isSlow(a.replicaID(), j.m.now()) {
		return false
	}
	expected := speeds.expectedTokens(doc.Service, int(j.group.group.MaxTokens))
	return float64(a.progress()) <= moveShare*float64(expected)
}

// longWait returns how long all but a fifth of the samples waited for their first tokens.
func longWait(samples []finishedSample) time.Duration {
	waits := make([]time.Duration, len(samples))
	for i, f := range samples {
		waits[i] = f.first
	}
	sort.Slice(waits, func(a, b int) bool { return waits[a] < waits[b] })
	return waits[len(waits)*4/5]
}

// medians returns the median rate and decoding time.
func medians(samples []finishedSample) (rate float64, decoding time.Duration) {
	rates := make([]float64, len(samples))
	times := make([]time.Duration, len(samples))
	for i, f := range samples {
		rates[i] = f.rate()
		times[i] = f.decoding()
	}
	sort.Float64s(rates)
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	return rates[len(rates)/2], times[len(times)/2]
}
