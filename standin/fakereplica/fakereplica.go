// Package fakereplica is a small stand-in for a backend server that speaks the published
// protocol: plain answers, streams of events that can be resumed, scores, reports and
// fenced orders to load a weight version, with faults that a test sets.
package fakereplica

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Faults is the set of faults in effect. The zero value is a healthy replica.
type Faults struct {
	Full       bool          // refuses requests as not run
	Status     int           // runs requests and answers with this status
	Unsigned   bool          // answers lack the signature
	OtherID    bool          // answers name another request
	BreakAfter int           // streams break off after so many events, 0 for never
	Truncate   bool          // plain answers break off in their body
	Pause      time.Duration // before each event and before a plain answer
	LoseOrders bool          // orders are carried out and not answered
}

// Config describes a replica.
type Config struct {
	ID      string
	Service string
	Domain  string
	Model   string // "" for a plain server
	Events  int    // events of a text
}

// Replica is the fake. All methods may be called at any time.
type Replica struct {
	Config

	server *httptest.Server

	mu        sync.Mutex
	announced string // address in the entry, if another than its own
	faults    Faults
	version   int64
	fence     int64
	orders    int64
	runs      map[string]int // by request ID
	starts    map[string][]int64
	running   int
	received  []string // holders of accepted orders
}

// Start runs a replica on a free port of the loopback.
func Start(config Config) *Replica {
	r := &Replica{Config: config, version: 1, runs: map[string]int{}, starts: map[string][]int64{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hornbeamtide/report", r.report)
	mux.HandleFunc("POST /hornbeamtide/order", r.order)
	mux.HandleFunc("/", r.serve)
	r.server = httptest.NewServer(r.checkIdentity(mux))
	return r
}

// Close ends the replica and breaks its connections.
func (r *Replica) Close() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// Address returns host:port.
func (r *Replica) Address() string { return r.server.Listener.Addr().String() }

// Announce has the replica's entry name another address, as that of a proxy before it.
func (r *Replica) Announce(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announced = address
}

// Entry is what the replica writes of itself into the store, in the given state.
func (r *Replica) Entry(state string) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := r.Address()
	if r.announced != "" {
		address = r.announced
	}
	entry := map[string]any{
		"Backend": r.Service, "Address": address, "Zone": r.Domain, "Slots": 8, "State": state, "Seq": r.orders, "born": 1,
	}
	if r.Model != "" {
		entry["Models"] = []map[string]any{{"Name": r.Model, "Version": r.version}}
	}
	text, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return text
}

// SetFaults replaces the faults in effect.
func (r *Replica) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Runs returns how often a request ran.
func (r *Replica) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Total returns how many requests ran.
func (r *Replica) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.runs {
		total += n
	}
	return total
}

// Starts returns the events after which runs of a request began.
func (r *Replica) Starts(id string) []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int64(nil), r.starts[id]...)
}

// Version returns the loaded weight version.
func (r *Replica) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Holders returns who gave the accepted orders, in their order.
func (r *Replica) Holders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.received...)
}

// Text is the event n, from 1, of an item.
func Text(id string, n int) string { return fmt.Sprintf("%s piece %d", id, n) }

func (r *Replica) checkIdentity(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != r.ID {
			w.Header().Set("Replica-Id", r.ID)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, req)
	})
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := req.Header.Get("Request-Id")
	r.mu.Lock()
	f, version := r.faults, r.version
	after, _ := strconv.ParseInt(req.Header.Get("Last-Event-Id"), 10, 64) // absent: from the start
	if !f.Full {
		r.runs[id]++
		r.starts[id] = append(r.starts[id], after)
	}
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	if f.Full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Request-Id", id)
	if f.OtherID {
		w.Header().Set("Request-Id", "another")
	}
	if !f.Unsigned {
		w.Header().Set("Server-Stamp", "stamp-"+id)
	}
	if f.Status != 0 {
		w.WriteHeader(f.Status)
		return
	}
	if r.Model == "" {
		r.answer(w, f, body)
		return
	}
	r.stream(w, req, f, id, int(after), version)
}

func (r *Replica) answer(w http.ResponseWriter, f Faults, body []byte) {
	time.Sleep(f.Pause)
	text := append([]byte("answer to "), body...)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if f.Truncate {
		_, _ = w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request, f Faults, id string, after int, version int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for n := after + 1; n <= r.Events; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(f.Pause):
		}
		if f.BreakAfter > 0 && n-after > f.BreakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: cut wi", n)
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if now := r.Version(); now != version {
			version = now
			_, _ = fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Text(id, n))
		_ = flush.Flush()
	}
}

func (r *Replica) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Models": []map[string]any{{"Name": r.Model, "Version": r.version}}, "Busy": false, "Seq": r.orders,
	})
}

func (r *Replica) order(w http.ResponseWriter, req *http.Request) {
	var order struct {
		Op, Model, Holder             string
		Version, FenceToken, Expected int64
	}
	if json.NewDecoder(req.Body).Decode(&order) != nil || order.Holder == "" || order.FenceToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case order.FenceToken < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case order.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.fence = order.FenceToken
	r.orders++
	r.version = max(r.version, order.Version)
	r.received = append(r.received, order.Holder)
	if r.faults.LoseOrders {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

// Silence makes a listener that takes connections and never answers, as a replica does
// that went dark. Closing it ends it.
func Silence() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
