package edge

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamtide/hornbeamtide/standin/oddserver"
)

// oddText marks bodies of odd servers.
const oddText = "odd text"

// respondOddly returns a responder with the given head. The rest is what a sound server would send, also to
// a request for a report.
func respondOddly(head string) oddserver.Responder {
	report := oddserver.Respond("HTTP/1.1 200 OK\r\n", func(*http.Request) string { return "" }, fmt.Sprintf(`{"Models":[{"Name":%q,"Version":1}]}`, testModel))
	odd := oddserver.Respond(head, func(r *http.Request) string {
		id := r.Header.Get("Request-Id")
		return fmt.Sprintf("Request-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n", id, id)
	}, "id: 1\ndata: "+oddText+"\n\n")
	return func(conn *net.TCPConn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/hornbeamtide/") {
			return report(conn, r)
		}
		return odd(conn, r)
	}
}

// startOddServers starts two odd servers of each service.
func (s *testSystem) startOddServers(head string) (servers []*oddserver.Server) {
	s.t.Helper()
	for _, service := range []string{modelPool, plainPool} {
		for i := range 2 {
			server, err := oddserver.Start(respondOddly(head))
			if err != nil {
				s.t.Fatal(err)
			}
			s.t.Cleanup(server.Close)
			entry := map[string]any{"Backend": service, "Address": server.Address(), "Zone": "a", "Slots": 8, "State": "ready", "born": 1}
			if service == modelPool {
				entry["Models"] = []map[string]any{{"Name": testModel, "Version": 1}}
			}
			text, err := json.Marshal(entry)
			if err != nil {
				s.t.Fatal(err)
			}
			s.store.PutSpec(fmt.Sprintf("servers/odd-%s-%d", service, i), text)
			servers = append(servers, server)
		}
	}
	for _, d := range s.daemons {
		s.eventually("the odd servers are known", func() bool {
			return len(d.Tracker.Replicas(modelPool)) == 5 && len(d.Tracker.Replicas(plainPool)) == 5
		})
	}
	return servers
}

func totalRequests(servers []*oddserver.Server) (total int64) {
	for _, server := range servers {
		total += server.Requests()
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
			servers := s.startOddServers(head)
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
