package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeweights"
)

// testTimeout is the time after which a test stops waiting for a condition and fails.
const testTimeout = 20 * time.Second

// testSystem is a region whose daemons and fakes run in the test process.
type testSystem struct {
	t              *testing.T
	platform       *fakeplatform.Server
	platformServer *httptest.Server
	weightsServer  *httptest.Server
	plain          *plainServer
	daemons        []*testDaemon
}

// testDaemon is one running daemon.
type testDaemon struct {
	*Daemon
	stop func()
	done chan error
	log  *lockedBuffer
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// plainServer is a backend server of a plain service. Each request takes serviceTime.
type plainServer struct {
	serviceTime time.Duration
	runs        atomic.Int64
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.runs.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(p.serviceTime):
	case <-r.Context().Done():
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_, _ = io.WriteString(w, "done")
}

// newSystem starts the fakes: a platform, a weight store, two engines in pool draftpool
// and a plain server in pool ledgerdesk with the given service time.
func newSystem(t *testing.T, serviceTime time.Duration) *testSystem {
	t.Helper()
	s := &testSystem{t: t, platform: fakeplatform.New(fakeplatform.Config{})}
	s.platformServer = serve(t, s.platform.Handler())
	s.weightsServer = serve(t, fakeweights.New(fakeweights.Config{}).Handler())
	s.plain = &plainServer{serviceTime: serviceTime}
	for i := range 2 {
		engine := fakeengine.New(fakeengine.Config{ID: fmt.Sprintf("e%d", i), Pool: "draftpool", Version: 1, TokenTime: time.Millisecond})
		t.Cleanup(engine.Close)
		s.registerInstance("draftpool", fmt.Sprintf("e%d", i), serve(t, engine.Handler()))
	}
	s.registerInstance("ledgerdesk", "desk", serve(t, s.plain))
	return s
}

func serve(t *testing.T, h http.Handler) *httptest.Server {
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

func hostPort(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

func (s *testSystem) registerInstance(pool, id string, server *httptest.Server) {
	s.platform.SetInstance(objectapi.Instance{ID: id, Pool: pool, Address: hostPort(server), Region: "pk-south", FailureDomain: "khi-a", State: objectapi.Live})
}

// settings returns the settings of the nth daemon with short intervals.
func (s *testSystem) settings(n int) Settings {
	text := fmt.Sprintf(`[daemon]
id = d%d
http_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
region = pk-south
failure_domain = khi-a
drain_time = 20s
drain_notice = 0s
[platform]
address = %s
weight_address = %s
read_rate = 0
write_rate = 0
[peers]
report_interval = 100ms
list_interval = 100ms
direct_interval = 100ms
member_timeout = 2s
isolation_limit = 2s
`, n, hostPort(s.platformServer), hostPort(s.weightsServer))
	settings, err := ParseSettings("test.ini", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	return settings
}

// start runs a daemon with the settings and adds it to the instance list.
func (s *testSystem) start(settings Settings) *testDaemon {
	s.t.Helper()
	log := &lockedBuffer{}
	d, err := New(settings, log)
	if err != nil {
		s.t.Fatal(err)
	}
	s.platform.SetInstance(objectapi.Instance{
		ID: settings.Daemon.ID, Pool: objectapi.DaemonPool, Address: d.Address(), PeerAddress: d.PeerAddress(),
		Region: settings.Daemon.Region, FailureDomain: settings.Daemon.FailureDomain, State: objectapi.Live,
	})
	ctx, cancel := context.WithCancel(context.Background())
	running := &testDaemon{Daemon: d, stop: cancel, done: make(chan error, 1), log: log}
	go func() { running.done <- d.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		select {
		case <-running.done:
		case <-time.After(testTimeout):
			s.t.Error("daemon did not stop")
		}
	})
	s.daemons = append(s.daemons, running)
	return running
}

// apply writes an example document through d and waits until it is in force on d.
func (s *testSystem) apply(d *testDaemon, service string) int64 {
	s.t.Helper()
	source, err := os.ReadFile("../examples/documents/" + service + ".ini")
	if err != nil {
		s.t.Fatal(err)
	}
	return s.applyText(d, service, string(source))
}

func (s *testSystem) applyText(d *testDaemon, service, text string) int64 {
	s.t.Helper()
	result := d.call(http.MethodPut, "/v1/documents/"+service, text, "If-Match", "0")
	if result.status != http.StatusOK {
		s.t.Fatalf("apply: %d %s", result.status, result.body)
	}
	version, err := strconv.ParseInt(result.header.Get(HeaderVersion), 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	waitUntil(s.t, service+" in force and ready", func() bool {
		doc, ok := d.modules.Documents.Document(service)
		return ok && doc.Version >= version && d.modules.Fleet.Ready() && len(d.modules.View.Replicas(service)) > 0
	})
	return version
}

// callResult is the response to one HTTP call, or the error that ended it.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error // set if the connection failed before the response was complete
}

// call sends one request. header holds alternating names and values.
func (d *testDaemon) call(method, path, body string, header ...string) callResult {
	request, err := http.NewRequest(method, "http://"+d.Address()+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(content), err}
}

func (a callResult) fault(t *testing.T) fault.Body {
	t.Helper()
	var body fault.Body
	if err := json.Unmarshal([]byte(a.body), &body); err != nil {
		t.Fatalf("status %d, body %q: %v", a.status, a.body, err)
	}
	return body
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timeout after %v: %s", testTimeout, what)
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
