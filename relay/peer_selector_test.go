package relay

import (
	"slices"
	"testing"
	"time"
)

func TestPeerOrder(t *testing.T) {
	for _, row := range []struct {
		name        string
		failed      []string
		succeeded   string
		freshSource string
		want        string // first candidate, "" for any peer that did not fail
	}{
		{"no peer is known to be better", nil, "", "", ""},
		{"fresh source is first", nil, "", "p3", "p3"},
		{"last successful peer is first", nil, "p2", "p3", "p2"},
		{"fresh source failed", []string{"p3"}, "", "p3", ""},
		{"last successful peer failed since", []string{"p2"}, "p2", "p4", "p4"},
		{"most peers failed", []string{"p0", "p1", "p2", "p3"}, "", "", "p4"},
	} {
		s := peerSelector{failedUntil: map[string]time.Time{}}
		if row.succeeded != "" {
			s.record(row.succeeded, true)
		}
		for _, p := range row.failed {
			s.record(p, false)
		}
		for range 20 {
			got := s.candidates([]string{"p0", "p1", "p2", "p3", "p4"}, row.freshSource)
			if len(got) != maxPeersPerCall || row.want != "" && got[0] != row.want || slices.Contains(row.failed, got[0]) {
				t.Errorf("%s: %v, want first %q", row.name, got, row.want)
				break
			}
		}
	}
}

func TestFailedPeersAreTriedWhenNoOtherIsLeft(t *testing.T) {
	s := peerSelector{failedUntil: map[string]time.Time{}}
	s.record("p0", false)
	if got := s.candidates([]string{"p0"}, ""); !slices.Equal(got, []string{"p0"}) {
		t.Errorf("candidates %v, want p0", got)
	}
}
