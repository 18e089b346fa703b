package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"syscall"
	"time"
)

func init() { cases["freeze"] = playFreeze }

const (
	configApply = 2 * time.Second // ConfigApplyMs
	contact     = 3 * time.Second // ContactMs
	frozenTime  = 3500 * time.Millisecond
	rounds      = 9
	// frozenMachines is the number of entry machines that are frozen at a time, of eight.
	frozenMachines = 2
)

// playFreeze freezes two of eight entry machines while the operator adds a route, and asks the others for
// that route. None of them may answer 404 to a request that was sent later than ConfigApplyMs after the
// confirmation.
func playFreeze(r *rig, trouble bool) int {
	r.addReplica(&replica{id: "i-desk0", service: desk, zone: "a", pace: 5 * time.Millisecond})
	r.addReplica(&replica{id: "i-desk1", service: desk, zone: "b", pace: 5 * time.Millisecond})
	routes := []obj{route("r-0", "idempotent", "/desk/", desk)}
	version := 1
	r.configure(version, routes...)
	if err := r.addEdges("a", "a", "a", "b", "b", "b", "c", "c"); err != nil {
		r.note("%v", err)
		return 2
	}
	broken := 0
	for round := range rounds {
		time.Sleep(500 * time.Millisecond)
		before := r.watchCalls()
		time.Sleep(contact)
		frozen, calm := r.split(before)
		version++ // a change just before: all machines have just heard of it and wait for the next one
		r.configure(version, routes...)
		time.Sleep(60 * time.Millisecond)
		if trouble {
			for _, e := range frozen {
				e.signal(syscall.SIGSTOP)
				r.note("%s is frozen (%d watch calls in the last 3 s)", e.id, e.gate.watches.Load()-before[e])
			}
		}
		version++
		path := fmt.Sprintf("/new%d/", round)
		routes = append(routes, route(fmt.Sprint("r-", version), "idempotent", path, desk))
		r.configure(version, routes...)
		confirmed := time.Now()
		r.note("version %d with route %s is confirmed", version, path)
		var asking sync.WaitGroup
		var mu sync.Mutex
		for _, e := range calm {
			asking.Go(func() {
				inForce := false
				for n := 0; time.Since(confirmed) < frozenTime-100*time.Millisecond; n++ {
					sent := time.Now()
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					id := fmt.Sprintf("%s-%d-%d", e.id, round, n)
					status, _, err := call(ctx, e, "POST", path+"x", id, []byte("x"))
					cancel()
					late := sent.Sub(confirmed) > configApply
					if status == 404 && late {
						r.note("request %s, sent to %s %d ms after the confirmation: 404", id, e.id, sent.Sub(confirmed).Milliseconds())
						mu.Lock()
						broken++
						mu.Unlock()
					}
					if status == 200 && !inForce {
						inForce = true
						r.note("%s serves the route %d ms after the confirmation", e.id, sent.Sub(confirmed).Milliseconds())
					}
					_ = err
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
		asking.Wait()
		if trouble {
			for _, e := range frozen {
				e.signal(syscall.SIGCONT)
			}
			r.note("they are awake again")
		}
		for _, e := range r.edges {
			if err := e.awaitReady(5 * time.Second); err != nil {
				r.note("%v", err)
				return 2
			}
		}
	}
	if broken > 0 {
		r.note("CONFIG is broken: %d requests got 404 from machines in touch", broken)
		return 1
	}
	r.note("CONFIG held")
	return 0
}

// watchCalls returns the number of watch calls of each daemon.
func (r *rig) watchCalls() map[*edge]int64 {
	calls := map[*edge]int64{}
	for _, e := range r.edges {
		calls[e] = e.gate.watches.Load()
	}
	return calls
}

// split returns the entry machines that have read the platform's list most often since, and the others.
func (r *rig) split(before map[*edge]int64) (first, rest []*edge) {
	ordered, now := append([]*edge(nil), r.edges...), r.watchCalls()
	rand.Shuffle(len(ordered), func(a, b int) { ordered[a], ordered[b] = ordered[b], ordered[a] })
	sort.SliceStable(ordered, func(a, b int) bool {
		return now[ordered[a]]-before[ordered[a]] > now[ordered[b]]-before[ordered[b]]
	})
	return ordered[:frozenMachines], ordered[frozenMachines:]
}
