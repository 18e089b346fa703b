// Package measure keeps latency histograms by kind of measurement and label values, and
// exports them through expvar. docs/METRICS.md lists all kinds.
package measure

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is one kind of measurement. A kind has one histogram for each combination of label
// values.
type Kind struct {
	Name    string   // unique
	Labels  []string // names of the labels, in the order in which Observe takes their values
	Meaning string   // the measured time span
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
	// Histograms record microseconds with at least one significant digit, so that a
	// histogram takes some kilobytes.
	minMicroseconds, maxMicroseconds, significantDigits = 1, int64(10 * time.Minute / time.Microsecond), 1
	// maxHistograms bounds the memory. Once it is reached, new label values of a kind share
	// the histogram with the label "other".
	maxHistograms = 256
	overflowLabel = "other"
)

// Set holds the histograms of one daemon. Observe on a nil Set discards the measurement.
// All methods are safe for concurrent use.
type Set struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{histograms: map[string]*hdrhistogram.Histogram{}} }

// Observe adds one measurement of a kind. labels are the label values, in the order of
// kind.Labels; a wrong number of them panics.
func (s *Set) Observe(kind Kind, d time.Duration, labels ...string) {
	if s == nil {
		return
	}
	if len(labels) != len(kind.Labels) {
		panic("measure: " + kind.Name + " has a different number of labels")
	}
	name := strings.Join(append([]string{kind.Name}, labels...), "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.histograms[name]
	if h == nil && len(s.histograms) >= maxHistograms {
		name = kind.Name + "/" + overflowLabel
		h = s.histograms[name]
	}
	if h == nil {
		h = hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)
		s.histograms[name] = h
	}
	// Values out of range are clamped to the nearest bound.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

// Summary is the exported summary of a histogram. Times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Summaries returns the summaries of all histograms. A key is the kind's name and the label
// values, joined by "/".
func (s *Set) Summaries() map[string]Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	summaries := make(map[string]Summary, len(s.histograms))
	for name, h := range s.histograms {
		summaries[name] = Summary{
			Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: percentileMilliseconds(h, 50), P90: percentileMilliseconds(h, 90), P99: percentileMilliseconds(h, 99), Max: float64(h.Max()) / 1000,
		}
	}
	return summaries
}

func percentileMilliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// String implements expvar.Var.
func (s *Set) String() string {
	text, err := json.Marshal(s.Summaries())
	if err != nil {
		return "{}" // not reached: numbers and strings always marshal
	}
	return string(text)
}
