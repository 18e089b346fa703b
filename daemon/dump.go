package daemon

import (
	"expvar"
	"io"
	"net/http"
	"runtime"
	"time"
)

// Dump answers GET /v1/dump.
type Dump struct {
	Daemon     string        `json:"daemon"`
	At         time.Time     `json:"at"`
	Started    time.Time     `json:"started"`
	State      State         `json:"state"`
	InProgress int           `json:"in_progress"`
	Settings   Settings      `json:"settings"`
	Modules    []ModuleState `json:"modules"`
}

// ModuleState is the state of one module.
type ModuleState struct {
	Module string `json:"module"`
	State  any    `json:"state"`
}

type dumper interface{ Dump() any }

// Dump returns the state of every module.
func (d *Daemon) Dump() Dump {
	state, progress := d.gate.current()
	dump := Dump{
		Daemon:     d.settings.Daemon.ID,
		At:         time.Now().UTC(),
		Started:    d.started.UTC(),
		State:      state,
		InProgress: progress,
		Settings:   d.settings,
	}
	for _, part := range d.parts() {
		if module, ok := part.module.(dumper); ok {
			dump.Modules = append(dump.Modules, ModuleState{part.name, module.Dump()})
		}
	}
	return dump
}

func (d *Daemon) getDump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.Dump())
}

// Process are metrics of the process.
type Process struct {
	UptimeSeconds int64  `json:"uptime_seconds"`
	Goroutines    int    `json:"goroutines"`
	HeapBytes     uint64 `json:"heap_bytes"`
	State         State  `json:"state"`
	InProgress    int    `json:"in_progress"`
}

// metrics serves the daemon's own expvar map, since several daemons may share a process.
func (d *Daemon) metrics() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("process", expvar.Func(func() any { return d.process() }))
	vars.Set("alarm", expvar.Func(func() any { return d.modules.Alarms.Counters() }))
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, vars.String())
	})
}

func (d *Daemon) process() Process {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	state, progress := d.gate.current()
	return Process{
		UptimeSeconds: int64(time.Since(d.started).Seconds()),
		Goroutines:    runtime.NumGoroutine(),
		HeapBytes:     memory.HeapAlloc,
		State:         state,
		InProgress:    progress,
	}
}
