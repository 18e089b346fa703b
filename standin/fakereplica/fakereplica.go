// Package fakereplica is a fake backend server that implements the published protocol: plain
// responses, resumable event streams, scores, reports and fenced orders to load a weight
// version. Tests can set faults.
package fakereplica

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults is the set of faults in effect. The zero value is a healthy replica.
type Faults struct {
	Full               bool          // refuses requests with status 503 and marks them as not run
	Status             int           // runs requests and responds with this status; 0 for none
	Unsigned           bool          // responses have no signature
	WrongRequestID     bool          // responses carry the ID of another request
	BreakAfter         int           // streams are cut within the next event after this many events; 0 for never
	EndlessPath        string        // streams of paths that begin with it go on after their last event, with events of 4 KB; "" for none
	Truncate           bool          // plain responses are cut in the middle of the body
	Delay              time.Duration // delay before each event and before a plain response
	LoseOrderResponses bool          // orders take effect but get no response
	CrashBody          string        // a request with this body ends the replica; "" for none
	RequestLimit       float64       // named in responses: requests per second that it accepts from all daemons; 0 for none
	Leaving            bool          // all responses announce that the replica is leaving
}

// Config configures a Replica.
type Config struct {
	ID            string
	Service       string
	FailureDomain string
	Model         string                              // "" for a plain server
	Events        int                                 // number of events of each completion
	OnCrash       func()                              // called when a request has ended the replica, must not block; may be nil
	OnRun         func(id string, header http.Header) // called when a request begins to run, must not block; may be nil
}

// Replica is the fake backend server. Its methods are safe for concurrent use.
type Replica struct {
	Config

	server *httptest.Server

	mu                  sync.Mutex
	announcedAddress    string // address in the store entry; "" for the replica's own
	faults              Faults
	version             int64
	highestFencingToken int64
	acceptedOrders      int64
	runs                map[string]int         // by request ID
	startEvents         map[string][]int64     // by request ID: for each run, the event after which it began
	headers             map[string]http.Header // of the last request by its ID
	running             int
	orderHolders        []string // Holder of each accepted order
	arrivals            []time.Time
	crashed             bool
}

// Start starts a replica on a free loopback port.
func Start(config Config) *Replica {
	r := &Replica{Config: config, version: 1, runs: map[string]int{}, startEvents: map[string][]int64{}, headers: map[string]http.Header{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hornbeamtide/report", r.handleReport)
	mux.HandleFunc("POST /hornbeamtide/order", r.handleOrder)
	mux.HandleFunc("/", r.serve)
	r.server = httptest.NewServer(r.checkIdentity(mux))
	return r
}

// Close stops the replica and closes its connections.
func (r *Replica) Close() {
	r.server.CloseClientConnections()
	r.server.Close()
}

// Address returns the replica's own host:port.
func (r *Replica) Address() string { return r.server.Listener.Addr().String() }

// SetAnnouncedAddress replaces the address in the replica's store entry, for example by that of
// a proxy.
func (r *Replica) SetAnnouncedAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announcedAddress = address
}

// Entry returns the store entry that the replica writes about itself in the given state.
func (r *Replica) Entry(state string) json.RawMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	address := r.Address()
	if r.announcedAddress != "" {
		address = r.announcedAddress
	}
	entry := map[string]any{
		"Backend": r.Service, "Address": address, "Zone": r.FailureDomain, "Slots": 8, "State": state, "Seq": r.acceptedOrders, "born": 1,
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

// Headers returns the headers of the last request with an ID, nil if there was none.
func (r *Replica) Headers(id string) http.Header {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.headers[id].Clone()
}

// TotalRuns returns how many requests ran.
func (r *Replica) TotalRuns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, n := range r.runs {
		total += n
	}
	return total
}

// Arrivals returns when each request arrived, whether or not it ran.
func (r *Replica) Arrivals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.arrivals...)
}

// RunStartEvents returns, for each run of a request, the event after which the run began. 0 is the
// start of the stream.
func (r *Replica) RunStartEvents(id string) []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int64(nil), r.startEvents[id]...)
}

// Version returns the loaded weight version.
func (r *Replica) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// OrderHolders returns the Holder field of each accepted order, in order of acceptance.
func (r *Replica) OrderHolders() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.orderHolders...)
}

// EventData returns the data of event n of the request with the given ID. n starts at 1.
func EventData(id string, n int) string { return fmt.Sprintf("%s piece %d", id, n) }

// checkIdentity refuses requests that expect another replica.
func (r *Replica) checkIdentity(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != r.ID {
			w.Header().Set("Replica-Id", r.ID)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.mu.Lock()
		leaving := r.faults.Leaving
		r.mu.Unlock()
		if leaving {
			w.Header().Set("Server-Leaving", "1")
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
	r.arrivals = append(r.arrivals, time.Now())
	r.headers[id] = req.Header.Clone()
	after, _ := strconv.ParseInt(req.Header.Get("Last-Event-Id"), 10, 64) // 0 if the header is absent: from the start
	if !f.Full {
		r.runs[id]++
		r.startEvents[id] = append(r.startEvents[id], after)
	}
	r.running++
	r.mu.Unlock()
	if !f.Full && r.OnRun != nil {
		r.OnRun(id, req.Header)
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	if f.RequestLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(f.RequestLimit, 'f', -1, 64))
	}
	if f.Full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.CrashBody != "" && string(body) == f.CrashBody {
		r.crash(f.Delay)
	}
	w.Header().Set("Request-Id", id)
	if f.WrongRequestID {
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
		r.servePlain(w, f, body)
		return
	}
	r.serveStream(w, req, f, id, int(after), version)
}

// crash ends the replica after the given time: it breaks all connections and accepts no more.
func (r *Replica) crash(after time.Duration) {
	time.Sleep(after)
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
	r.mu.Lock()
	crashed := r.crashed
	r.crashed = true
	r.mu.Unlock()
	if !crashed && r.OnCrash != nil {
		r.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

func (r *Replica) servePlain(w http.ResponseWriter, f Faults, body []byte) {
	time.Sleep(f.Delay)
	respBody := append([]byte("answer to "), body...)
	w.Header().Set("Content-Length", strconv.Itoa(len(respBody)))
	if f.Truncate {
		_, _ = w.Write(respBody[:len(respBody)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(respBody)
}

func (r *Replica) serveStream(w http.ResponseWriter, req *http.Request, f Faults, id string, after int, version int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	isEndless := f.EndlessPath != "" && strings.HasPrefix(req.URL.Path, f.EndlessPath)
	for n := after + 1; n <= r.Events || isEndless; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(f.Delay):
		}
		if f.BreakAfter > 0 && n-after > f.BreakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: cut wi", n)
			_ = rc.Flush()
			panic(http.ErrAbortHandler)
		}
		if current := r.Version(); current != version {
			version = current
			_, _ = fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		data := EventData(id, n)
		if n > r.Events {
			data = strings.Repeat(data, 4000/len(data))
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
		_ = rc.Flush()
	}
}

func (r *Replica) handleReport(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Models": []map[string]any{{"Name": r.Model, "Version": r.version}}, "Busy": false, "Seq": r.acceptedOrders,
	})
}

func (r *Replica) handleOrder(w http.ResponseWriter, req *http.Request) {
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
	case order.FenceToken < r.highestFencingToken:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case order.Expected != r.acceptedOrders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.highestFencingToken = order.FenceToken
	r.acceptedOrders++
	r.version = max(r.version, order.Version)
	r.orderHolders = append(r.orderHolders, order.Holder)
	if r.faults.LoseOrderResponses {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

// ListenSilently returns a listener whose connections get no response, like those of an
// unresponsive replica. The caller closes it.
func ListenSilently() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
