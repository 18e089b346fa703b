// Package measure keeps latency histograms by what was measured, for whom and with which
// outcome, and serves them as expvar does. docs/METRICS.md lists all kinds.
package measure

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is one kind of measurement. Its labels tell the histograms of a kind apart.
type Kind struct {
	Name    string   // unique
	Labels  []string // names of the labels, in their order
	Meaning string   // what is measured, from when to when
}

var kinds []Kind

func define(name, meaning string, labels ...string) Kind {
	k := Kind{Name: name, Labels: labels, Meaning: meaning}
	kinds = append(kinds, k)
	return k
}

// Kinds returns all kinds ordered by name.
func Kinds() []Kind {
	sorted := append([]Kind(nil), kinds...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}

const (
	// Values are kept in microseconds with one significant digit at least: a histogram then
	// takes some kilobytes.
	lowest, highest, digits = 1, int64(10 * time.Minute / time.Microsecond), 1
	// maxHistograms bounds the memory: what comes beyond it is counted under "other".
	maxHistograms = 256
	other         = "other"
)

// Set is the histograms of one daemon. A nil Set discards what it is given. All methods
// may be called at any time.
type Set struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{histograms: map[string]*hdrhistogram.Histogram{}} }

// Observe adds one measurement of a kind. labels are the values of its labels.
func (s *Set) Observe(kind Kind, d time.Duration, labels ...string) {
	if s == nil {
		return
	}
	if len(labels) != len(kind.Labels) {
		panic("measure: " + kind.Name + " has other labels")
	}
	name := strings.Join(append([]string{kind.Name}, labels...), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[name]
	if h == nil && len(s.histograms) >= maxHistograms {
		name = kind.Name + "/" + other
		h = s.histograms[name]
	}
	if h == nil {
		h = hdrhistogram.New(lowest, highest, digits)
		s.histograms[name] = h
	}
	// A value out of range is counted at its end.
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

// Summary is what is told of a histogram. Times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Summaries returns all histograms by kind and labels, joined by "/".
func (s *Set) Summaries() map[string]Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]Summary, len(s.histograms))
	for name, h := range s.histograms {
		all[name] = Summary{
			Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: ms(h, 50), P90: ms(h, 90), P99: ms(h, 99), Max: float64(h.Max()) / 1000,
		}
	}
	return all
}

func ms(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// String implements expvar.Var.
func (s *Set) String() string {
	text, err := json.Marshal(s.Summaries())
	if err != nil {
		return "{}" // numbers and strings only: it does not fail
	}
	return string(text)
}
