package daemon

import (
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// Status is the response of GET /v1/status.
type Status struct {
	Daemon    string                `json:"daemon"`
	State     State                 `json:"state"`
	InFlight  int                   `json:"in_progress"`
	Documents []fleet.ServiceStatus `json:"documents"`
	// DocumentsError is the reason why Documents is missing; empty on success.
	DocumentsError string         `json:"documents_error,omitempty"`
	Members        []MemberStatus `json:"members"`
	RegionalAlarms
}

// MemberStatus describes a live daemon of the region.
type MemberStatus struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Health is the response of GET /health and GET /ready.
type Health struct {
	State         State  `json:"state"`
	Ready         bool   `json:"ready"`
	IsolatedSince string `json:"isolated_since,omitempty"`
}

// ownAlarmsOnly reports whether the query ?alarms=own is set, which avoids calls to all
// members.
func ownAlarmsOnly(r *http.Request) bool { return r.URL.Query().Get("alarms") == "own" }

// status returns the Status. It names parts that can't be collected and returns the rest.
func (d *Daemon) status(r *http.Request) Status {
	state, inFlight := d.gate.current()
	status := Status{
		Daemon:         d.settings.Daemon.ID,
		State:          state,
		InFlight:       inFlight,
		Members:        d.members(),
		RegionalAlarms: RegionalAlarms{Alarms: d.ownAlarms(), UnresponsiveDaemons: []string{}},
	}
	documents, err := d.modules.Admin.Status(r.Context())
	if err != nil {
		status.DocumentsError = err.Error()
	}
	status.Documents = documents
	if !ownAlarmsOnly(r) {
		status.RegionalAlarms = d.regionalAlarms(r.Context())
	}
	return status
}

func (d *Daemon) members() []MemberStatus {
	members := d.modules.View.Members()
	out := make([]MemberStatus, 0, len(members))
	for _, m := range members {
		out = append(out, MemberStatus{ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain})
	}
	return out
}

func (d *Daemon) getStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, d.status(r))
}

// getAlarms returns the alarms of this daemon or, with the query ?scope=region, of all
// daemons of the region.
func (d *Daemon) getAlarms(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("scope") == "region" {
		writeJSON(w, http.StatusOK, d.regionalAlarms(r.Context()))
		return
	}
	writeJSON(w, http.StatusOK, d.ownAlarms())
}

func (d *Daemon) getHealth(w http.ResponseWriter, _ *http.Request) {
	health := d.health()
	status := http.StatusOK
	if health.State != StateLive {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, health)
}

func (d *Daemon) getReady(w http.ResponseWriter, _ *http.Request) {
	health := d.health()
	status := http.StatusOK
	if health.State != StateLive || !health.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, health)
}

func (d *Daemon) health() Health {
	state, _ := d.gate.current()
	health := Health{State: state, Ready: d.modules.Fleet.Ready()}
	if since, isolated := d.modules.View.Isolated(); isolated {
		health.IsolatedSince = since.UTC().Format(time.RFC3339)
	}
	return health
}

// Recorder returns the recorder through which the modules report broken promises.
func (d *Daemon) Recorder() alarm.Recorder { return d.modules.Alarms }
