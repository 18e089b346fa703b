package crowdtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// The bounds of the process under test. They were fixed before the limits existed.
const (
	memoryMB      = 96  // the setting memory and the bound of the resident memory
	descriptors   = 512 // RLIMIT_NOFILE of the process
	maxOpenFiles  = descriptors * 7 / 8
	maxBodyBytes  = 8 << 20
	maxHeadBytes  = 16384
	headTimeoutMs = 5000
	readyTimeout  = 15 * time.Second
	sampleTime    = 20 * time.Millisecond
	host          = "desk.example"
	stepPath      = "/steps/"
)

// program is the path of the built daemon.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowdtest-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "hornbeamtide")
	if output, err := exec.Command("go", "build", "-o", program, "github.com/hornbeamtide/hornbeamtide/cmd/hornbeamtide").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("go build: %v\n%s", err, output))
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// daemon is a running process with its addresses.
type daemon struct {
	t                          *testing.T
	memoryMB                   int
	store                      *fakeplatform.Server
	front, ready, peer, metric string
	cmd                        *exec.Cmd
	ended                      chan struct{}
	log                        string

	stopSampling chan struct{}
	sampled      chan struct{}
	openFiles    int // the most that a sample showed; valid once sampled is closed
}

// startDaemon starts a daemon with a store and one replica, and waits until it is ready.
func startDaemon(t *testing.T) *daemon {
	t.Helper()
	return startDaemonWith(t, memoryMB, maxBodyBytes)
}

// startDaemonWith starts a daemon with the given memory and the given limit of a body.
func startDaemonWith(t *testing.T, memoryMB, maxBodyBytes int) *daemon {
	t.Helper()
	store := fakeplatform.New(fakeplatform.Config{})
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close() })
	replica := fakereplica.Start(fakereplica.Config{ID: "desk-1", Service: "desk", FailureDomain: "a"})
	t.Cleanup(replica.Close)
	store.PutSpec("servers/desk-1", replica.Entry("ready"))
	configuration, err := json.Marshal(map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "records", "Hostname": host, "PathPrefix": "/", "Kind": "idempotent", "Backend": "desk",
			"TimeoutMs": 4000, "TargetLatencyMs": 300, "MaxAttempts": 3,
		}, {
			"Name": "steps", "Hostname": host, "PathPrefix": stepPath, "Kind": "rollout", "Backend": "model",
			"TimeoutMs": 20000, "TargetLatencyMs": 400, "MaxAttempts": 3, "DueMs": 20000, "RetentionS": 100,
		}},
		"Services": []map[string]any{{"Name": "desk"}, {"Name": "model", "Engine": map[string]any{"Slots": 8, "Models": []map[string]any{{"Name": "m0"}}}}},
		"Limits":   map[string]any{"MaxBodyBytes": maxBodyBytes, "MaxHeaderBytes": maxHeadBytes, "HeaderTimeoutMs": headTimeoutMs, "IdleTimeoutMs": 30000},
	})
	if err != nil {
		t.Fatal(err)
	}
	store.PutSpec("config/main", configuration)

	d := &daemon{t: t, memoryMB: memoryMB, store: store, ended: make(chan struct{}), stopSampling: make(chan struct{}), sampled: make(chan struct{})}
	addresses := cluster.NewAddressAllocator()
	for _, address := range []*string{&d.front, &d.ready, &d.peer, &d.metric} {
		var err error
		if *address, err = addresses.Allocate(); err != nil {
			t.Fatal(err)
		}
	}
	dir := t.TempDir()
	d.log = filepath.Join(dir, "log")
	settings := filepath.Join(dir, "settings.ini")
	text := fmt.Sprintf("[edge]\nid = d1\nfront_address = %s\nready_address = %s\npeer_address = %s\nmetric_address = %s\n"+
		"region = r\nfailure_domain = a\nmemory = %d\n[store]\naddress = %s\n",
		d.front, d.ready, d.peer, d.metric, memoryMB, storeServer.Listener.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	output, err := os.Create(d.log)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	d.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$0\" edge --settings \"$1\"", descriptors), program, settings)
	d.cmd.Stdout, d.cmd.Stderr = output, output
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = d.cmd.Wait()
		close(d.ended)
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.ended
	})
	if err := d.eventually(d.checkReady); err != nil {
		t.Fatalf("the daemon is not ready: %v\n%s", err, d.lastLog())
	}
	go d.sample()
	return d
}

func (d *daemon) eventually(check func() error) error {
	var err error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(sampleTime) {
		if err = check(); err == nil {
			return nil
		}
	}
	return err
}

func (d *daemon) checkReady() error { return get("http://"+d.ready+"/hornbeamtide/ready", "") }

func (d *daemon) checkFront() error { return get("http://"+d.front+"/records/1", host) }

// get sends one request on a new connection and returns an error unless its status is 200.
func get(url, host string) error {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Host = host
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %.200s", url, response.Status, body)
	}
	return nil
}

func (d *daemon) sample() {
	defer close(d.sampled)
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)); err == nil {
			d.openFiles = max(d.openFiles, len(entries))
		}
		select {
		case <-d.stopSampling:
			return
		case <-time.After(sampleTime):
		}
	}
}

// check fails the test unless the process lives, stayed within its bounds and answers an ordinary
// request.
func (d *daemon) check() {
	d.t.Helper()
	close(d.stopSampling)
	<-d.sampled
	select {
	case <-d.ended:
		d.t.Fatalf("the process has ended\n%s", d.lastLog())
	default:
	}
	peak := d.peakMemoryKB()
	d.t.Logf("peak of the resident memory %d KB, open descriptors %d", peak, d.openFiles)
	if peak > d.memoryMB<<10 {
		d.t.Errorf("peak of the resident memory %d KB, bound %d KB", peak, d.memoryMB<<10)
	}
	if d.openFiles > maxOpenFiles {
		d.t.Errorf("%d open descriptors, bound %d", d.openFiles, maxOpenFiles)
	}
	if err := d.eventually(d.checkReady); err != nil {
		d.t.Errorf("the ready check is not answered: %v\n%s", err, d.lastLog())
	}
	if err := d.eventually(d.checkFront); err != nil {
		d.t.Errorf("an ordinary request is not answered: %v\n%s", err, d.lastLog())
	}
}

// peakMemoryKB returns VmHWM, the largest resident memory of the process since its start.
func (d *daemon) peakMemoryKB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				d.t.Fatal(err)
			}
			return kb
		}
	}
	d.t.Fatal("no VmHWM in the status of the process")
	return 0
}

func (d *daemon) lastLog() string {
	content, _ := os.ReadFile(d.log)
	return string(content[max(0, len(content)-2000):])
}

// crowd is a number of connections that each send head and then repeat the result of next.
type crowd struct {
	address  string
	clients  int
	head     string
	next     func(n int) string // nil to send only head
	maxBytes int                // sent by each client after head
	hold     time.Duration      // between the last byte and the end of the connection
}

// run ends once all clients have sent their bytes or lost their connection, and have closed it.
func (c crowd) run() {
	var clients sync.WaitGroup
	for range c.clients {
		clients.Go(c.runClient)
	}
	clients.Wait()
}

func (c crowd) runClient() {
	conn, err := net.DialTimeout("tcp", c.address, 2*time.Second)
	if err != nil {
		return // the connection was refused
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	go func() { _, _ = io.Copy(io.Discard, conn) }() // responses are not looked at
	if _, err := io.WriteString(conn, c.head); err != nil {
		return
	}
	var block bytes.Buffer
	for n, sent := 0, 0; c.next != nil && sent < c.maxBytes; {
		block.Reset()
		for block.Len() < 8<<10 {
			block.WriteString(c.next(n))
			n++
		}
		written, err := conn.Write(block.Bytes())
		if sent += written; err != nil {
			return
		}
	}
	time.Sleep(c.hold)
}
