package rollout

import (
	"sort"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
)

const (
	recentWindow          = 64                     // recent samples of a service kept as reference
	minRecentSamples      = 8                      // recent samples needed as reference
	minGroupSamples       = 2                      // finished samples of the group needed as reference
	slowFactor            = 2.0                    // a straggler is this many times slower than the median, idle time preference
	slowFactorStaleness   = 3.0                    // the same, staleness preference
	minDecodingShare      = 0.25                   // share of the median decoding time before an attempt is judged
	minAttemptAge         = 150 * time.Millisecond // time since the choice of the replica before an attempt is judged
	firstTokensWaitFactor = 1.5                    // a wait for the first tokens over this multiple of firstTokensP80 is a straggler
	maxMoves              = 2                      // most times that a sample is restarted on another replica
	minSlowChunks         = 3                      // chunks that a straggler receives before its replica is marked slow
	slowReplicaTTL        = 5 * time.Second        // time for which a replica stays marked slow
	moveMaxProgress       = 0.25                   // share of the expected tokens up to which a straggler is moved to another replica
	maxHedgeCredit        = 16                     // unused hedges that a service can accumulate
	maxWastedShare        = 0.05                   // limit of wasted tokens over generated tokens
)

// generationStats keeps the timings of recent samples and the hedge budget of each service
// on this daemon.
type generationStats struct {
	mu        sync.Mutex
	byService map[string]*serviceStats
	slowUntil map[string]time.Time // end of the slow mark, by replica
}

type serviceStats struct {
	recent          []sampleTiming // ring buffer
	next            int
	hedgeCredit     float64 // hedges that may be started
	generatedTokens int64   // tokens of finished samples
	wastedTokens    int64   // tokens of moved stragglers and of attempts that lost to the other attempt
}

// sampleTiming is the size and the timing of a generated sample.
type sampleTiming struct {
	tokens            int
	timeToFirstTokens time.Duration // from the choice of the replica to the first tokens
	total             time.Duration // from start to end of generation
}

// decoding returns the time from the first tokens to the end.
func (t sampleTiming) decoding() time.Duration {
	return max(t.total-t.timeToFirstTokens, time.Microsecond)
}

// rate returns the tokens per second of the decoding time.
func (t sampleTiming) rate() float64 { return float64(t.tokens) / t.decoding().Seconds() }

func newGenerationStats() *generationStats {
	return &generationStats{byService: map[string]*serviceStats{}, slowUntil: map[string]time.Time{}}
}

func (s *generationStats) markSlow(replica string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowUntil[replica] = now.Add(slowReplicaTTL)
}

// isSlow reports whether a straggler marked the replica slow within slowReplicaTTL.
func (s *generationStats) isSlow(replica string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.slowUntil[replica]
	if ok && now.After(until) {
		delete(s.slowUntil, replica)
		return false
	}
	return ok
}

func (s *generationStats) service(name string) *serviceStats {
	v, ok := s.byService[name]
	if !ok {
		v = &serviceStats{}
		s.byService[name] = v
	}
	return v
}

func (s *generationStats) add(service string, t sampleTiming) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(service)
	v.generatedTokens += int64(t.tokens)
	if len(v.recent) < recentWindow {
		v.recent = append(v.recent, t)
	} else {
		v.recent[v.next%recentWindow] = t
	}
	v.next++
}

// addHedgeCredit grants the service hedge credit for samples that were started:
// HedgeBudget percent of a hedge for each sample.
func (s *generationStats) addHedgeCredit(doc *document.Document, samples int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(doc.Service)
	v.hedgeCredit = min(v.hedgeCredit+float64(samples*doc.Samples.HedgeBudget)/100, maxHedgeCredit)
}

// spendHedgeCredit takes the credit of one hedge. It returns false if there is less
// credit or the wasted tokens exceed their limit.
func (s *generationStats) spendHedgeCredit(doc *document.Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(doc.Service)
	if v.hedgeCredit < 1 || v.exceedsWasteLimit() {
		return false
	}
	v.hedgeCredit--
	return true
}

// withinWasteLimit reports whether the service's wasted tokens are within their limit.
func (s *generationStats) withinWasteLimit(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.service(service).exceedsWasteLimit()
}

func (v *serviceStats) exceedsWasteLimit() bool {
	return float64(v.wastedTokens) > maxWastedShare*float64(v.generatedTokens)
}

// addWasted counts the tokens of an attempt whose result is not used.
func (s *generationStats) addWasted(service string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(service).wastedTokens += int64(tokens)
}

// totalWasted returns the wasted tokens of all services.
func (s *generationStats) totalWasted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum int64
	for _, v := range s.byService {
		sum += v.wastedTokens
	}
	return sum
}

// expectedTokens returns the median length in tokens of the service's recent samples, at
// most limit. It returns limit while there are fewer than minRecentSamples.
func (s *generationStats) expectedTokens(service string, limit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(service)
	if len(v.recent) < minRecentSamples {
		return limit
	}
	lengths := make([]int, len(v.recent))
	for i, t := range v.recent {
		lengths[i] = t.tokens
	}
	sort.Ints(lengths)
	return min(lengths[len(lengths)/2], limit)
}

func (s *generationStats) recent(service string) []sampleTiming {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]sampleTiming(nil), s.service(service).recent...)
}

// isStraggler reports whether an attempt is much slower than its group's finished
// samples, or than the service's recent samples while the group has too few. A long
// sample at normal speed is not a straggler: a second attempt would take as long. An
// attempt that still waits for its first tokens is a straggler if it has waited longer
// than firstTokensWaitFactor times the 80th percentile of the recent samples.
func (j *job) isStraggler(a *attempt, doc *document.Document) bool {
	timing := a.timing()
	if !timing.chosen || timing.sinceChosen < minAttemptAge {
		return false
	}
	recent := j.m.runner.stats.recent(doc.Service)
	if timing.tokens == 0 {
		return len(recent) >= minRecentSamples && timing.sinceChosen.Seconds() > firstTokensWaitFactor*firstTokensP80(recent).Seconds()
	}
	reference := j.group.finishedTimings()
	if len(reference) < max(minGroupSamples, len(j.group.jobs)/2) {
		reference = recent
		if len(reference) < minRecentSamples {
			return false
		}
	}
	rate, decoding := medians(reference)
	if timing.decoding.Seconds() < minDecodingShare*decoding.Seconds() {
		return false
	}
	factor := slowFactor
	if doc.Samples.Preference == document.PreferStaleness {
		factor = slowFactorStaleness
	}
	return sampleTiming{tokens: timing.tokens, total: timing.decoding}.rate()*factor < rate
}

// shouldMove reports whether to cancel a straggler and restart it on another replica
// rather than hedge it. While little of it is generated, this wastes few tokens and frees
// the slow replica. The first stragglers on a replica stay for minSlowChunks chunks,
// because routing learns from chunks that the replica is slow; if they left earlier, other
// requests would still be routed to it.
func (j *job) shouldMove(a *attempt, doc *document.Document) bool {
	stats := j.m.runner.stats
	if j.moves >= maxMoves || !stats.withinWasteLimit(doc.Service) {
		return false
	}
	if a.timing().chunks >= minSlowChunks {
		stats.markSlow(a.replicaID(), j.m.now())
	}
	if !stats.isSlow(a.replicaID(), j.m.now()) {
		return false
	}
	expected := stats.expectedTokens(doc.Service, int(j.group.group.MaxTokens))
	return float64(a.tokensSoFar()) <= moveMaxProgress*float64(expected)
}

// firstTokensP80 returns the 80th percentile of the samples' wait for their first tokens.
func firstTokensP80(samples []sampleTiming) time.Duration {
	waits := make([]time.Duration, len(samples))
	for i, t := range samples {
		waits[i] = t.timeToFirstTokens
	}
	sort.Slice(waits, func(a, b int) bool { return waits[a] < waits[b] })
	return waits[len(waits)*4/5]
}

// medians returns the median rate in tokens per second and the median decoding time.
func medians(samples []sampleTiming) (rate float64, decoding time.Duration) {
	rates := make([]float64, len(samples))
	times := make([]time.Duration, len(samples))
	for i, t := range samples {
		rates[i] = t.rate()
		times[i] = t.decoding()
	}
	sort.Float64s(rates)
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	return rates[len(rates)/2], times[len(times)/2]
}
