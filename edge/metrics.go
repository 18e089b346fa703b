package edge

import (
	"expvar"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/platform"
)

// metric is one variable at the metrics address.
type metric struct {
	name    string
	meaning string // with the unit
	value   func() any
}

// metrics are the variables of this daemon. docs/METRICS.md lists them; a test compares.
func (d *Daemon) metrics() []metric {
	return []metric{
		{"latency", "histograms by kind and labels, see below", func() any { return d.Measures.Summaries() }},
		{"requests", "callers' requests since the start, by how they ended", func() any { return d.Gateway.Counters() }},
		{"store", "calls to the platform's store since the start; `watches` wait now", func() any { return d.Store.Calls() }},
		{"connections", "connections made to replicas since the start", func() any { return d.Backends.Opened() }},
		{"peers", "calls to other daemons since the start", func() any { return d.Conns.Counters() }},
		{"batches", "batches known here, those that run here, items that wait in their queues and results that wait to be listed", func() any { return d.Batches.Counts() }},
		{"weights", "orders in progress, replicas behind the newest named version, and whether this daemon holds the lease", func() any { return d.Waves.Counts() }},
		{"configuration_version", "version in force; 0 while none is", func() any {
			if c := d.configuration.Load(); c != nil {
				return c.Version
			}
			return 0
		}},
		{"copy_age_ms", "ms since the copy of configuration and replicas was last known to be the store's state", func() any { return d.Mirror.Age().Milliseconds() }},
		{"heard_age_ms", "ms since another daemon was last heard of", func() any { return d.Mirror.HeardAge().Milliseconds() }},
		{"members", "daemons known, this one included", func() any { return len(d.members()) }},
		{"replicas", "replicas known", func() any { return len(d.Mirror.Objects(platform.ReplicaKind)) }},
		{"draining", "whether a planned stop is in progress", func() any { return d.draining.Load() }},
		{"log_dropped", "log entries dropped because the reader was too slow, not told in the log yet", func() any { return d.output.Dropped() }},
		{"log_skipped", "log entries left out since the start because their event came too often", func() any { return d.log.Skipped() }},
		{"uptime_s", "seconds since the start", func() any { return int64(time.Since(d.started).Seconds()) }},
	}
}

// serveMetrics serves the metrics; nil without an address.
func (d *Daemon) serveMetrics(listener net.Listener) *http.Server {
	if listener == nil {
		return nil
	}
	vars := new(expvar.Map).Init()
	for _, m := range d.metrics() {
		vars.Set(m.name, expvar.Func(m.value))
	}
	return serveHTTP(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, vars.String()) // a reader that left asks again
	}))
}
