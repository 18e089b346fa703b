package usage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
)

// Guards against counts that are lost or counted twice when messages are repeated, reordered, or reach
// a table through several daemons.
func TestMergeOfRepeatedAndReorderedMessages(t *testing.T) {
	type message struct {
		counter counterID
		counts  map[string]int64
	}
	var messages []message
	want := map[string]int64{}
	for d := range 4 {
		for _, incarnation := range []int64{1, 2} {
			sent := map[string]int64{}
			for range 20 {
				sent[fmt.Sprint("org", rand.IntN(5))]++
				messages = append(messages, message{counterID{fmt.Sprint(d), incarnation}, maps.Clone(sent)})
			}
			for organisation, count := range sent {
				want[organisation] += count
			}
		}
	}
	for range 50 {
		received := append(messages, messages...)
		rand.Shuffle(len(received), func(a, b int) { received[a], received[b] = received[b], received[a] })
		counts := windowCounts{}
		for _, m := range received {
			for organisation, count := range m.counts {
				counts.merge(m.counter, organisation, count)
			}
		}
		if got := counts.totals(); !maps.Equal(got, want) {
			t.Fatalf("totals %v, want %v", got, want)
		}
	}
}

// Guards against peers that make a table grow without a bound.
func TestTableIsBounded(t *testing.T) {
	received := newTable()
	for i := range maxOrganisations + 10 {
		fits := received.merge(1, counterID{"a", 1}, fmt.Sprint(i), 1)
		if fits != (i < maxOrganisations) {
			t.Fatalf("organisation %d fits: %v", i, fits)
		}
	}
	for i := range maxEntries {
		received.merge(int64(2+i%windowsKept), counterID{fmt.Sprint(i), 1}, "org", 1)
	}
	if received.entries != maxEntries {
		t.Errorf("%d entries", received.entries)
	}
	if !received.merge(1, counterID{"a", 1}, "0", 5) || received.windows[1][counterID{"a", 1}]["0"] != 5 {
		t.Error("a known count is not updated in a full table")
	}
	received.prune(1000)
	if received.entries != 0 || len(received.windows) != 0 {
		t.Errorf("%d entries of %d windows are left", received.entries, len(received.windows))
	}
}
