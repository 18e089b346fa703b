package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// Guards against requests that a planned stop cuts off without a response: a sound server that needs most
// of the stop time, and requests during the whole stop. Each caller must learn whether its request
// ran: 503 only if it did not, 502 if it may have.
func TestPlannedStopRespondsToEachRequest(t *testing.T) {
	t.Parallel()
	for name, row := range map[string]struct {
		path        string
		isTimeKnown bool // requests of the route have had responses before the stop
		late        int  // status of requests that can't end before the stop
	}{
		"usual time known":                   {nonIdempotentPath, true, http.StatusServiceUnavailable},
		"usual time unknown, not repeatable": {nonIdempotentPath, false, http.StatusServiceUnavailable},
		"usual time unknown, repeatable":     {plainPath, false, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestSystem(t, 1)
			d := s.daemons[0]
			const work = 2 * time.Second
			for _, replica := range s.plainReplicas {
				replica.SetFaults(fakereplica.Faults{Delay: work})
			}
			if row.isTimeKnown {
				if got := d.call("POST", row.path+"x", "before", nil); got.status != http.StatusOK {
					t.Fatalf("request before the stop: %+v", got)
				}
			}
			requestsEnd := d.settings.StopTime - stopMargin - responseTime
			started := time.Now()
			d.stop()
			var callers sync.WaitGroup
			for n := range 12 {
				callers.Go(func() {
					sentAfter := 100*time.Millisecond + time.Duration(n)*180*time.Millisecond
					time.Sleep(time.Until(started.Add(sentAfter)))
					id := fmt.Sprint("r-", n)
					got := d.call("POST", row.path+"x", id, nil)
					ran := 0
					for _, replica := range s.plainReplicas {
						ran += replica.Runs(id)
					}
					switch {
					case got.err != nil:
						t.Errorf("sent %v after the stop began: no response, %v", sentAfter, got.err)
					case got.status == http.StatusServiceUnavailable && ran > 0:
						t.Errorf("sent %v after the stop began: refused as not run, but ran", sentAfter)
					case sentAfter > requestsEnd-work+100*time.Millisecond && got.status != row.late:
						t.Errorf("sent %v after the stop began: status %d, want %d", sentAfter, got.status, row.late)
					}
				})
			}
			callers.Wait()
			<-d.done
			if took := time.Since(started); took > d.settings.StopTime {
				t.Errorf("the stop took %v, more than %v", took, d.settings.StopTime)
			}
		})
	}
}
