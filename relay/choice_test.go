package relay

import (
	"slices"
	"testing"
	"time"
)

func TestPeersTable(t *testing.T) {
	for _, row := range []struct {
		name   string
		failed []string
		made   string
		source string
		want   string // asked first, "" for any that did not fail
	}{
		{"nothing is known", nil, "", "", ""},
		{"one has fresh news", nil, "", "p3", "p3"},
		{"one made the last call", nil, "p2", "p3", "p2"},
		{"the one with news could not", []string{"p3"}, "", "p3", ""},
		{"the last one could no more", []string{"p2"}, "p2", "p4", "p4"},
		{"most could not", []string{"p0", "p1", "p2", "p3"}, "", "", "p4"},
	} {
		c := choice{bad: map[string]time.Time{}}
		if row.made != "" {
			c.note(row.made, true)
		}
		for _, p := range row.failed {
			c.note(p, false)
		}
		for range 20 {
			got := c.of([]string{"p0", "p1", "p2", "p3", "p4"}, row.source)
			if len(got) != peersTried || row.want != "" && got[0] != row.want || slices.Contains(row.failed, got[0]) {
				t.Errorf("%s: %v, want first %q", row.name, got, row.want)
				break
			}
		}
	}
}

func TestPeersThatFailedAreAskedWhenNoOtherIsLeft(t *testing.T) {
	c := choice{bad: map[string]time.Time{}}
	c.note("p0", false)
	if got := c.of([]string{"p0"}, ""); !slices.Equal(got, []string{"p0"}) {
		t.Errorf("%v", got)
	}
}
