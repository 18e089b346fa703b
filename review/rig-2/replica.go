package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// replica stands in for a replica, of a model or plain, as the pages describe it.
type replica struct {
	rig     *rig
	id      string
	service string
	zone    string
	model   string // "" for a plain service
	events  int
	pace    time.Duration // between two events, or of a plain request
	address string
	born    int64
	server  *http.Server
	// before, if set, may answer a request itself; it reports whether it did.
	before func(w http.ResponseWriter, req *http.Request, id string) bool
	// onRun is told of each request that begins to run.
	onRun func(id string, req *http.Request, after int)

	mu      sync.Mutex
	version int64
	seq     int64
	fence   int64
	runs    map[string]int
}

func (r *rig) addReplica(p *replica) *replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p.rig, p.address, p.born, p.version, p.runs = r, listener.Addr().String(), time.Now().UnixMilli(), 1, map[string]int{}
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	p.publish("ready")
	return p
}

// publish writes the replica's entry to the store.
func (p *replica) publish(state string) {
	p.mu.Lock()
	entry := obj{"Backend": p.service, "Address": p.address, "Zone": p.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0, "Seq": time.Now().UnixMilli() % 100000, "born": p.born}
	if p.model != "" {
		entry["Stage"], entry["Models"] = "both", []obj{{"Name": p.model, "Version": p.version, "Adapters": []string{}}}
	}
	p.mu.Unlock()
	p.rig.store.PutSpec("servers/"+p.id, encode(entry))
}

func (p *replica) ran(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

func eventData(id string, n int) string { return fmt.Sprintf("%s-%03d", id, n) }

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("Expect-Replica"); want != "" && want != p.id {
		w.Header().Set("Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/hornbeamtide/report":
		p.mu.Lock()
		report := obj{"Stage": "both", "Models": []obj{{"Name": p.model, "Version": p.version, "Adapters": []string{}}}, "Busy": false, "Seq": p.seq, "NumWaiting": 0, "NumRunning": 0, "KvUsed": 0, "KvTotal": p.rig.kvTokens, "Handles": 0}
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encode(report))
		return
	case "/health":
		w.Header().Set("Replica-Id", p.id)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if p.before != nil && p.before(w, req, id) {
		return
	}
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	p.mu.Lock()
	p.runs[id]++
	version := p.version
	p.mu.Unlock()
	if p.onRun != nil {
		p.onRun(id, req, after)
	}
	w.Header().Set("Server-Stamp", "stamp."+p.id+"."+id)
	if p.model == "" {
		time.Sleep(p.pace)
		answer := []byte(fmt.Sprintf("%s answers %s with %d bytes", p.id, id, len(body)))
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for n := after + 1; n <= p.events; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(p.pace):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n))
		_ = flush.Flush()
	}
}
