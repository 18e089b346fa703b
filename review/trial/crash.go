package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// crash: half of the trainers leave within 200 ms (half the objective) of sending a batch
// submission (give_up). Judged: LOST, "a machine in touch passes a request from a kept channel on
// to a sound replica and closes that channel without an answer, more than three times". No machine
// has an impairment, and an end of a process of its own counts as running.
func crash(r *rig) bool {
	const batchItems, itemBytes = 1024, 1024
	arrived := &arrivals{at: map[string]time.Duration{}}
	r.startDesks(3, 250*time.Millisecond, arrived)
	for i := range 4 {
		replica := fakereplica.Start(fakereplica.Config{ID: fmt.Sprint("i-draft-", i), Service: "draftpool", FailureDomain: "a", Model: "m0", Events: 4})
		defer replica.Close()
		r.store.PutSpec("servers/"+replica.ID, replica.Entry("ready"))
	}
	models := []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6"}
	r.configure(1, []map[string]any{
		{"Name": "drafts", "PathPrefix": "/drafts/", "Kind": "rollout", "Backend": "draftpool", "TimeoutMs": 10000, "TargetLatencyMs": 400, "MaxAttempts": 3, "DueMs": 7500, "RetentionS": 40},
		{"Name": "records", "PathPrefix": "/records/", "Kind": "idempotent", "Backend": "ledgerdesk", "TimeoutMs": 5000, "TargetLatencyMs": 400, "MaxAttempts": 2},
	}, []map[string]any{
		{"Name": "draftpool", "Engine": map[string]any{"Slots": 8, "KvCacheTokens": 89884, "Models": []map[string]any{{"Name": "m0", "Version": 1}}}},
		{"Name": "ledgerdesk"},
	})
	r.startEdges(4, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 70*time.Second)
	defer cancel()
	var group sync.WaitGroup
	lost := make([]atomic.Int64, len(r.edges))
	for i, e := range r.edges {
		for n := range 6 {
			group.Go(func() { r.keptChannel(ctx, e, fmt.Sprintf("c%d%d", i, n), arrived, &lost[i]) })
		}
	}
	time.Sleep(time.Second)
	var answered, left atomic.Int64
	for n := range 3 { // trainers
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%08x%04x%04x", rand.Uint32(), n, i)
				model, e := models[rand.IntN(len(models))], r.edges[rand.IntN(len(r.edges))]
				body := batchBody(id, model, batchItems, itemBytes)
				if !trouble() || rand.IntN(2) == 0 {
					a := call(e.front, "POST", "/drafts/"+id, id, body, 6*time.Second, "Deadline-Ms", "5000", "Content-Type", "application/json")
					r.note("batch %s of %s, %d items, sent to %s: %v", id, model, batchItems, e.id, a)
					_ = call(e.front, "DELETE", "/hornbeamtide/lots/"+id, "", nil, 3*time.Second)
					answered.Add(1)
				} else {
					after := time.Duration(rand.IntN(200)) * time.Millisecond
					leave(e.front, "/drafts/"+id, id, body, after)
					r.note("batch %s of %s, %d items, sent to %s: its trainer left %v after its last byte", id, model, batchItems, e.id, after)
					left.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
				for i := range lost {
					if lost[i].Load() > 3 && r.edges[i].ends() > 0 && r.crashedMachines(1) >= 2 {
						cancel()
					}
				}
			}
		})
	}
	group.Wait()
	broken := false
	for i, e := range r.edges {
		r.note("%s: %d requests of kept channels were passed on and ended without an answer; its process ended %d times by itself", e.id, lost[i].Load(), e.ends())
		fmt.Printf("%s: %d requests of kept channels lost, its process ended %d times by itself\n", e.id, lost[i].Load(), e.ends())
		broken = broken || lost[i].Load() > 3
	}
	fmt.Printf("%d submissions answered, %d left by their trainers\n", answered.Load(), left.Load())
	if answered.Load() == 0 {
		fail("no submission was answered")
	}
	return !broken
}

// keptChannel sends one request after the other on a kept channel, and counts those that a server
// had and that got no answer.
func (r *rig) keptChannel(ctx context.Context, e *edge, prefix string, arrived *arrivals, lost *atomic.Int64) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
	kept := false // a request was answered on the channel
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%06d", prefix, i)
		a := send(client, e.front, "POST", "/records/"+id, id, []byte("record"), "Deadline-Ms", "4500")
		at, passedOn := arrived.of(id)
		switch {
		case a.err == nil:
			kept = true
			if a.status != http.StatusOK {
				r.note("request %s sent to %s: %v", id, e.id, a)
			}
		case isTimeout(a.err): // the client gave up: the machine closed nothing
			r.note("request %s sent to %s: its client gave up", id, e.id)
			kept = false
		case kept && passedOn && ctx.Err() == nil:
			lost.Add(1)
			r.note("request %s sent to %s on a kept channel, at a server at %.3f s: %v", id, e.id, at.Seconds(), a)
			kept = false
		default:
			kept = false
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// crashedMachines returns how many machines had at least n ends of their own.
func (r *rig) crashedMachines(n int) int {
	count := 0
	for _, e := range r.edges {
		if e.ends() >= n {
			count++
		}
	}
	return count
}

// arrivals holds when a server began to work on each request.
type arrivals struct {
	mu sync.Mutex
	at map[string]time.Duration
}

func (a *arrivals) of(id string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.at[id]
	return at, ok
}

// startDesks starts sound plain servers that work for the given time on each request.
func (r *rig) startDesks(n int, work time.Duration, arrived *arrivals) {
	for i := range n {
		id := fmt.Sprint("i-desk-", i)
		address := serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			request := req.Header.Get("Request-Id")
			arrived.mu.Lock()
			arrived.at[request] = time.Since(r.started)
			arrived.mu.Unlock()
			time.Sleep(work)
			w.Header().Set("Request-Id", request)
			w.Header().Set("Server-Stamp", "stamp-"+request)
			_, _ = w.Write([]byte("answer to " + request))
		}))
		r.putServer(id, "ledgerdesk", address, 24, "ready")
	}
}

// putServer writes a server's entry.
func (r *rig) putServer(id, service, address string, slots int, state string) {
	text, err := json.Marshal(map[string]any{"Backend": service, "Address": address, "Zone": "a", "Version": "v1", "Slots": slots, "State": state, "ColdLeftMs": 0, "Seq": 0, "born": time.Now().UnixMilli()})
	if err != nil {
		fail("%v", err)
	}
	r.store.PutSpec("servers/"+id, text)
}

// batchBody returns a batch submission in groups of 8 items.
func batchBody(id, model string, items, size int) []byte {
	body := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", size)))
	var list []map[string]any
	for i := range items {
		item := fmt.Sprintf("%s%04x", id[:12], i)
		list = append(list, map[string]any{
			"Id": item, "Path": "/drafts/3/" + item, "Headers": map[string]string{"Model": model, "Token-Usage": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"},
			"Body": body, "Tokens": 940, "Group": fmt.Sprint("g", i/8),
		})
	}
	text, err := json.Marshal(map[string]any{"Step": 0, "Model": model, "MinVersion": 1, "GroupCount": items / 8, "Items": list})
	if err != nil {
		fail("%v", err)
	}
	return text
}

// leave sends a request and closes the connection some time after its last byte was written.
func leave(address, path, id string, body []byte, after time.Duration) {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nDeadline-Ms: 5000\r\n\r\n", path, host, id, len(body))
	_, _ = conn.Write(body)
	time.Sleep(after)
}
