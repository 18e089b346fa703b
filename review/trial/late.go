package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// late: in every second span of 5 s, three of five servers give a second copy of 3 in 100 of its answers,
// late, at the point where the next answer is expected (garble, extra late). Answers of servers that are full carry no id.
// Judged: TWICE, "a request that isn't idempotent runs more than once", and REFUSED, "answered 429 or
// 503 and has run".
func late(r *rig) bool {
	runs := &runLog{rig: r, runs: map[string]int{}}
	for i := range 5 {
		s := &rawServer{runLog: runs, id: fmt.Sprint("i-desk-", i), slots: 6, work: 100 * time.Millisecond, extra: func() bool { return trouble() && i < 3 && r.inSpan() }}
		r.putServer(s.id, "ledgerdesk", s.start(), s.slots, "ready")
	}
	r.configure(1, []map[string]any{
		{"Name": "orders", "PathPrefix": "/orders/", "Kind": "non_idempotent", "Backend": "ledgerdesk", "TimeoutMs": 3000, "TargetLatencyMs": 400, "MaxAttempts": 3},
	}, []map[string]any{{"Name": "ledgerdesk"}})
	r.startEdges(3, nil)
	end := time.Now().Add(50 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	for i, e := range r.edges {
		for n := range 14 {
			group.Go(func() {
				client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableCompression: true}}
				for k := 0; time.Now().Before(end); k++ {
					id := fmt.Sprintf("%x%02x-%04x%08x", i, n, k, rand.Uint32())
					a := send(client, e.front, "POST", "/orders/new", id, []byte("one truckload of grit "+id), "Deadline-Ms", "2500")
					r.note("request %s sent to %s: %v", id, e.id, a)
					mu.Lock()
					answers[id] = a
					mu.Unlock()
					if a.status == http.StatusServiceUnavailable {
						time.Sleep(50 * time.Millisecond)
					}
				}
			})
		}
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	runs.mu.Lock()
	defer runs.mu.Unlock()
	repeated, refused, served := 0, 0, 0
	for id, a := range answers {
		n := runs.runs[id]
		switch {
		case n > 1:
			repeated++
			r.note("request %s, sent once, ran %d times; the client got %v", id, n, a)
		case n == 1 && a.status == http.StatusServiceUnavailable:
			refused++
			r.note("request %s ran; the client got 503", id)
		}
		if a.status == http.StatusOK {
			served++
		}
	}
	fmt.Printf("%d requests sent once each, %d served, %d ran more than once, %d ran and were answered 503\n", len(answers), served, repeated, refused)
	return repeated+refused == 0
}

// inSpan reports whether the disruption is on: in every second span of 5 s.
func (r *rig) inSpan() bool { return int(time.Since(r.started).Seconds())/5%2 == 1 }

// rawServer is a server that works on some requests at once and refuses the others.
type rawServer struct {
	*runLog
	id    string
	slots int
	work  time.Duration
	extra func() bool // gives some answers twice now

	busyMu sync.Mutex
	busy   int
}

func (s *rawServer) start() string {
	l := listen()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return l.Addr().String()
}

func (s *rawServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var second []byte // late second copy of an answer
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Request-Id")
		if second != nil {
			s.note("server %s gives the answer before this once more, as request %s arrives", s.id, id)
			_, _ = conn.Write(second)
			second = nil
		}
		answer := s.answer(req, id)
		if s.extra() && rand.Float64() < 0.03 {
			second = answer
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// answer works on a request and returns the answer.
func (s *rawServer) answer(req *http.Request, id string) []byte {
	if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != s.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nReplica-Id: " + s.id + "\r\nContent-Length: 0\r\n\r\n")
	}
	s.busyMu.Lock()
	full := s.busy >= s.slots
	if !full {
		s.busy++
	}
	s.busyMu.Unlock()
	if full {
		return []byte("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.note("server %s runs %s", s.id, id)
	time.Sleep(s.work)
	s.busyMu.Lock()
	s.busy--
	s.busyMu.Unlock()
	body := "answer to " + id
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body))
}
