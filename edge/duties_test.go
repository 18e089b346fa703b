package edge

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeCloud is the platform's API. It records the reports that it accepts and what breaks the rules.
type fakeCloud struct {
	mu      sync.Mutex
	bodies  map[int64]string // by window
	highest int64            // fencing token
	holders map[int64]string // by token
	broken  []string
}

func (c *fakeCloud) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var report struct {
		WindowID int64 `json:"WindowId"`
	}
	token, err := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	holder := r.Header.Get("Lease-Holder")
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.URL.Path != "/usage" || json.Unmarshal(body, &report) != nil || err != nil || holder == "" {
		c.broken = append(c.broken, "malformed call "+r.URL.Path+" "+string(body))
		return
	}
	if token < c.highest {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest = token
	if previous := c.holders[token]; previous != "" && previous != holder {
		c.broken = append(c.broken, "two holders with one token")
	}
	c.holders[token] = holder
	if previous, found := c.bodies[report.WindowID]; found && previous != string(body) {
		c.broken = append(c.broken, "two reports for a window: "+previous+" "+string(body))
	}
	c.bodies[report.WindowID] = string(body)
}

// totals returns the reported requests by organisation over all windows, and the number of windows that
// are missing between the first and the last.
func (c *fakeCloud) totals() (totals map[string]int64, missing int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals = map[string]int64{}
	var first, last int64
	for window, body := range c.bodies {
		var report struct{ Counts map[string]int64 }
		_ = json.Unmarshal([]byte(body), &report) // decoded before
		for organisation, n := range report.Counts {
			totals[organisation] += n
		}
		if first == 0 || window < first {
			first = window
		}
		last = max(last, window)
	}
	return totals, last - first + 1 - int64(len(c.bodies))
}

// Usage is reported once for each window and completely, also when the daemon that reports it ends and
// another one takes the duty over.
func TestUsageIsReportedAcrossLossOfTheHolder(t *testing.T) {
	t.Parallel()
	cloud := &fakeCloud{bodies: map[int64]string{}, holders: map[int64]string{}}
	server := httptest.NewServer(http.HandlerFunc(cloud.serve))
	t.Cleanup(server.Close)
	s := newTestSystem(t, 4, withOrganisations, func(s *testSystem) {
		s.adjust = func(settings *Settings) {
			settings.Organisations.WithdrawalTime = testWithdrawalTime
			settings.Duties = DutySettings{Address: strings.TrimPrefix(server.URL, "http://"), UsageWindow: time.Second, UsageDue: 10 * time.Second}
		}
	})
	s.awaitProofs()
	want := map[string]int64{}
	send := func(daemons []*testDaemon, round int) {
		for i := range 24 {
			organisation, key := "north", keyNorth
			if i%3 == 0 {
				organisation, key = "south", keySouth
			}
			if got := daemons[i%len(daemons)].call("POST", plainPath+"x", fmt.Sprint("u-", round, "-", i), nil, "X-Api-Key", key); got.status != 200 {
				t.Fatalf("status %d %s", got.status, got.body)
			}
			want[organisation]++
			time.Sleep(40 * time.Millisecond)
		}
	}
	reported := func() bool {
		totals, missing := cloud.totals()
		return missing == 0 && totals["north"] == want["north"] && totals["south"] == want["south"]
	}
	send(s.daemons, 0)
	s.daemons[0].call("POST", scoringPath+"x", "public", nil) // belongs to no organisation
	s.eventually("the first requests are reported", reported)
	var holder *testDaemon
	for _, d := range s.daemons {
		if d.Duties.manager.Dump().Holds {
			holder = d
		}
	}
	if holder == nil {
		t.Fatal("no daemon holds the duty")
	}
	send(s.daemons, 1)
	time.Sleep(time.Second) // counts reach the daemons that keep them
	holder.kill()
	send(s.otherDaemons(holder), 2)
	s.eventually("all requests are reported after the loss of the holder", reported)
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if len(cloud.broken) > 0 {
		t.Errorf("broken rules: %q", cloud.broken)
	}
}
