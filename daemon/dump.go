package daemon

import (
	"expvar"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/hornbeamtide/hornbeamtide/admission"
	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/claims"
	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/routing"
)

// Dump is the response of GET /v1/dump.
type Dump struct {
	Daemon   string        `json:"daemon"`
	At       time.Time     `json:"at"`
	Started  time.Time     `json:"started"`
	State    State         `json:"state"`
	InFlight int           `json:"in_progress"`
	Settings Settings      `json:"settings"`
	Modules  []ModuleState `json:"modules"`
}

// ModuleState is the state of one module.
type ModuleState struct {
	Module string `json:"module"`
	State  any    `json:"state"`
}

// dumper is implemented by modules whose Dump returns an untyped state.
type dumper interface{ Dump() any }

// stateOf returns the state of a module, or nil if it has none.
func stateOf(module any) any {
	switch m := module.(type) {
	case *platform.Client:
		return m.Dump()
	case *peer.Pool:
		return m.Dump()
	case *backend.Client:
		return m.Dump()
	case *fleet.Manager:
		return m.Dump()
	case *routing.Store:
		return m.Dump()
	case *admission.Controller:
		return m.Dump()
	case *claims.Manager:
		return m.Dump()
	case *dispatch.Manager:
		return m.Dump()
	case dumper:
		return m.Dump()
	}
	return nil
}

// countersOf returns the counters of a module, or nil if it has none.
func countersOf(module any) any {
	switch m := module.(type) {
	case *platform.Client:
		return m.Calls()
	case *peer.Pool:
		return m.Counters()
	case *peer.Server:
		return m.Counters()
	case *backend.Client:
		return m.Counters()
	case *fleet.Manager:
		return m.Counters()
	case *routing.Store:
		return m.Counters()
	case *admission.Controller:
		return m.Counters()
	case *claims.Manager:
		return m.Counters()
	case *dispatch.Manager:
		return m.Counters()
	case *alarm.Manager:
		return m.Counters()
	case interface{ Counters() map[string]int64 }:
		return m.Counters()
	}
	return nil
}

// Dump returns the state of every module.
func (d *Daemon) Dump() Dump {
	state, inFlight := d.gate.current()
	dump := Dump{
		Daemon:   d.settings.Daemon.ID,
		At:       time.Now().UTC(),
		Started:  d.started.UTC(),
		State:    state,
		InFlight: inFlight,
		Settings: d.settings,
	}
	for _, m := range d.namedModules() {
		if state := stateOf(m.module); state != nil {
			dump.Modules = append(dump.Modules, ModuleState{m.name, state})
		}
	}
	return dump
}

func (d *Daemon) getDump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.Dump())
}

// ProcessMetrics holds the metrics of the process.
type ProcessMetrics struct {
	UptimeSeconds int64  `json:"uptime_seconds"`
	Goroutines    int    `json:"goroutines"`
	HeapBytes     uint64 `json:"heap_bytes"`
	State         State  `json:"state"`
	InFlight      int    `json:"in_progress"`
	Refused       int64  `json:"refused"` // requests refused while draining or isolated
}

// metrics serves an expvar map of this daemon instead of the global one, since several
// daemons may share a process.
func (d *Daemon) metrics() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("process", expvar.Func(func() any { return d.processMetrics() }))
	for _, m := range d.namedModules() {
		if countersOf(m.module) != nil {
			vars.Set(m.name, expvar.Func(func() any { return countersOf(m.module) }))
		}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, vars.String())
	})
}

func (d *Daemon) processMetrics() ProcessMetrics {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	state, inFlight := d.gate.current()
	return ProcessMetrics{
		UptimeSeconds: int64(time.Since(d.started).Seconds()),
		Goroutines:    runtime.NumGoroutine(),
		HeapBytes:     memory.HeapAlloc,
		State:         state,
		InFlight:      inFlight,
		Refused:       d.gate.refusedCount(),
	}
}
