// Command trial plays the cases of the review. It starts the edge program of the deploy file as
// separate processes on loopback addresses, plays the platform's store, the servers and the
// clients itself, writes a record and judges one rule.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

const host = "desk.example"

// errCannotRun ends a trial that could not be set up (exit status 2).
type errCannotRun struct{ reason string }

func fail(format string, args ...any) { panic(errCannotRun{fmt.Sprintf(format, args...)}) }

// rig is a small deployment: a store and some edge processes.
type rig struct {
	root, dir string
	started   time.Time
	store     *fakeplatform.Server
	storeAt   string
	edges     []*edge

	mu     sync.Mutex
	record *os.File
}

// edge is one machine with the edge role. Its process is started again when it ends.
type edge struct {
	*rig
	id, front, ready, peer, metric, settings string

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	starts  int
	ownEnds []time.Duration // ends that nobody caused
	killed  bool            // the next end is one that the trial caused
	done    chan struct{}
}

func newRig(name string) *rig {
	root, err := os.Getwd()
	if err != nil {
		fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "trial-"+name+"-")
	if err != nil {
		fail("%v", err)
	}
	path := os.Getenv("RECORD")
	if path == "" {
		path = filepath.Join(dir, "record.txt")
	}
	record, err := os.Create(path)
	if err != nil {
		fail("%v", err)
	}
	r := &rig{root: root, dir: dir, started: time.Now(), store: fakeplatform.New(fakeplatform.Config{}), record: record}
	r.storeAt = serve(r.store.Handler())
	return r
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler on a free loopback port and returns its address.
func serve(h http.Handler) string {
	l := listen()
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	return l
}

var usedAddresses = map[string]bool{}

// freePorts returns free loopback addresses, below the range from which outgoing connections get
// their ports.
func freePorts(n int) []string {
	var found []string
	for tries := 0; len(found) < n; tries++ {
		if tries > 1000 {
			fail("no free ports")
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 16000+rand.IntN(16000)))
		if err != nil {
			continue
		}
		_ = l.Close()
		if address := l.Addr().String(); !usedAddresses[address] {
			usedAddresses[address] = true
			found = append(found, address)
		}
	}
	return found
}

// configure writes the operator's desired state.
func (r *rig) configure(version int, routes []map[string]any, services []map[string]any) {
	for _, route := range routes {
		if route["Hostname"] == nil {
			route["Hostname"] = host
		}
	}
	text, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	})
	if err != nil {
		fail("%v", err)
	}
	r.store.PutSpec("config/main", text)
}

// startEdges starts n edge processes and waits until all are ready and know each other.
func (r *rig) startEdges(n int, storeOf func(i int) string) {
	var peers []string
	for i := range n {
		ports := freePorts(4)
		e := &edge{rig: r, id: fmt.Sprintf("edge-%d", i+1), front: ports[0], ready: ports[1], peer: ports[2], metric: ports[3]}
		r.edges = append(r.edges, e)
		peers = append(peers, e.peer)
	}
	for i, e := range r.edges {
		e.settings = filepath.Join(r.dir, e.id+".ini")
		address := r.storeAt
		if storeOf != nil {
			address = storeOf(i)
		}
		text := fmt.Sprintf("[edge]\nid = %s\nfront_address = %s\nready_address = %s\npeer_address = %s\nmetric_address = %s\nregion = r\nfailure_domain = %s\nseeds = %s\nmemory = 284\nstop_time = 8s\n\n[store]\naddress = %s\nwrites = 400\n\n[orders]\nlease = 3000ms\nfenced = yes\n",
			e.id, e.front, e.ready, e.peer, e.metric, string(rune('a'+i%3)), strings.Join(peers[:min(3, n)], ","), address)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			fail("%v", err)
		}
		e.start()
	}
	r.eventually(15*time.Second, "all edges are ready", func() bool {
		for _, e := range r.edges {
			if !e.isReady() {
				return false
			}
		}
		return true
	})
	time.Sleep(2500 * time.Millisecond) // they learn of each other
}

func (e *edge) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.starts++
	log, err := os.OpenFile(filepath.Join(e.dir, e.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	e.command = exec.Command(filepath.Join(e.root, "target/hornbeamtide"), "edge", "--settings", e.settings)
	e.command.Dir, e.command.Stdout, e.command.Stderr = e.root, log, log
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "GOGC=100"}
	if err := e.command.Start(); err != nil {
		fail("the edge program can't be started: %v", err)
	}
	e.done = make(chan struct{})
	go e.wait(e.command, e.done)
}

// wait waits for the end of the process and starts it again after a short delay, as the platform does.
func (e *edge) wait(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	close(done)
	e.mu.Lock()
	own := !e.killed && !e.stopped
	e.killed = false
	if own {
		e.ownEnds = append(e.ownEnds, time.Since(e.started))
	}
	stopped := e.stopped
	e.mu.Unlock()
	if own {
		e.note("%s: its process ended by itself: %v", e.id, err)
	}
	if !stopped {
		time.Sleep(time.Second)
		e.start()
		e.note("%s: its process is started again", e.id)
	}
}

// signal sends a signal to the process.
func (e *edge) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.killed = true
	}
	_ = e.command.Process.Signal(s)
	e.note("%s: signal %v", e.id, s)
}

func (e *edge) ends() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ownEnds)
}

var readyClient = &http.Client{Timeout: time.Second}

func (e *edge) isReady() bool {
	resp, err := readyClient.Get("http://" + e.ready + "/hornbeamtide/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes.
func (r *rig) close() {
	for _, e := range r.edges {
		e.mu.Lock()
		e.stopped = true
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Signal(syscall.SIGCONT)
			_ = e.command.Process.Kill()
		}
		done := e.done
		e.mu.Unlock()
		if done != nil {
			<-done
		}
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
}

func (r *rig) eventually(limit time.Duration, what string, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			fail("timed out waiting until %s", what)
		}
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer (" + a.err.Error() + ")"
	}
	return fmt.Sprint(a.status)
}

// call sends a request on a new connection.
func call(address, method, path, id string, body []byte, timeout time.Duration, headers ...string) answer {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return send(client, address, method, path, id, body, headers...)
}

func send(client *http.Client, address, method, path, id string, body []byte, headers ...string) answer {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(string(body)))
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil // net/http must not repeat the request by itself: each is sent once
	req.Host = host
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: text, err: err}
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	cases := map[string]func(r *rig) bool{"crash": crash, "twice": twice, "split": split, "late": late}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Println("unknown case")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], play))
}

// maxDuration bounds a case.
const maxDuration = 112 * time.Second

// watch ends a case that takes too long or is told to end, with all its processes.
func (r *rig) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	fmt.Println("could not run: it took too long or was told to end")
	r.close()
	os.Exit(2)
}

// run plays a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func run(name string, play func(r *rig) bool) (status int) {
	var r *rig
	defer func() {
		if r != nil {
			r.close()
		}
		if p := recover(); p != nil {
			e, ok := p.(errCannotRun)
			if !ok {
				panic(p)
			}
			fmt.Println("could not run:", e.reason)
			status = 2
		}
	}()
	r = newRig(name)
	go r.watch()
	if play(r) {
		r.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	r.note("the rule was broken")
	fmt.Println("the rule was broken")
	return 1
}
