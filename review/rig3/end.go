package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// playEnd ends a batch submission while the store is down, for less time than a site's days have. The
// sender gives up before the store is back. Later the machine that ran the batch submission is restarted as
// planned.
func playEnd(r *rig) int {
	const id = "7c41e09b52d6a3f8"
	var mu sync.Mutex
	type run struct {
		at   time.Time
		item string
	}
	var runs []run
	for i := range 2 {
		r.addReplica(fakereplica.Config{ID: fmt.Sprint("lm-", i), Service: "lm-pool", FailureDomain: "litoral-a", Model: model, Events: 21, OnRun: func(item string, _ http.Header) {
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, run{time.Now(), item})
		}}, 20*time.Millisecond)
	}
	r.putConfig(1, "")
	if err := r.addDaemons(4, true); err != nil {
		r.say("%v", err)
		return noPlay
	}
	status, _ := r.call("POST", r.daemons[0].front, "/price/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "12000"}, batchBody(id, 400, 200), 12*time.Second)
	r.say("POST batch submission at %s: %d", r.daemons[0].id, status)
	owner := r.ownerOf(id)
	if status != 202 || owner < 0 {
		return noPlay
	}
	r.say("it is run by %s", r.daemons[owner].id)
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.say("the store is down (busy)")
		r.store.SetFaults(fakeplatform.Faults{Outage: true})
		time.AfterFunc(4500*time.Millisecond, func() {
			r.store.SetFaults(fakeplatform.Faults{})
			r.say("the store is back")
		})
	}
	confirmed := false
	down := time.Now()
	for try := 0; try < 3 && !confirmed; try++ {
		at := r.daemons[(owner+1+try)%len(r.daemons)]
		status, _ := r.call("DELETE", at.front, "/hornbeamtide/lots/"+id, nil, nil, 1500*time.Millisecond)
		r.say("DELETE at %s: %d (0: no answer in 1.5 s)", at.id, status)
		confirmed = status == 200
	}
	if !confirmed && !r.trouble {
		return noPlay
	}
	// The store is back 4.5 s after its outage began; ContactMs later the core is stable, and AckMs of steady
	// state later the end counts as acknowledged.
	acknowledged := time.Now()
	if r.trouble {
		acknowledged = down.Add((4500 + contactMs + ackMs) * time.Millisecond)
	}
	time.Sleep(time.Until(acknowledged.Add(cancelMs*time.Millisecond + 500*time.Millisecond)))
	mu.Lock()
	before := len(runs)
	mu.Unlock()
	r.say("the end counts as acknowledged since more than CancelMs; %d runs so far", before)
	r.say("%s is stopped and started again", r.daemons[owner].id)
	r.stop(r.daemons[owner])
	started := time.Now()
	if err := r.start(r.daemons[owner]); err != nil || !r.waitReady(r.daemons[owner], 10*time.Second) {
		return noPlay
	}
	inTouch := started.Add(contactMs * time.Millisecond)
	r.say("%s is ready", r.daemons[owner].id)
	time.Sleep(12 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, counted := map[string]bool{}, 0
	for i, x := range runs {
		if i < 3 || x.at.After(started) && i < before+20 {
			r.say("run at %.3f of item %s", x.at.Sub(r.started).Seconds(), x.item)
		}
		if x.at.After(inTouch) {
			late[x.item] = true
			counted++
		}
	}
	r.say("%d runs of %d items by machines in touch, later than CancelMs after the end counts as acknowledged (after %.3f)",
		counted, len(late), inTouch.Sub(r.started).Seconds())
	if counted > 0 {
		return broken
	}
	return held
}
