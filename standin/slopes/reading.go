package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
)

// reading holds the counters of one daemon, or their increase within a measuring window.
type reading struct {
	CPU      float64 // seconds of processor time
	Memory   float64 // resident bytes
	Bytes    float64 // sent to and received from other daemons
	Messages float64 // calls made to and served for other daemons
	Reads    float64 // of the platform
	Writes   float64 // to the platform
	Polls    float64 // load polls of engines
	collectorState
}

// collectorState is the collector role of a daemon as its state dump reports it.
type collectorState struct {
	Collecting    bool    `json:"collecting"`
	MembersServed float64 `json:"members"`    // members that it serves
	Collectors    float64 `json:"collectors"` // other collectors that it exchanges summaries with
}

// debugVars is the part of GET /debug/vars that the measurement uses.
type debugVars struct {
	Peer       peerTraffic `json:"peer"`
	PeerServer peerTraffic `json:"peer_server"`
	Platform   struct {
		Reads  float64 `json:"reads"`
		Writes float64 `json:"writes"`
	} `json:"platform"`
}

type peerTraffic struct {
	Sent     float64 `json:"bytes_sent"`
	Received float64 `json:"bytes_received"`
	Calls    float64 `json:"calls"`
}

// stateDump is the part of GET /v1/dump that the measurement uses.
type stateDump struct {
	Modules []struct {
		Module string          `json:"module"`
		State  json.RawMessage `json:"state"`
	} `json:"modules"`
}

type fleetState struct {
	Collecting bool     `json:"collecting"`
	Members    []string `json:"attendees"`
	Collectors []string `json:"peers"`
}

type routingState struct {
	Counters struct {
		Polls float64 `json:"polls"`
	} `json:"counters"`
}

// processUsage returns the processor time in seconds and the resident memory in bytes of a
// process. The processor time is the sum over its live threads, from the kernel's scheduler.
func processUsage(pid int) (cpu, memory float64, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return 0, 0, fmt.Errorf("no threads of process %d in /proc", pid)
	}
	for _, task := range tasks {
		fields, err := readFields(task)
		if err != nil {
			continue // the thread has ended
		}
		ns, _ := strconv.ParseFloat(fields[0], 64)
		cpu += ns / 1e9
	}
	fields, err := readFields(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, err
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return cpu, pages * float64(os.Getpagesize()), err
}

func readFields(path string) ([]string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return nil, fmt.Errorf("%s has fewer than 2 fields", path)
	}
	return fields, nil
}

// readDaemon reads the counters that a daemon exposes over HTTP.
func readDaemon(ctx context.Context, c *cluster.Cluster, p *cluster.Process) (reading, error) {
	var m debugVars
	if err := c.Get(ctx, p.Address, "/debug/vars", &m); err != nil {
		return reading{}, err
	}
	r := reading{
		Bytes:    m.Peer.Sent + m.Peer.Received + m.PeerServer.Sent + m.PeerServer.Received,
		Messages: m.Peer.Calls + m.PeerServer.Calls,
		Reads:    m.Platform.Reads, Writes: m.Platform.Writes,
	}
	var d stateDump
	if err := c.Get(ctx, p.Address, "/v1/dump", &d); err != nil {
		return reading{}, err
	}
	return r, r.addDump(d)
}

func (r *reading) addDump(d stateDump) error {
	for _, module := range d.Modules {
		switch module.Module {
		case "fleet":
			var state fleetState
			if err := json.Unmarshal(module.State, &state); err != nil {
				return err
			}
			r.Collecting = state.Collecting
			r.MembersServed, r.Collectors = float64(len(state.Members)), float64(len(state.Collectors))
		case "routing":
			var state routingState
			if err := json.Unmarshal(module.State, &state); err != nil {
				return err
			}
			r.Polls = state.Counters.Polls
		}
	}
	return nil
}

// measureWindow returns the increase of all daemons' counters while work runs, and its
// duration. Reading the counters costs the daemons processor time, so processor time is
// sampled after the first and before the second reading of the counters.
func measureWindow(ctx context.Context, c *cluster.Cluster, daemons []*cluster.Process, work func()) ([]reading, time.Duration, error) {
	before, err := readDaemons(ctx, c, daemons)
	if err != nil {
		return nil, 0, err
	}
	time.Sleep(quiesceTime)
	started := time.Now()
	if err := readUsage(daemons, before); err != nil {
		return nil, 0, err
	}
	work()
	elapsed := time.Since(started)
	usageAfter := make([]reading, len(daemons))
	if err := readUsage(daemons, usageAfter); err != nil {
		return nil, 0, err
	}
	after, err := readDaemons(ctx, c, daemons)
	if err != nil {
		return nil, 0, err
	}
	for i := range after {
		after[i].CPU = usageAfter[i].CPU - before[i].CPU
		after[i].Memory = usageAfter[i].Memory
		after[i].Bytes -= before[i].Bytes
		after[i].Messages -= before[i].Messages
		after[i].Reads -= before[i].Reads
		after[i].Writes -= before[i].Writes
		after[i].Polls -= before[i].Polls
	}
	return after, elapsed, nil
}

// quiesceTime lets the daemons finish responding before their processor time is read.
const quiesceTime = 100 * time.Millisecond

func readUsage(daemons []*cluster.Process, into []reading) error {
	for i, p := range daemons {
		var err error
		if into[i].CPU, into[i].Memory, err = processUsage(p.PID()); err != nil {
			return err
		}
	}
	return nil
}

func readDaemons(ctx context.Context, c *cluster.Cluster, daemons []*cluster.Process) ([]reading, error) {
	readings := make([]reading, len(daemons))
	errs := make([]error, len(daemons))
	var group sync.WaitGroup
	for i, p := range daemons {
		group.Go(func() { readings[i], errs[i] = readDaemon(ctx, c, p) })
	}
	group.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", daemons[i].Name, err)
		}
	}
	return readings, nil
}
