package usage

import (
	"testing"
	"time"
)

// Guards against the loss of the last counts of a daemon at a planned stop.
func TestPlannedStopSendsTheLastCounts(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		window := f.toWindowStart()
		f.at(5).record("a", 7)
		f.sleep(100 * time.Millisecond)
		f.at(5).stop()
		<-f.at(5).ended
		f.sleep(2 * time.Second)
		f.checkTotal(f.at(0), window, map[string]int64{"a": 7})
	})
}
