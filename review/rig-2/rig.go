// Command rig plays the cases of the second review: it starts daemons of the project as separate
// processes, and stands in for the platform's store, the replicas, requesters and trainers.
package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

// rig holds the processes and stand-ins of one case.
type rig struct {
	program  string // of the daemon
	dir      string // temporary folder
	start    time.Time
	store    *fakeplatform.Server
	kvTokens int    // memory of a model replica
	host     string // loopback address of this run
	port     int    // last port that was given out

	mu     sync.Mutex
	record io.Writer
	edges  []*edge
}

func newRig(record io.Writer) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	r := &rig{program: os.Getenv("DAEMON"), dir: dir, start: time.Now(), kvTokens: 45164, store: fakeplatform.New(fakeplatform.Config{}), record: record}
	// A host address of its own and ports below the ephemeral range, so that no other connection takes
	// a port between its choice and its use.
	r.host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	r.port = 20000 + rand.IntN(8000)
	return r, nil
}

// note writes a line of the record, with the time since the start of the case.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, e := range r.edges {
		e.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// edge is a daemon that serves requesters.
type edge struct {
	rig                *rig
	id                 string
	front, ready, peer string
	gate               *storeGate
	path               string
	cmd                *exec.Cmd
	done               chan struct{}
}

// freeAddress returns a loopback address with a free port.
func (r *rig) freeAddress() string {
	for {
		r.port++
		address := fmt.Sprintf("%s:%d", r.host, r.port)
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
}

// storeGate is one daemon's way to the store. It counts the daemon's watch calls.
type storeGate struct {
	address string
	watches atomic.Int64
}

func (r *rig) addStoreGate() *storeGate {
	g := &storeGate{address: r.freeAddress()}
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		panic(err)
	}
	handler := r.store.Handler()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Query().Has("Watch") {
				g.watches.Add(1)
			}
			handler.ServeHTTP(w, req)
		}))
	}()
	return g
}

// settings of a small deployment, as deploy/settings.ini.template gives them.
const settings = `[edge]
id = %s
front_address = %s
ready_address = %s
peer_address = %s
region = litoral
failure_domain = %s
seeds = %s
memory = 284
cores = 0.4
stop_time = 8s

[store]
address = %s
writes = 400

[orders]
lease = 3000ms
fenced = yes

[organisations]

[duties]
address =
names =
`

// addEdges starts daemons in the given zones; the first of up to three zones are the seeds.
func (r *rig) addEdges(zones ...string) error {
	var seeds []string
	for i, zone := range zones {
		e := &edge{rig: r, id: fmt.Sprintf("edge-%s-%d", zone, i+1), front: r.freeAddress(), ready: r.freeAddress(), peer: r.freeAddress(), gate: r.addStoreGate()}
		e.path = filepath.Join(r.dir, e.id+".ini")
		r.edges = append(r.edges, e)
		if len(seeds) < 3 {
			seeds = append(seeds, e.peer)
		}
	}
	for i, e := range r.edges {
		text := fmt.Sprintf(settings, e.id, e.front, e.ready, e.peer, zones[i], strings.Join(seeds, ","), e.gate.address)
		if err := os.WriteFile(e.path, []byte(text), 0o644); err != nil {
			return err
		}
		if err := e.launch(); err != nil {
			return err
		}
	}
	for _, e := range r.edges {
		if err := e.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (e *edge) launch() error {
	log, err := os.OpenFile(filepath.Join(e.rig.dir, e.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command(e.rig.program, "edge", "--settings", e.path)
	e.cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=100", "HORNBEAMTIDE_BOOT="+e.path)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.done = done
	cmd := e.cmd
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (e *edge) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

func (e *edge) kill() {
	if e.cmd != nil && e.cmd.Process != nil {
		e.signal(syscall.SIGKILL)
		<-e.done
	}
}

func (e *edge) exited() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *edge) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/hornbeamtide/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *edge) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", e.id)
}

// residentMB returns the memory of the process in MB, without the pages of its program file.
func (e *edge) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// obj is a JSON object.
type obj map[string]any

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

func b64(data []byte) string { return base64.StdEncoding.EncodeToString(data) }
