package daemon

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

func TestPortInUseIsRefusedAndNothingStaysOpen(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 0)
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	settings := s.settings(1)
	settings.Daemon.HTTPAddress = unusedAddress(t)
	settings.Daemon.PeerAddress = occupied.Addr().String()
	_, err = New(settings, io.Discard)
	if !fault.Is(err, fault.Invalid) || !strings.Contains(err.Error(), "daemon.peer_address") || fault.RemedyOf(err) == "" {
		t.Errorf("error %v", err)
	}
	if again, err := net.Listen("tcp", settings.Daemon.HTTPAddress); err != nil {
		t.Errorf("the other listener stayed open: %v", err)
	} else {
		again.Close()
	}
	if calls := s.platform.Calls(); calls != (fakeplatform.CallCounts{}) {
		t.Errorf("the platform was called: %+v", calls)
	}
}

func TestRequestsReachBackendServers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, time.Millisecond)
	d := s.start(s.settings(1))
	s.apply(d, "ledgerdesk")
	s.apply(d, "draftpool")
	plain := d.call(http.MethodGet, "/v1/services/ledgerdesk/records/7", "", "X-Request-Id", "r-7")
	if plain.status != http.StatusOK || plain.header.Get("X-Request-Id") != "r-7" {
		t.Errorf("plain: %+v", plain)
	}
	model := d.call(http.MethodPost, "/v1/services/draftpool/generate", `{"prompt":"a spot","max_tokens":16,"seed":1}`)
	if model.status != http.StatusOK || !strings.Contains(model.body, `"end":true`) {
		t.Errorf("model: %+v", model)
	}
	if model.header.Get("X-Request-Id") == "" {
		t.Error("no request ID was generated")
	}
}

func TestIsolatedDaemonRefusesWorkAsNotRunAndRecovers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, time.Millisecond)
	d := s.start(s.settings(1))
	s.apply(d, "ledgerdesk")
	s.platform.SetFaults(fakeplatform.Faults{Outage: true})
	waitUntil(t, "health fails", func() bool { return d.call(http.MethodGet, "/health", "").status == http.StatusServiceUnavailable })
	runs := s.plain.runs.Load()
	refused := d.call(http.MethodGet, "/v1/services/ledgerdesk/records/1", "")
	if body := refused.fault(t); body.Kind != fault.Isolated || body.Outcome != fault.NotRun || body.Remedy == "" {
		t.Errorf("error body %+v", body)
	}
	if s.plain.runs.Load() != runs {
		t.Error("a request with outcome not_run reached the server")
	}
	if alarms := d.modules.Alarms.Raised(); len(alarms) != 0 {
		t.Errorf("alarms although no promise was violated: %+v", alarms)
	}
	waitUntil(t, "the isolation is logged", func() bool { return strings.Contains(d.log.String(), "event=104") })
	s.platform.SetFaults(fakeplatform.Faults{})
	waitUntil(t, "health succeeds again", func() bool { return d.call(http.MethodGet, "/health", "").status == http.StatusOK })
	waitUntil(t, "the end of the isolation is logged", func() bool { return strings.Contains(d.log.String(), "event=105") })
}

func TestDumpAndMetricsShowEveryModule(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 0)
	d := s.start(s.settings(1))
	s.apply(d, "draftpool")
	var dump Dump
	if err := json.Unmarshal([]byte(d.call(http.MethodGet, "/v1/dump", "").body), &dump); err != nil {
		t.Fatal(err)
	}
	dumped := map[string]bool{}
	for _, module := range dump.Modules {
		dumped[module.Module] = module.State != nil
	}
	for _, m := range d.namedModules() {
		if !dumped[m.name] && !modulesWithoutState[m.name] {
			t.Errorf("module %s is not in the dump", m.name)
		}
	}
	var vars map[string]json.RawMessage
	if err := json.Unmarshal([]byte(d.call(http.MethodGet, "/debug/vars", "").body), &vars); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"process", "platform", "peer", "fleet", "routing", "admission", "claims", "dispatch", "weights", "rollout", "alarm"} {
		if vars[name] == nil {
			t.Errorf("no metrics of %s", name)
		}
	}
}

// modulesWithoutState lists the modules without an entry in the state dump.
var modulesWithoutState = map[string]bool{"backend": true, "peer_server": true, "in_force": true}
