// Package edgedemo runs the path of the users' platform with separate processes on
// loopback: edge daemons before stand-in replicas and a stand-in store. Callers send
// requests and a trainer runs steps whose weights change, while a daemon is killed. The
// counting is done here, outside of the daemons.
package edgedemo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// Options configure the demo.
type Options struct {
	Daemon string // path of the hornbeamtide program
	Steps  int
	Groups int // a step, of four samples each
	Out    io.Writer
}

const (
	host       = "desk.example"
	model      = "captions"
	daemons    = 3
	replicas   = 3 // of each service
	events     = 12
	eventPause = 15 * time.Millisecond
	groupSize  = 4
	limit      = 50 * time.Second
)

// demo is one run.
type demo struct {
	options  Options
	cluster  *cluster.Cluster
	store    *fakeplatform.Server
	address  string
	edges    []*cluster.Edge
	client   *http.Client
	counts   Counts
	requests sync.WaitGroup
	mu       sync.Mutex
}

// Counts is what callers and the trainer saw.
type Counts struct {
	Requests, Answered                          int
	Samples, Delivered, Doubled, Broken, TooOld int
}

// Run runs the demo and writes its last line. An error means that a process failed or a
// promise was broken.
func Run(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	processes, err := cluster.New(options.Daemon, "")
	if err != nil {
		return err
	}
	defer processes.Close(false)
	store := fakeplatform.New(fakeplatform.Config{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	d := &demo{
		options: options, cluster: processes, store: store, client: &http.Client{Timeout: 8 * time.Second},
		address: strings.TrimPrefix(server.URL, "http://"),
	}
	started := time.Now()
	if err := d.run(ctx); err != nil {
		processes.PrintLogs(options.Out, 10)
		return err
	}
	c := d.counts
	fmt.Fprintf(options.Out, "edge demo in %.1fs: samples expected=%d delivered=%d doubled=%d broken=%d too_old=%d; requests sent=%d answered=%d\n",
		time.Since(started).Seconds(), c.Samples, c.Delivered, c.Doubled, c.Broken, c.TooOld, c.Requests, c.Answered)
	if c.Delivered != c.Samples || c.Doubled+c.Broken+c.TooOld > 0 || c.Answered != c.Requests {
		return errors.New("a promise was broken")
	}
	return nil
}

func (d *demo) run(ctx context.Context) error {
	for i := range replicas {
		for _, config := range []fakereplica.Config{
			{ID: fmt.Sprint("engine-", i), Service: "draftpool", Domain: "a", Model: model, Events: events},
			{ID: fmt.Sprint("desk-", i), Service: "ledgerdesk", Domain: "a"},
		} {
			r := fakereplica.Start(config)
			defer r.Close()
			if config.Model != "" {
				r.SetFaults(fakereplica.Faults{Pause: eventPause})
			}
			d.store.PutSpec("servers/"+r.ID, r.Entry("ready"))
		}
	}
	d.store.PutSpec("config/main", configuration())
	seeds := ""
	for i := range daemons {
		edge, err := d.cluster.StartEdge(fmt.Sprint("d", i+1), d.address, fmt.Sprint("domain-", i), seeds)
		if err != nil {
			return err
		}
		if seeds == "" {
			seeds = edge.Peer
		}
		d.edges = append(d.edges, edge)
	}
	for _, edge := range d.edges {
		if err := edge.WaitReady(ctx); err != nil {
			return err
		}
	}
	stop := make(chan struct{})
	d.requests.Go(func() { d.callers(ctx, stop) })
	defer d.requests.Wait()
	defer close(stop)
	for step := range d.options.Steps {
		if err := d.step(ctx, step); err != nil {
			return fmt.Errorf("step %d: %w", step, err)
		}
	}
	return nil
}

// configuration is what an operator would write.
func configuration() json.RawMessage {
	route := func(prefix, kind, service string) string {
		return fmt.Sprintf(`{"Name":%q,"Hostname":%q,"PathPrefix":%q,"Kind":%q,"Backend":%q,"TimeoutMs":6000,"MaxAttempts":3,"DueMs":5000}`,
			prefix, host, prefix, kind, service)
	}
	return json.RawMessage(fmt.Sprintf(`{"Version":1,"Routes":[%s,%s,%s],"Services":[
		{"Name":"draftpool","Engine":{"Slots":8,"Models":[{"Name":%q}]}},{"Name":"ledgerdesk"}],"Limits":{}}`,
		route("/drafts/", "rollout", "draftpool"), route("/records/", "idempotent", "ledgerdesk"), route("/scores/", "idempotent", "ledgerdesk"), model))
}

// call sends a request to a live daemon, another one if it gets no answer.
func (d *demo) call(ctx context.Context, method, path, id string, body []byte) (status int, answer []byte) {
	for try := range 2 * daemons {
		edge := d.edges[try%daemons]
		if edge.Exited() {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, method, "http://"+edge.Address+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		req.Host = host
		req.Header.Set("Request-Id", id)
		req.Header.Set("Wait-Ms", "500")
		resp, err := d.client.Do(req)
		if err != nil {
			continue
		}
		answer, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode != http.StatusServiceUnavailable {
			return resp.StatusCode, answer
		}
	}
	return 0, nil
}

// callers sends requests until stop is closed.
func (d *demo) callers(ctx context.Context, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		status, body := d.call(ctx, http.MethodPost, "/records/x", fmt.Sprint("call-", n), []byte("7"))
		d.mu.Lock()
		d.counts.Requests++
		if status == http.StatusOK && string(body) == "answer to 7" {
			d.counts.Answered++
		}
		d.mu.Unlock()
	}
}
