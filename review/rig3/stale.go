package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const settleMs = 1000

// playStale restarts two of five machines as planned, the one that runs a batch submission and the next one,
// and reads the results at the others meanwhile, as their trainer and other requesters do.
func playStale(r *rig) int {
	const id = "65c98bc9b4839183"
	for i := range 3 {
		r.addModelReplica(&modelReplica{id: fmt.Sprint("lm-", i), events: 24, eventBytes: env("EVENT", 1600), delay: 100 * time.Millisecond})
	}
	r.putConfig(1, "")
	if err := r.addDaemons(5, true); err != nil {
		r.say("%v", err)
		return noPlay
	}
	items := env("ITEMS", 640)
	status, _ := r.call("POST", r.daemons[0].front, "/price/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "12000"}, batchBody(id, items, 600), 12*time.Second)
	owner := r.ownerOf(id)
	if status != 202 || owner < 0 {
		return noPlay
	}
	backups := r.backupsOf(id, owner)
	r.say("POST a batch submission of %d items: 202; it is run by %s", items, r.daemons[owner].id)
	time.Sleep(time.Duration(env("BEFORE", 20)) * time.Second)
	if r.trouble {
		first, second := r.daemons[backups[0]], r.daemons[owner]
		var stops sync.WaitGroup
		for i, d := range []*daemon{first, second} {
			stops.Go(func() {
				time.Sleep(time.Duration(i) * time.Second)
				r.say("%s gets SIGTERM", d.id)
				r.stop(d)
				if err := r.start(d); err != nil || !r.waitReady(d, 15*time.Second) {
					r.say("%s did not start", d.id)
				}
				r.say("%s is ready again", d.id)
			})
		}
		stops.Wait()
	}
	time.Sleep((contactMs + 500) * time.Millisecond)
	return r.readEverywhere(id, backups, time.Duration(env("READ", 30))*time.Second)
}

// readEverywhere has requesters read the newest positions, two times a second each, at machines that were
// not stopped. It returns broken if one of them has nothing at a position that had been read more than
// SettleMs before.
func (r *rig) readEverywhere(id string, backups []int, limit time.Duration) int {
	type seen struct {
		position int
		at       time.Time // when the answer that had it was complete
	}
	var mu sync.Mutex
	firstRead := []seen{{0, time.Now()}} // NextToken of the answers, ascending
	breaks, answers, refused := 0, 0, 0
	newest := func() int { mu.Lock(); defer mu.Unlock(); return firstRead[len(firstRead)-1].position }
	var readers sync.WaitGroup
	end := time.Now().Add(limit)
	places := backups[1:]
	for n := range 2 * len(places) {
		readers.Go(func() {
			d := r.daemons[places[n%len(places)]]
			time.Sleep(time.Duration(n) * 500 / time.Duration(2*len(places)) * time.Millisecond)
			for time.Now().Before(end) {
				next := time.Now().Add(500 * time.Millisecond)
				after := newest() - n/len(places) // one of the two reads the last position again
				after = max(after, 0)
				sent := time.Now()
				status, text := r.call("GET", d.front, fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", id, after), nil, nil, 2500*time.Millisecond)
				var page struct {
					Total, NextToken int
					Results          []struct{ ID string }
				}
				got := status == 200 && json.Unmarshal(text, &page) == nil
				mu.Lock()
				switch {
				case !got:
					refused++
				case len(page.Results) == 0:
					answers++
					for _, s := range firstRead {
						if age := sent.Sub(s.at); s.position > after && age > settleMs*time.Millisecond {
							breaks++
							r.say("%s has nothing at position %d, asked %.0f ms after it had been read (up to %d)", d.id, after, float64(age.Milliseconds()), s.position)
							break
						}
					}
				default:
					answers++
					if page.NextToken > firstRead[len(firstRead)-1].position {
						firstRead = append(firstRead, seen{page.NextToken, time.Now()})
						r.say("%s has results up to position %d", d.id, page.NextToken)
					}
				}
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
		})
	}
	readers.Wait()
	r.say("%d answers, %d without one or refused, %d without a position that had been read more than SettleMs before", answers, refused, breaks)
	if breaks > 0 {
		return broken
	}
	return held
}
