package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

const (
	burstItems = 136     // as many as a step of route-rollout has on the sheet
	burstBody  = 158_000 // 136 of them in base64 are 28.7 MB; MaxBodyBytes is 33,554,432
	burstEvery = 8 * time.Second
	burstSteps = 10
)

// machine is a machine whose process the platform ends when it goes over MemoryMb.
type machine struct {
	*daemon

	accepted atomic.Int64 // submissions that its present process has accepted
	ended    atomic.Int64 // how often a process ended that had accepted none before
}

// residentMB returns the resident size of a process, 0 if it is gone.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// limitMemory does what the platform does with a process over its memory: it ends it and starts it again.
func (r *rig) limitMemory(m *machine, over <-chan struct{}) {
	largest := 0.0
	for {
		select {
		case <-over:
			r.say("%s: largest resident size of the last process %.0f MB; %d processes ended that had accepted nothing", m.id, largest, m.ended.Load())
			return
		case <-time.After(10 * time.Millisecond):
		}
		size := residentMB(m.cmd.Process.Pid)
		largest = max(largest, size)
		if size <= float64(r.memoryMB) {
			continue
		}
		before := m.accepted.Swap(0)
		if before == 0 {
			m.ended.Add(1)
		}
		r.say("%s has %.0f MB, over its limit of %d MB, after %d submissions accepted: its process is ended and started again", m.id, size, r.memoryMB, before)
		r.kill(m.daemon)
		if err := r.start(m.daemon); err != nil {
			r.say("%v", err)
		}
		largest = 0
	}
}

// playBurst has two trainers a machine submit their steps at the same moment.
func playBurst(r *rig) int {
	r.memoryMB, r.cores = 184, 0.192
	body := sheetBody
	if r.trouble {
		body = burstBody
	}
	for i := range 3 {
		r.addReplica(fakereplica.Config{ID: fmt.Sprint("lm-", i), Service: "lm-pool", FailureDomain: "litoral-a", Model: model, Events: 21}, 10*time.Millisecond)
	}
	r.putConfig(1, "")
	if err := r.addDaemons(3, true); err != nil {
		r.say("%v", err)
		return noPlay
	}
	var machines []*machine
	var watchers sync.WaitGroup
	over := make(chan struct{})
	for _, d := range r.daemons {
		m := &machine{daemon: d}
		machines = append(machines, m)
		watchers.Go(func() { r.limitMemory(m, over) })
	}
	for step := range burstSteps {
		next := time.Now().Add(burstEvery)
		var trainers sync.WaitGroup
		for n := range 4 {
			trainers.Go(func() {
				id := fmt.Sprintf("%02x%06x", 0xb0+n, step)
				text := batchBody(id, burstItems, body)
				m := machines[n/2]
				status, _ := r.call("POST", m.front, "/price/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "12000"}, text, stepLimit)
				if status == 202 {
					m.accepted.Add(1)
					_, _ = r.call("DELETE", m.front, "/hornbeamtide/lots/"+id, nil, nil, 1500*time.Millisecond)
				}
				r.say("trainer %d, step %d, %.1f MB at %s: %d (0: no answer)", n, step, float64(len(text))/1e6, m.id, status)
			})
		}
		trainers.Wait()
		time.Sleep(time.Until(next))
	}
	close(over)
	watchers.Wait()
	often := 0
	for _, m := range machines {
		if m.ended.Load() >= 3 {
			often++
		}
	}
	r.say("on %d machines processes that had accepted nothing ended by themselves three times or more", often)
	if often >= 2 {
		return broken
	}
	return held
}
