package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelReplica is a sound model replica whose events have a given size.
type modelReplica struct {
	id         string
	events     int
	eventBytes int
	delay      time.Duration // between two events
	onRun      func(item string)
	onEnd      func(item string) // called when a stream has been sent whole
	filler     string            // of the events' text, "t" if empty

	server *httptest.Server
	mu     sync.Mutex
	orders int64
	fence  int64
	loaded int64
}

// addModelReplica starts a replica and writes its entry.
func (r *rig) addModelReplica(m *modelReplica) {
	m.loaded = 1
	m.server = httptest.NewServer(m)
	r.closers = append(r.closers, func() { m.server.CloseClientConnections(); m.server.Close() })
	entry, err := json.Marshal(map[string]any{
		"Backend": "lm-pool", "Address": strings.TrimPrefix(m.server.URL, "http://"), "Zone": "litoral-a", "Slots": 8, "State": "ready", "Seq": 1, "born": 1,
		"Models": []map[string]any{{"Name": model, "Version": 1}},
	})
	if err != nil {
		panic(err)
	}
	r.store.PutSpec("servers/"+m.id, entry)
}

// eventText returns the data of event n of an item.
func eventText(item string, n, size int, filler string) string {
	text := fmt.Sprintf("%s event %d ", item, n)
	filler = cmp.Or(filler, "t")
	return text + strings.Repeat(filler, max(size-len(text), 0)/len(filler)+1)[:max(size-len(text), 0)]
}

// ServeHTTP implements http.Handler.
func (m *modelReplica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/hornbeamtide/report":
		m.mu.Lock()
		defer m.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"Models": []map[string]any{{"Name": model, "Version": m.loaded}}, "Busy": false, "Seq": m.orders})
		return
	case "/hornbeamtide/order":
		w.WriteHeader(http.StatusBadRequest) // no version is named in these cases
		return
	}
	item := req.Header.Get("Request-Id")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if m.onRun != nil {
		m.onRun(item)
	}
	w.Header().Set("Request-Id", item)
	w.Header().Set("Server-Stamp", "stamp-"+item)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	for n := after + 1; n <= m.events; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(m.delay):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventText(item, n, m.eventBytes, m.filler))
		_ = rc.Flush()
	}
	if m.onEnd != nil {
		m.onEnd(item)
	}
}
