package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// twice: channels between the edges and the servers are reset (reset_conns) while the servers work
// on requests of a non_idempotent route, whose clients send a header Idempotency-Key. Judged: TWICE,
// "a request that isn't idempotent runs more than once".
func twice(r *rig) bool {
	runs := &runLog{rig: r, runs: map[string]int{}}
	var proxies []*resetProxy
	for i := range 3 {
		id := fmt.Sprint("i-desk-", i)
		p := &resetProxy{target: serve(runs.handler(id, 150*time.Millisecond)), open: map[net.Conn]bool{}}
		proxies = append(proxies, p)
		r.putServer(id, "ledgerdesk", p.start(), 8, "ready")
	}
	r.configure(1, []map[string]any{
		{"Name": "orders", "PathPrefix": "/orders/", "Kind": "non_idempotent", "Backend": "ledgerdesk", "TimeoutMs": 3000, "TargetLatencyMs": 400, "MaxAttempts": 3},
	}, []map[string]any{{"Name": "ledgerdesk"}})
	r.startEdges(3, nil)
	end := time.Now().Add(30 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	for i, e := range r.edges {
		for n := range 6 {
			group.Go(func() {
				client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableCompression: true}}
				for k := 0; time.Now().Before(end); k++ {
					id := fmt.Sprintf("%x%x-%04x%08x", i, n, k, rand.Uint32())
					r.note("request %s sent to %s", id, e.id)
					a := send(client, e.front, "POST", "/orders/new", id, []byte("one truckload of grit"), "Deadline-Ms", "2500", "Idempotency-Key", "key-"+id)
					r.note("request %s: the client gets %v", id, a)
					mu.Lock()
					answers[id] = a
					mu.Unlock()
					time.Sleep(30 * time.Millisecond)
				}
			})
		}
	}
	for trouble() && time.Now().Before(end.Add(-time.Second)) {
		time.Sleep(1500 * time.Millisecond)
		reset := 0
		for _, p := range proxies {
			reset += p.reset(0.55 * 0.35)
		}
		r.note("%d channels to servers were reset", reset)
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	runs.mu.Lock()
	defer runs.mu.Unlock()
	served, repeated := 0, 0
	for id, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		if runs.runs[id] > 1 {
			repeated++
			r.note("request %s ran %d times, though its route is non_idempotent and its client sent it once; the client got %v", id, runs.runs[id], a)
		}
	}
	fmt.Printf("%d requests sent once each, %d served, %d ran more than once\n", len(answers), served, repeated)
	if served < len(answers)/2 {
		fail("too few requests were served")
	}
	return repeated == 0
}

// runLog counts the runs of each request.
type runLog struct {
	*rig
	mu   sync.Mutex
	runs map[string]int
}

// handler is a sound server that works for some time on each request.
func (l *runLog) handler(id string, work time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		request := req.Header.Get("Request-Id")
		l.mu.Lock()
		l.runs[request]++
		l.mu.Unlock()
		l.note("server %s runs %s", id, request)
		time.Sleep(work)
		w.Header().Set("Request-Id", request)
		w.Header().Set("Server-Stamp", "stamp-"+request)
		_, _ = w.Write([]byte("answer to " + request))
	})
}

// resetProxy forwards connections to a server and can reset some of them.
type resetProxy struct {
	target string
	mu     sync.Mutex
	open   map[net.Conn]bool
}

func (p *resetProxy) start() string {
	l := listen()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return l.Addr().String()
}

func (p *resetProxy) forward(conn net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	p.open[conn] = true
	p.mu.Unlock()
	go func() { _, _ = io.Copy(server, conn); _ = server.Close() }()
	_, _ = io.Copy(conn, server)
	_ = conn.Close()
	p.mu.Lock()
	delete(p.open, conn)
	p.mu.Unlock()
}

// reset resets a share of the open connections.
func (p *resetProxy) reset(share float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for conn := range p.open {
		if rand.Float64() < share {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			count++
		}
	}
	return count
}
