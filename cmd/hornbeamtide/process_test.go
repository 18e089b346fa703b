package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

// runMainEnv is the environment variable that makes the test binary run main, so that tests
// can start it as the program and check its exit code.
const runMainEnv = "HORNBEAMTIDE_TEST_AS_PROGRAM"

// waitTimeout is the time after which a test stops waiting for a condition and fails.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestExitCodes(t *testing.T) {
	t.Parallel()
	settings := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(settings, []byte("[daemon]\nid = d1\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	table := []struct {
		args   string
		code   int
		stdout string
		stderr string
	}{
		{"--help", exitOK, "Exit codes: 0 done", ""},
		{"serve --help", exitOK, "--settings", ""},
		{"version --json", exitOK, `"version"`, ""},
		{"check testdata/desk.ini", exitOK, "ledgerdesk: ok", ""},
		{"check --json testdata/faulty.ini", exitUsage, `"remedy"`, "1 of 1 files are invalid"},
		{"check " + settings, exitUsage, `required key "http_address"`, ""},
		{"check nowhere.ini", exitUsage, "can't be read", ""},
		{"", exitUsage, "", "Please specify one command"},
		{"stop", exitUsage, "", "Unknown command"},
		{"apply", exitUsage, "", "FILE"},
		{"apply --frob x", exitUsage, "", "unknown flag"},
		{"apply testdata/faulty.ini", exitUsage, "", "faulty.ini:9: unknown key"},
		{"serve --settings nowhere.ini", exitUsage, "", "name an existing settings file"},
		{"serve --settings " + settings, exitUsage, "", "add http_address"},
		{"status --address 127.0.0.1:1", exitFailure, "", "name another daemon"},
		{"get --address not/an/address", exitFailure, "", "address"},
	}
	for _, row := range table {
		t.Run(row.args, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := run(strings.Fields(row.args), &stdout, &stderr)
			if code != row.code || !strings.Contains(stdout.String(), row.stdout) || !strings.Contains(stderr.String(), row.stderr) {
				t.Errorf("exit code %d, want %d\nstdout: %s\nstderr: %s", code, row.code, &stdout, &stderr)
			}
		})
	}
}

// process is a daemon in a separate process.
type process struct {
	*exec.Cmd
	t       *testing.T
	address string
	log     chan string
}

// startProcess starts "serve" with a fake platform that lists one plain backend server.
func startProcess(t *testing.T, fake *fakeplatform.Server, plain http.Handler) *process {
	t.Helper()
	platformServer, backend := httptest.NewServer(fake.Handler()), httptest.NewServer(plain)
	t.Cleanup(func() {
		for _, server := range []*httptest.Server{platformServer, backend} {
			server.CloseClientConnections()
			server.Close()
		}
	})
	fake.SetInstance(objectapi.Instance{
		ID: "desk-1", Pool: "ledgerdesk", Address: backend.Listener.Addr().String(),
		Region: "pk-south", FailureDomain: "khi-a", State: objectapi.Live,
	})
	source, err := os.ReadFile("testdata/desk.ini")
	if err != nil {
		t.Fatal(err)
	}
	fake.Put("documents/ledgerdesk", source)
	address := platformServer.Listener.Addr().String()
	settings := filepath.Join(t.TempDir(), "settings.ini")
	text := fmt.Sprintf("[daemon]\nid = d1\nhttp_address = 127.0.0.1:0\npeer_address = 127.0.0.1:0\nregion = pk-south\nfailure_domain = khi-a\ndrain_notice = 0s\n[platform]\naddress = %s\nweight_address = %s\n", address, address)
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(os.Args[0], "serve", "--settings", settings), t: t, log: make(chan string, 1000)}
	p.Env = append(os.Environ(), runMainEnv+"=1")
	stderr, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Process.Kill() })
	go p.readLog(stderr)
	started := p.waitForLog("event=100") // daemon started
	p.address = regexp.MustCompile(`http_address="([^"]+)"`).FindStringSubmatch(started)[1]
	return p
}

func (p *process) readLog(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		p.log <- lines.Text()
	}
	close(p.log)
}

func (p *process) waitForLog(text string) string {
	p.t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case line, open := <-p.log:
			if strings.Contains(line, text) {
				return line
			}
			if !open {
				p.t.Fatalf("the process exited without a log entry with %s", text)
			}
		case <-timeout:
			p.t.Fatalf("no log entry with %s", text)
		}
	}
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// exitCode waits until the process exits and returns its exit code.
func (p *process) exitCode() int {
	p.t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = p.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		p.t.Fatal("the process did not exit")
	}
	return p.ProcessState.ExitCode()
}

// blockingServer is a plain service whose responses wait until release is closed.
type blockingServer struct {
	started chan struct{}
	release chan struct{}
}

func newBlockingServer() *blockingServer {
	return &blockingServer{started: make(chan struct{}, 100), release: make(chan struct{})}
}

func (h *blockingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h.started <- struct{}{}
	select {
	case <-h.release:
	case <-r.Context().Done():
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	_, _ = io.WriteString(w, "done")
}

// sendBlocked sends a request, waits until the blocking server has received it, and returns a
// channel that receives the response or error.
func (p *process) sendBlocked(h *blockingServer) <-chan string {
	p.t.Helper()
	url := "http://" + p.address + "/v1/services/ledgerdesk/records"
	for end := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		ready, err := http.Get("http://" + p.address + "/ready")
		if err == nil {
			ready.Body.Close()
			if ready.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(end) {
			p.t.Fatal("the daemon did not become ready")
		}
	}
	ended := make(chan string, 1)
	go func() {
		response, err := http.Post(url, "text/plain", strings.NewReader("x"))
		if err != nil {
			ended <- err.Error()
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		ended <- fmt.Sprintf("%d %s %v", response.StatusCode, body, err)
	}()
	select {
	case <-h.started:
	case text := <-ended:
		p.t.Fatalf("the request ended with %s", text)
	case <-time.After(waitTimeout):
		p.t.Fatal("the request did not start")
	}
	return ended
}

func TestSigtermCompletesInFlightRequestsThenExitsZero(t *testing.T) {
	t.Parallel()
	blocking := newBlockingServer()
	p := startProcess(t, fakeplatform.New(fakeplatform.Config{}), blocking)
	ended := p.sendBlocked(blocking)
	p.signal(syscall.SIGUSR1)
	if dump := p.waitForLog("event=107"); !strings.Contains(dump, `in_progress`) {
		t.Errorf("dump %.200s", dump)
	}
	p.signal(syscall.SIGTERM)
	p.waitForLog("event=102") // daemon draining
	close(blocking.release)
	if text := <-ended; text != "200 done <nil>" {
		t.Errorf("the request ended with %s", text)
	}
	p.waitForLog("event=101") // daemon stopped
	if code := p.exitCode(); code != exitOK {
		t.Errorf("exit code %d", code)
	}
}

func TestSecondSignalExitsImmediately(t *testing.T) {
	t.Parallel()
	blocking := newBlockingServer()
	p := startProcess(t, fakeplatform.New(fakeplatform.Config{}), blocking)
	ended := p.sendBlocked(blocking)
	p.signal(syscall.SIGTERM)
	p.waitForLog("event=102") // daemon draining
	p.signal(syscall.SIGINT)
	if code := p.exitCode(); code != exitAborted {
		t.Errorf("exit code %d", code)
	}
	if text := <-ended; strings.HasPrefix(text, "200") {
		t.Errorf("the request ended with %s", text)
	}
}

func TestServeWithPortInUseExitsWithRemedy(t *testing.T) {
	t.Parallel()
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inUse.Close()
	settings := filepath.Join(t.TempDir(), "settings.ini")
	text := fmt.Sprintf("[daemon]\nid = d1\nhttp_address = %s\npeer_address = 127.0.0.1:0\nregion = r\nfailure_domain = f\n[platform]\naddress = 127.0.0.1:1\nweight_address = 127.0.0.1:1\n", inUse.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	if code := run([]string{"serve", "--settings", settings}, &stdout, &stderr); code != exitUsage || !strings.Contains(stderr.String(), "choose another address") {
		t.Errorf("exit code %d: %s", code, &stderr)
	}
}
