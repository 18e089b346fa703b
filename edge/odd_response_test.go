package edge

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/standin/oddserver"
)

// oddText marks bodies of odd servers.
const oddText = "odd text"

// signedHeader returns the headers of a signed response besides those of framing. The signature shows that the
// server is odd.
func signedHeader(r *http.Request) string {
	id := r.Header.Get("Request-Id")
	return fmt.Sprintf("Request-Id: %s\r\nServer-Stamp: odd-stamp-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n", id, id)
}

// oddServer is a server whose reports are sound and whose other responses are not.
type oddServer struct {
	*oddserver.Server

	key      string       // of its store entry
	requests atomic.Int64 // other than for reports
}

func (s *testSystem) startOddServer(respond oddserver.Responder) *oddServer {
	s.t.Helper()
	odd := &oddServer{}
	report := oddserver.Respond("HTTP/1.1 200 OK\r\n", nil, fmt.Sprintf(`{"Models":[{"Name":%q,"Version":1}]}`, testModel))
	server, err := oddserver.Start(func(conn *net.TCPConn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/hornbeamtide/") {
			return report(conn, r)
		}
		odd.requests.Add(1)
		return respond(conn, r)
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	odd.Server = server
	return odd
}

// startOddServers starts a server of each service for each responder, besides the three sound ones.
func (s *testSystem) startOddServers(responders ...oddserver.Responder) (servers []*oddServer) {
	s.t.Helper()
	for _, service := range []string{modelPool, plainPool} {
		for i, respond := range responders {
			server := s.startOddServer(respond)
			entry := map[string]any{"Backend": service, "Address": server.Address(), "Zone": "a", "Slots": 8, "State": "ready", "born": 1}
			if service == modelPool {
				entry["Models"] = []map[string]any{{"Name": testModel, "Version": 1}}
			}
			text, err := json.Marshal(entry)
			if err != nil {
				s.t.Fatal(err)
			}
			server.key = fmt.Sprintf("servers/odd-%s-%d", service, i)
			s.store.PutSpec(server.key, text)
			servers = append(servers, server)
		}
	}
	s.awaitServers(3 + len(responders))
	return servers
}

// removeOddServers removes all servers of startOddServers.
func (s *testSystem) removeOddServers(servers []*oddServer) {
	s.t.Helper()
	for _, server := range servers {
		s.store.Remove(server.key)
		server.Close()
	}
	s.awaitServers(3)
}

// awaitServers waits until all daemons know the given number of servers of each service.
func (s *testSystem) awaitServers(n int) {
	s.t.Helper()
	for _, d := range s.daemons {
		s.eventually("the servers are known", func() bool {
			return len(d.Tracker.Replicas(modelPool)) == n && len(d.Tracker.Replicas(plainPool)) == n
		})
	}
}

func totalRequests(servers []*oddServer) (total int64) {
	for _, server := range servers {
		total += server.requests.Load()
	}
	return total
}

// Guards against an answer that can't be one: a replica in trouble sends a status or a head that no
// response has. Callers must get an answer of a sound replica, or if the request must not run twice an
// error that says so, and items and scores must not take anything of it.
func TestOddResponsesAreFailuresOfTheirReplicas(t *testing.T) {
	for name, head := range oddserver.InvalidHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const requests = 24
			s := newTestSystem(t, 2)
			odd := oddserver.Respond(head, signedHeader, "id: 1\ndata: "+oddText+"\n\n")
			servers := s.startOddServers(odd, odd)
			served := map[string]int{}
			for i := range requests {
				for _, path := range []string{plainPath, nonIdempotentPath, streamPath} {
					d := s.daemons[i%len(s.daemons)]
					got := d.call("POST", path+"x", fmt.Sprintf("%s%d", path, i), []byte("body"))
					switch {
					case got.err != nil:
						t.Errorf("%s: no complete answer: %v", path, got.err)
					case strings.Contains(string(got.body), oddText):
						t.Errorf("%s: status %d with the text of an odd server", path, got.status)
					case got.status == http.StatusOK:
						served[path]++
					case got.status != http.StatusBadGateway:
						t.Errorf("%s: status %d, want 200 or 502", path, got.status)
					}
				}
			}
			if served[plainPath] != requests || served[streamPath] != requests {
				t.Errorf("%v of %d requests served; those that may be repeated must all be", served, requests)
			}
			if n := totalRequests(servers); n == 0 || n >= 3*requests/2 {
				t.Errorf("%d requests sent to the odd servers, want at least one and less than half of %d", n, 3*requests)
			}
			body, ids := batchBody(10, 1)
			if got := s.daemons[0].call("POST", itemPath+"x", "lot-1", body); got.status != http.StatusAccepted {
				t.Fatalf("submission: %+v", got)
			}
			s.checkComplete(s.readAll(s.daemons[0], "lot-1"), ids)
		})
	}
}
