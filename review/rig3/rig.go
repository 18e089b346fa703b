// Program rig3 plays the cases of this review: it starts edge daemons as processes, with a store, replicas
// and clients of its own, and checks one rule by what clients, servers and the store see.
package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// Bounds of the sheet of conchilla-hub.
const (
	contactMs = 3000
	ackMs     = 4000
	cancelMs  = 3000
	graceS    = 8
	host      = "yards.example"
	model     = "m0"
)

// Results of a case.
const (
	held    = 0
	broken  = 1
	noPlay  = 2
	maxTime = 115 * time.Second
)

// rig is the small deployment of one case.
type rig struct {
	program string
	dir     string
	started time.Time
	trouble bool

	memoryMB int     // of each machine
	cores    float64 // of each machine

	mu      sync.Mutex
	record  *os.File
	store   *fakeplatform.Server
	server  *httptest.Server
	daemons []*daemon
	closers []func()
}

type daemon struct {
	id                        string
	front, ready, peer, store string
	settings                  string
	cmd                       *exec.Cmd
	done                      chan struct{}
}

func newRig(program, record string) (*rig, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{program: program, dir: dir, record: f, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", memoryMB: 284, cores: 0.4, store: fakeplatform.New(fakeplatform.Config{})}
	r.server = httptest.NewServer(r.store.Handler())
	return r, nil
}

// say writes a line to the record.
func (r *rig) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
	fmt.Print(line)
}

func (r *rig) close() {
	for _, d := range r.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.done
		}
	}
	for _, c := range r.closers {
		c()
	}
	r.server.CloseClientConnections()
	r.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
	_ = r.record.Close()
}

func (r *rig) storeAddress() string { return strings.TrimPrefix(r.server.URL, "http://") }

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// addDaemons starts n daemons with the settings that the template of the deploy file has for conchilla-hub.
func (r *rig) addDaemons(n int, fenced bool) error {
	for i := range n {
		d := &daemon{id: fmt.Sprintf("edge-%d", i), front: freeAddress(), ready: freeAddress(), peer: freeAddress(), store: r.storeAddress()}
		r.daemons = append(r.daemons, d)
	}
	var seeds []string
	for _, d := range r.daemons[:min(3, len(r.daemons))] {
		seeds = append(seeds, d.peer)
	}
	yesNo := map[bool]string{true: "yes", false: "no"}[fenced]
	for i, d := range r.daemons {
		d.settings = filepath.Join(r.dir, d.id+".ini")
		text := fmt.Sprintf(`[edge]
id = %s
front_address = %s
ready_address = %s
peer_address = %s
region = litoral
failure_domain = litoral-%c
seeds = %s
memory = %d
cores = %g
stop_time = %ds

[store]
address = %s
writes = 400

[orders]
lease = 3000ms
fenced = %s
`, d.id, d.front, d.ready, d.peer, 'a'+rune(i%3), strings.Join(seeds, ","), r.memoryMB, r.cores, graceS, d.store, yesNo)
		if err := os.WriteFile(d.settings, []byte(text), 0o644); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if err := r.start(d); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if !r.waitReady(d, 15*time.Second) {
			return fmt.Errorf("%s is not ready", d.id)
		}
	}
	return nil
}

// start starts a daemon with the command and the environment of the deploy file.
func (r *rig) start(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(r.dir, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.program, "edge", "--settings", d.settings)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=100")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.cmd, d.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

func (d *daemon) exited() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

func (r *rig) waitReady(d *daemon, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + d.ready + "/hornbeamtide/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return true
			}
		}
	}
	return false
}

// kill ends a daemon at once; stop ends it as planned.
func (r *rig) kill(d *daemon) { _ = d.cmd.Process.Kill(); <-d.done }

func (r *rig) stop(d *daemon) {
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.done:
	case <-time.After(graceS * time.Second):
		r.kill(d)
	}
}

// addReplica starts a replica and writes its entry. It adds its runs to the record.
func (r *rig) addReplica(c fakereplica.Config, delay time.Duration) *fakereplica.Replica {
	rep := fakereplica.Start(c)
	rep.SetFaults(fakereplica.Faults{Delay: delay})
	r.closers = append(r.closers, rep.Close)
	r.store.PutSpec("servers/"+rep.ID, rep.Entry("ready"))
	return rep
}

// putConfig writes the desired state.
func (r *rig) putConfig(version int, extra string) {
	r.store.PutSpec("config/main", json.RawMessage(fmt.Sprintf(`{"Version":%d,"Routes":[
{"Name":"price","Hostname":%q,"PathPrefix":"/price/","Kind":"rollout","Backend":"lm-pool","TimeoutMs":10000,"TargetLatencyMs":400,"MaxAttempts":3,"DueMs":7500,"RetentionS":40},
{"Name":"quote","Hostname":%q,"PathPrefix":"/quote/","Kind":"idempotent","Backend":"orders-app","TimeoutMs":1500,"TargetLatencyMs":150,"MaxAttempts":3}%s],
"Services":[{"Name":"lm-pool","Engine":{"Slots":8,"Models":[{"Name":%q}]}},{"Name":"orders-app"}],
"Limits":{"MaxHeaderBytes":65536,"MaxBodyBytes":33554432,"HeaderTimeoutMs":10000,"IdleTimeoutMs":60000}}`, version, host, host, extra, model)))
}

// call makes one call on a new channel. status is 0 without a response.
func (r *rig) call(method, address, path string, headers map[string]string, body []byte, limit time.Duration) (status int, answer []byte) {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// batchBody returns a batch submission of items in groups of four.
func batchBody(id string, items, bodyBytes int) []byte {
	type item map[string]any
	var list []item
	for i := range items {
		list = append(list, item{
			"Id": fmt.Sprintf("%s%06x", id, i), "Path": fmt.Sprintf("/price/%x", i), "Headers": map[string]string{"Model": model, "Token-Usage": "271,24"},
			"Body": base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{'x'}, bodyBytes)), "Tokens": 295, "Group": fmt.Sprintf("g%s%d", id, i/4),
		})
	}
	text, err := json.Marshal(map[string]any{"Step": 0, "Model": model, "MinVersion": 1, "GroupCount": (items + 3) / 4, "Items": list})
	if err != nil {
		panic(err)
	}
	return text
}

// ownerOf returns the index of the daemon that owns a stored batch.
func (r *rig) ownerOf(id string) int {
	o, ok := r.store.Object("batches/" + id)
	if !ok {
		return -1
	}
	var head struct{ Owner string }
	_ = json.Unmarshal(o.Value, &head)
	for i, d := range r.daemons {
		if d.id == head.Owner {
			return i
		}
	}
	return -1
}
