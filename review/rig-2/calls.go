package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// cases are the cases by name. A case returns 0 if the rule held, 1 if it was broken and 2 if the case
// could not be played.
var cases = map[string]func(r *rig, trouble bool) int{}

const host = "desk.example"

// The services of the stand-ins: a pool of model replicas and a plain service.
const (
	pool = "pool"
	desk = "desk"
)

// route returns a route of the desired state.
func route(name, kind, prefix, service string) obj {
	r := obj{"Name": name, "Hostname": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2, "Backend": service, "MaxAttempts": 3}
	if kind == "rollout" {
		r["TimeoutMs"], r["TargetLatencyMs"], r["Priority"], r["DueMs"], r["RetentionS"] = 10000, 400, 1, 7500, 60
	}
	return r
}

// configure writes a desired state. It returns once the store has confirmed it.
func (r *rig) configure(version int, routes ...obj) {
	r.store.PutSpec("config/main", encode(obj{
		"Version": version, "Routes": routes,
		"Services": []obj{
			{"Name": pool, "HealthPath": "/health", "MaxConns": 140, "Protocol": "h1", "Tls": false, "Engine": obj{"Slots": 8, "KvCacheTokens": r.kvTokens, "Models": []obj{{"Name": "m0"}}}},
			{"Name": desk, "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits": obj{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}))
}

var newChannels = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call on a new channel.
func call(ctx context.Context, e *edge, method, path, id string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	resp, err := newChannels.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}
