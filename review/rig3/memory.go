package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

const (
	trainers   = 2
	stepItems  = 160              // 10 groups of 16, as on the sheets of the grown sites
	stepWanted = 144              // the trainer waits for 90%
	stepEvery  = 4 * time.Second  // as on the sheets
	stepLimit  = 12 * time.Second // time limit of the sheets
	sheetBody  = 600              // bytes of an item, the mean of the site file
	largeBody  = 130_000          // 160 of them in base64 are 28 MB; MaxBodyBytes is 33,554,432
	playFor    = 100 * time.Second
)

// machine is a machine whose process the platform ends when it goes over MemoryMb.
type machine struct {
	*daemon

	mu    sync.Mutex // held while the process is replaced
	ended int
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
	shown := 0.0
	for {
		select {
		case <-over:
			r.say("%s: largest resident size %.0f MB, ended %d times for its memory", m.id, shown, m.ended)
			return
		case <-time.After(25 * time.Millisecond):
		}
		size := residentMB(m.cmd.Process.Pid)
		if size > shown+25 {
			r.say("%s has %.0f MB", m.id, size)
		}
		shown = max(shown, size)
		if size <= float64(r.memoryMB) {
			continue
		}
		m.mu.Lock()
		m.ended++
		r.say("%s has %.0f MB, over its limit of %d MB: its process is ended and started again", m.id, size, r.memoryMB)
		r.kill(m.daemon)
		if err := r.start(m.daemon); err != nil {
			r.say("%v", err)
		}
		m.mu.Unlock()
		shown = 0
	}
}

// train submits a step every four seconds, reads its results and ends it.
func (r *rig) train(n int, machines []*machine, bodyBytes int, until time.Time) {
	for step := 0; time.Now().Before(until); step++ {
		next := time.Now().Add(stepEvery)
		id := fmt.Sprintf("%02x%06x", 0xa0+n, step)
		body := batchBody(id, stepItems, bodyBytes)
		home := n // the platform chooses the machine by a hash of the requester
		tries := []*machine{machines[home], machines[(home+1)%len(machines)], machines[home]}
		status, read := 0, 0
		began := time.Now()
		for _, m := range tries {
			if status, _ = r.call("POST", m.front, "/price/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "12000"}, body, stepLimit); status == 202 {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		for try := 0; status == 202 && read < stepWanted && time.Since(began) < stepLimit; try++ {
			got, text := r.call("GET", machines[(home+try)%len(machines)].front, fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", id, read), map[string]string{"Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
			var page struct{ NextToken int }
			if got == 200 && json.Unmarshal(text, &page) == nil {
				read = page.NextToken
			}
			time.Sleep(200 * time.Millisecond)
		}
		ended := 0
		for _, m := range tries {
			if ended, _ = r.call("DELETE", m.front, "/hornbeamtide/lots/"+id, nil, nil, 1500*time.Millisecond); ended == 200 {
				break
			}
		}
		r.say("trainer %d, step %d: a batch submission of %.1f MB: %d, %d of %d results read, ended: %d", n, step, float64(len(body))/1e6, status, read, stepItems, ended)
		time.Sleep(time.Until(next))
	}
}

// playMemory has two trainers submit, read and end one step after the other.
func playMemory(r *rig) int {
	r.memoryMB, r.cores = 184, 0.192
	body := sheetBody
	if r.trouble {
		body = largeBody
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
	over := make(chan struct{})
	var watchers, running sync.WaitGroup
	for _, d := range r.daemons {
		m := &machine{daemon: d}
		machines = append(machines, m)
		watchers.Go(func() { r.limitMemory(m, over) })
	}
	until := time.Now().Add(playFor)
	for n := range trainers {
		running.Go(func() { r.train(n, machines, body, until) })
	}
	running.Wait()
	close(over)
	watchers.Wait()
	often := 0
	for _, m := range machines {
		if m.ended >= 3 {
			often++
		}
	}
	r.say("on %d machines processes ended by themselves three times or more", often)
	if often >= 2 {
		return broken
	}
	return held
}
