package measure

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

func TestSummariesReportObservations(t *testing.T) {
	s := NewSet()
	for n := 1; n <= 100; n++ {
		s.Observe(RequestWhole, time.Duration(n)*time.Millisecond, "records", "answered")
	}
	s.Observe(RequestWhole, 2*time.Hour, "records", "failed")
	var got map[string]Summary
	if err := json.Unmarshal([]byte(s.String()), &got); err != nil {
		t.Fatal(err)
	}
	answered := got["request_whole/records/answered"]
	if answered.Count != 100 || answered.P50 < 45 || answered.P50 > 56 || answered.P99 < 90 || answered.Max > 110 {
		t.Errorf("summary of answered requests: %+v", answered)
	}
	if failed := got["request_whole/records/failed"]; failed.Count != 1 || failed.Max < 500_000 {
		t.Errorf("summary of a value out of range: %+v", failed)
	}
}

func TestHistogramCountIsBounded(t *testing.T) {
	s := NewSet()
	for n := range 10 * maxHistograms {
		s.Observe(ItemQueue, time.Millisecond, fmt.Sprint("model-", n))
	}
	summaries := s.Summaries()
	if len(summaries) > maxHistograms+len(kinds) || summaries["item_queue/other"].Count != 9*maxHistograms {
		t.Errorf("%d histograms, %+v with the label other", len(summaries), summaries["item_queue/other"])
	}
}

func TestNilSetDiscards(t *testing.T) {
	var s *Set
	s.Observe(Connect, time.Second, "answered")
}
