package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryMB     = 284             // MemoryMb
	stepInterval = 4 * time.Second // a batch submission each 4 s
	trainerLimit = 12 * time.Second
	playTime     = 108 * time.Second
	restartDelay = 500 * time.Millisecond
	largeItem    = 80 << 10 // bytes of a body; 256 of them are a submission of 28 MB, within MaxBodyBytes
	usualItem    = 600
	itemCount    = 256
)

// playMemory submits steps of trainers whose items have large bodies. The stand-in for the platform kills
// a process that uses more than MemoryMb and starts it again. Not three times on two machines.
func playMemory(r *rig, trouble bool) int {
	r.configure(1, route("r-lots", "rollout", "/lots/", pool))
	for i := range 8 {
		r.addReplica(&replica{id: fmt.Sprint("i-pool", i), service: pool, zone: "a", model: "m0", events: 5, pace: 5 * time.Millisecond})
	}
	if err := r.addEdges("a", "a", "a", "b", "b", "b", "c", "c"); err != nil {
		r.note("%v", err)
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	size := usualItem
	if trouble {
		size = largeItem
	}
	p := &memoryPlatform{rig: r, kills: map[*edge]int{}}
	var group sync.WaitGroup
	for _, e := range r.edges {
		group.Go(func() { p.watch(ctx, e) })
	}
	// The platform chooses the daemon by a hash of the requester: two trainers each at two daemons.
	for t := range 4 {
		group.Go(func() {
			time.Sleep(time.Duration(t) * stepInterval / 4)
			clockwork := time.NewTicker(stepInterval)
			defer clockwork.Stop()
			for step := 0; ctx.Err() == nil; step++ {
				group.Go(func() { r.playStep(ctx, t, step, 4*(t%2), size) })
				select {
				case <-clockwork.C:
				case <-ctx.Done():
				}
			}
		})
	}
	group.Wait()
	machines := 0
	for e, n := range p.kills {
		r.note("%s was killed %d times", e.id, n)
		if n >= 3 {
			machines++
		}
	}
	for _, e := range r.edges {
		r.note("%s used up to %d MB", e.id, p.peak(e))
	}
	if machines >= 2 {
		r.note("Fault: on %d of %d machines the process went over its memory three times", machines, len(r.edges))
		return 1
	}
	r.note("no fault")
	return 0
}

// memoryPlatform keeps the processes within their memory.
type memoryPlatform struct {
	rig   *rig
	mu    sync.Mutex
	kills map[*edge]int
	peaks map[*edge]int
}

func (p *memoryPlatform) peak(e *edge) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peaks[e]
}

func (p *memoryPlatform) watch(ctx context.Context, e *edge) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		used := e.residentMB()
		p.mu.Lock()
		if p.peaks == nil {
			p.peaks = map[*edge]int{}
		}
		p.peaks[e] = max(p.peaks[e], used)
		if used > memoryMB || e.exited() {
			p.kills[e]++
		}
		p.mu.Unlock()
		if used <= memoryMB && !e.exited() {
			continue
		}
		p.rig.note("%s uses %d MB of %d and is killed", e.id, used, memoryMB)
		e.signal(syscall.SIGKILL)
		<-e.done
		time.Sleep(restartDelay)
		if err := e.launch(); err != nil {
			p.rig.note("%v", err)
			return
		}
		_ = e.awaitReady(5 * time.Second)
	}
}

// playStep submits one step, first at the given daemon, reads its results and ends it.
func (r *rig) playStep(ctx context.Context, trainer, step, first, size int) {
	ctx, cancel := context.WithTimeout(ctx, trainerLimit)
	defer cancel()
	id := fmt.Sprintf("lot-%d-%03d", trainer, step)
	items := make([]obj, 0, itemCount)
	for i := range itemCount {
		body := make([]byte, size)
		_, _ = rand.Read(body)
		items = append(items, obj{
			"Id": fmt.Sprintf("%s-%03d", id, i), "Path": "/lots/x", "Headers": obj{"Model": "m0", "Token-Usage": "271,100"},
			"Body": b64(body), "Tokens": 371, "Group": fmt.Sprint("g", i/16),
		})
	}
	lot := encode(obj{"Step": step, "Model": "m0", "MinVersion": 1, "GroupCount": itemCount / 16, "Items": items})
	at, accepted := first, false
	for ; ctx.Err() == nil && !accepted; at++ {
		status, _, err := call(ctx, r.edges[at%len(r.edges)], http.MethodPost, "/lots/"+id, id, lot)
		accepted = status == http.StatusAccepted
		if !accepted {
			r.note("%s (%d bytes) at %s: %d %v", id, len(lot), r.edges[at%len(r.edges)].id, status, err)
			time.Sleep(100 * time.Millisecond)
		}
	}
	read := 0
	for at = first; ctx.Err() == nil && read < itemCount; {
		status, body, err := call(ctx, r.edges[at%len(r.edges)], http.MethodGet, fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", id, read), "", nil)
		var page struct{ NextToken int }
		if err != nil || status != http.StatusOK || json.Unmarshal(body, &page) != nil {
			at++
		} else {
			read = page.NextToken
		}
		time.Sleep(300 * time.Millisecond)
	}
	for ; ctx.Err() == nil; at++ {
		if status, _, _ := call(ctx, r.edges[at%len(r.edges)], http.MethodDelete, "/hornbeamtide/lots/"+id, "", nil); status == http.StatusOK {
			break
		}
	}
	if accepted {
		r.note("%s (%d bytes) accepted, %d of %d results read, ended: %v", id, len(lot), read, itemCount, ctx.Err() == nil)
	}
}
