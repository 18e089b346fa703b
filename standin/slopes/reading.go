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

// reading are the counts of one daemon at one time.
type reading struct {
	CPU      float64 // seconds since the start
	Memory   float64 // resident bytes
	Bytes    float64 // sent to and received from other daemons
	Messages float64 // calls made to and served for other daemons
	Reads    float64 // of the platform
	Writes   float64 // to the platform
	Polls    float64 // of engines
	role
}

// role is what a daemon does for others, as its state dump says.
type role struct {
	Collecting bool    `json:"collecting"`
	Attendees  float64 `json:"members"`    // that it serves
	Collectors float64 `json:"collectors"` // others that it hears
}

// metrics is the part of /debug/vars that is used.
type metrics struct {
	Peer       traffic `json:"peer"`
	PeerServer traffic `json:"peer_server"`
	Platform   struct {
		Reads  float64 `json:"reads"`
		Writes float64 `json:"writes"`
	} `json:"platform"`
}

type traffic struct {
	Sent     float64 `json:"bytes_sent"`
	Received float64 `json:"bytes_received"`
	Calls    float64 `json:"calls"`
}

// dump is the part of /v1/dump that is used.
type dump struct {
	Modules []struct {
		Module string          `json:"module"`
		State  json.RawMessage `json:"state"`
	} `json:"modules"`
}

type fleetState struct {
	Collecting bool     `json:"collecting"`
	Attendees  []string `json:"attendees"`
	Peers      []string `json:"peers"`
}

type routingState struct {
	Counters struct {
		Polls float64 `json:"polls"`
	} `json:"counters"`
}

// usage reads processor time and memory of a process.
func usage(pid int) (cpu, memory float64, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return 0, 0, fmt.Errorf("no tasks of process %d", pid)
	}
	for _, task := range tasks {
		fields, err := readFields(task)
		if err != nil {
			continue // the thread ended
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
		return nil, fmt.Errorf("%s is short", path)
	}
	return fields, nil
}

// counts reads what a daemon counts itself.
func counts(ctx context.Context, c *cluster.Cluster, p *cluster.Process) (reading, error) {
	var m metrics
	if err := c.Get(ctx, p.Address, "/debug/vars", &m); err != nil {
		return reading{}, err
	}
	r := reading{
		Bytes:    m.Peer.Sent + m.Peer.Received + m.PeerServer.Sent + m.PeerServer.Received,
		Messages: m.Peer.Calls + m.PeerServer.Calls,
		Reads:    m.Platform.Reads, Writes: m.Platform.Writes,
	}
	var d dump
	if err := c.Get(ctx, p.Address, "/v1/dump", &d); err != nil {
		return reading{}, err
	}
	return r, r.takeDump(d)
}

func (r *reading) takeDump(d dump) error {
	for _, module := range d.Modules {
		switch module.Module {
		case "fleet":
			var state fleetState
			if err := json.Unmarshal(module.State, &state); err != nil {
				return err
			}
			r.Collecting = state.Collecting
			r.Attendees, r.Collectors = float64(len(state.Attendees)), float64(len(state.Peers))
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

// window measures all daemons while work runs. Reading the counts costs the daemons
// processor time, so processor time is taken inside of them.
func window(ctx context.Context, c *cluster.Cluster, daemons []*cluster.Process, work func()) ([]reading, time.Duration, error) {
	before, err := readCounts(ctx, c, daemons)
	if err != nil {
		return nil, 0, err
	}
	time.Sleep(readPause)
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
	after, err := readCounts(ctx, c, daemons)
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

// readPause lets the daemons finish answering before processor time is read.
const readPause = 100 * time.Millisecond

func readUsage(daemons []*cluster.Process, into []reading) error {
	for i, p := range daemons {
		var err error
		if into[i].CPU, into[i].Memory, err = usage(p.PID()); err != nil {
			return err
		}
	}
	return nil
}

func readCounts(ctx context.Context, c *cluster.Cluster, daemons []*cluster.Process) ([]reading, error) {
	readings := make([]reading, len(daemons))
	errs := make([]error, len(daemons))
	var group sync.WaitGroup
	for i, p := range daemons {
		group.Go(func() { readings[i], errs[i] = counts(ctx, c, p) })
	}
	group.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", daemons[i].Name, err)
		}
	}
	return readings, nil
}
