package edge

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/platform"
)

// metric is one variable served at the metrics address.
type metric struct {
	name    string
	meaning string // description with the unit
	value   func() any
}

// metrics returns the variables of this daemon. docs/METRICS.md lists them; a test compares
// the page with the code.
func (d *Daemon) metrics() []metric {
	return []metric{
		{"latency", "histograms by kind and labels, see below", func() any { return d.Measures.Summaries() }},
		{"requests", "callers' requests since the start, by outcome", func() any { return d.Gateway.Counters() }},
		{"store", "calls to the platform's store since the start; `watches` are the watch calls in progress", func() any { return d.Store.Calls() }},
		{"connections", "connections opened to replicas since the start", func() any { return d.ReplicaTransport.ConnectionsOpened() }},
		{"peers", "calls to other daemons since the start", func() any { return d.Conns.Counters() }},
		{"batches", "batches known to this daemon, batches that it runs, items waiting in their queues and results waiting to be listed", func() any { return d.Batches.Counts() }},
		{"weights", "orders in progress, replicas lagging behind the newest announced version, and whether this daemon holds the lease", func() any { return d.Waves.Counts() }},
		{"limited_replicas", "replicas that name a request limit: requests per second that they accept from all daemons together, and requests of this daemon since the limit was learned", func() any { return d.RateLimits.Limited() }},
		{"quarantined_requests", "requests that no daemon sends to replicas, since replicas crashed under them", func() any { return d.Quarantine.Quarantined() }},
		{"api_keys", "decisions on requests of organisations since the start: admitted, refused with 401, refused with 503 because the configuration may be outdated, refused with 403", func() any { return d.Gate.Counts() }},
		{"proof_age_ms", "ms since the configuration was last proven to be the newest; an hour if it never was or no proofs are asked for", func() any { return d.Mirror.ProofAge().Milliseconds() }},
		{"duties", "usage reports: the daemon that holds the duty, the last windows and this daemon's counts by organisation; null if none are asked for", func() any { return d.Duties.dump() }},
		{"refused_clients", "clients refused since the start, by reason: `head_bytes` (head too long), `head_time` (head not complete in time), `idle_time` (no byte of a request or its body for too long), `head_memory` (largest of too many unfinished heads), `connections` (longest idle of too many connections), `all_busy` (new connection while all others had a request running), `body_memory` (memory of request bodies and batches used up)", func() any { return d.refusedClients() }},
		{"held_bytes", "memory charged now, in bytes, by kind: `bodies` (request bodies, submissions while they are read, and the items of batches that this daemon runs), `responses` (responses before their first byte is sent), `texts` (unfinished completions of items), `answers` (of the store, while they are read). Completions over their memory start over, responses over theirs are forwarded unbuffered", func() any { return d.heldBytes() }},
		{"configuration_version", "version in force; 0 while none is", func() any {
			if c := d.configuration.Load(); c != nil {
				return c.Version
			}
			return 0
		}},
		{"copy_age_ms", "ms since the mirror of configuration and replicas was last known to match the store", func() any { return d.Mirror.Age().Milliseconds() }},
		{"heard_age_ms", "ms since another daemon last called this one or responded to it", func() any { return d.Mirror.SinceLastContact().Milliseconds() }},
		{"members", "known daemons, including this one", func() any { return len(d.members()) }},
		{"replicas", "known replicas", func() any { return len(d.Mirror.Objects(platform.ReplicaKind)) }},
		{"leaving_replicas", "known replicas that get no new work, since they announced in a response that they are leaving", func() any { return d.Tracker.LeavingCount() }},
		{"draining", "whether a planned stop is in progress", func() any { return d.draining.Load() }},
		{"log_dropped", "log entries dropped because the reader was too slow and not yet reported in the log", func() any { return d.output.Dropped() }},
		{"log_skipped", "log entries skipped since the start because their event exceeded its rate limit", func() any { return d.log.Skipped() }},
		{"uptime_s", "seconds since the start", func() any { return int64(time.Since(d.started).Seconds()) }},
	}
}

// serveMetrics serves the metrics. It returns nil if listener is nil.
func (d *Daemon) serveMetrics(requests context.Context, listener net.Listener) *http.Server {
	if listener == nil {
		return nil
	}
	vars := new(expvar.Map).Init()
	for _, m := range d.metrics() {
		vars.Set(m.name, expvar.Func(m.value))
	}
	return serveHTTP(requests, listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, vars.String()) // on an error the client has disconnected
	}))
}
