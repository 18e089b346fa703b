package daemon

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

const slowGenerateBody = `{"prompt":"Observer note: one round sunspot","max_tokens":200,"seed":3}`

// loadGenerator sends requests until one is refused, like a caller behind a load
// balancer that then uses another daemon.
type loadGenerator struct {
	mu        sync.Mutex
	completed int
	refused   int
	failures  []string
	workers   sync.WaitGroup
}

func (l *loadGenerator) record(completed, refused bool, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case completed:
		l.completed++
	case refused:
		l.refused++
	default:
		l.failures = append(l.failures, detail)
	}
}

func (l *loadGenerator) completedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completed
}

func (l *loadGenerator) run(t *testing.T, workers int, send func() callResult, isComplete func(callResult) bool) {
	for range workers {
		l.workers.Go(func() {
			for {
				a := send()
				refused := errors.Is(a.err, syscall.ECONNREFUSED) ||
					a.status == http.StatusServiceUnavailable && a.err == nil && strings.Contains(a.body, string(fault.NotRun))
				ok := a.err == nil && isComplete(a)
				l.record(ok, refused, fmt.Sprintf("%d %v %q", a.status, a.err, a.body))
				if !ok || t.Context().Err() != nil {
					return
				}
			}
		})
	}
}

func TestPlannedStopUnderLoadAbortsNoRequest(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 20*time.Millisecond)
	d := s.start(s.settings(1))
	s.apply(d, "draftpool")
	s.apply(d, "ledgerdesk")
	var streams, plain loadGenerator
	streams.run(t, 8, func() callResult {
		return d.call(http.MethodPost, "/v1/services/draftpool/generate", slowGenerateBody)
	}, func(a callResult) bool {
		return strings.Contains(a.body, `"end":true`) && !strings.Contains(a.body, "event: error")
	})
	plain.run(t, 8, func() callResult {
		return d.call(http.MethodPost, "/v1/services/ledgerdesk/records", "{}")
	}, func(a callResult) bool { return a.status == http.StatusOK })
	waitUntil(t, "responses", func() bool { return streams.completedCount() > 8 && plain.completedCount() > 8 })
	if _, inFlight := d.gate.current(); inFlight == 0 {
		t.Fatal("no request in flight at the stop")
	}

	d.stop()
	streams.workers.Wait()
	plain.workers.Wait()
	if err := <-d.done; err != nil {
		t.Errorf("Run returned %v", err)
	}
	d.done <- nil
	for name, l := range map[string]*loadGenerator{"streams": &streams, "plain": &plain} {
		if len(l.failures) > 0 {
			t.Errorf("%s: %d requests aborted, first: %q", name, len(l.failures), l.failures[0])
		}
		if l.refused != 8 {
			t.Errorf("%s: %d refused with outcome not_run, want one per worker", name, l.refused)
		}
	}
	if runs := s.plain.runs.Load(); runs != int64(plain.completed) {
		t.Errorf("the server ran %d requests, callers received %d responses", runs, plain.completed)
	}
	if alarms := d.modules.Alarms.Raised(); len(alarms) != 0 {
		t.Errorf("alarms %+v", alarms)
	}
}

func TestHealthFailsBeforeWorkIsRefused(t *testing.T) {
	t.Parallel()
	s := newSystem(t, time.Millisecond)
	settings := s.settings(1)
	settings.Daemon.DrainNotice = 500 * time.Millisecond
	d := s.start(settings)
	s.apply(d, "ledgerdesk")
	d.stop()
	waitUntil(t, "health fails", func() bool { return d.call(http.MethodGet, "/health", "").status == http.StatusServiceUnavailable })
	if state, _ := d.gate.current(); state == StateDrainNotice {
		if a := d.call(http.MethodGet, "/v1/services/ledgerdesk/records", ""); a.status != http.StatusOK {
			if state, _ := d.gate.current(); state == StateDrainNotice {
				t.Errorf("refused before the drain notice ended: %+v", a)
			}
		}
	}
	waitUntil(t, "work is refused or the daemon has stopped", func() bool {
		a := d.call(http.MethodGet, "/v1/services/ledgerdesk/records", "")
		return a.err != nil || strings.Contains(a.body, `"kind":"draining"`)
	})
}

func TestStopDuringPlatformOutageAbortsNoRequest(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 3*time.Second)
	d := s.start(s.settings(1))
	s.apply(d, "ledgerdesk")
	results := make(chan callResult, 1)
	go func() { results <- d.call(http.MethodPost, "/v1/services/ledgerdesk/records", "{}") }()
	waitUntil(t, "the request is in flight", func() bool { return s.plain.runs.Load() == 1 })
	s.platform.SetFaults(fakeplatform.Faults{Hang: true})
	stopRequested := time.Now()
	d.stop()
	waitUntil(t, "the daemon drains", d.gate.draining)
	for _, path := range []string{"/v1/trainers/captions/pull", "/v1/services/ledgerdesk/records"} {
		refused := d.call(http.MethodPost, path, "{}").fault(t)
		if refused.Kind != fault.Draining || refused.Outcome != fault.NotRun {
			t.Errorf("%s: %+v", path, refused)
		}
	}
	if err := <-d.done; err != nil {
		t.Errorf("Run returned %v", err)
	}
	d.done <- nil
	if a := <-results; a.status != http.StatusOK {
		t.Errorf("response %+v", a)
	}
	if took := time.Since(stopRequested); took > 15*time.Second {
		t.Errorf("the stop took %v", took)
	}
}

func TestRequestsAbortedAtEndOfDrainTimeAreReported(t *testing.T) {
	t.Parallel()
	s := newSystem(t, testTimeout)
	settings := s.settings(1)
	settings.Daemon.DrainTime = 100 * time.Millisecond
	d := s.start(settings)
	s.applyText(d, "ledgerdesk", deskDocument+"[servers]\ndrain_time = 1s\n")
	results := make(chan callResult, 1)
	go func() { results <- d.call(http.MethodPost, "/v1/services/ledgerdesk/records", "{}") }()
	waitUntil(t, "the request is in flight", func() bool { return d.inFlight() == 1 })
	stopRequested := time.Now()
	d.stop()
	err := <-d.done
	d.done <- nil
	if took := time.Since(stopRequested); took < time.Second {
		t.Errorf("aborted after %v, the document allows 1s", took)
	}
	if err == nil || !strings.Contains(err.Error(), "1 requests were aborted") || fault.RemedyOf(err) == "" {
		t.Errorf("error %v", err)
	}
	if a := <-results; a.status == http.StatusOK {
		t.Errorf("response %+v", a)
	}
	if alarms := d.modules.Alarms.Raised(); len(alarms) != 1 || alarms[0].Count != 1 {
		t.Errorf("alarms %+v", alarms)
	}
	if !strings.Contains(d.log.String(), "event=103") {
		t.Error("the aborted request is not logged")
	}
}

const deskDocument = `[service]
name = ledgerdesk
team = karachi
region = pk-south
kind = plain
pool = ledgerdesk
`

func (d *testDaemon) inFlight() int {
	_, inFlight := d.gate.current()
	return inFlight
}
