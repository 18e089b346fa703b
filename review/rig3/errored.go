package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// The largest number of events and the largest event in the site file of conchilla-hub (grade-rollout).
	mostEvents   = 176
	largestEvent = 1600
	tableRow     = "<tr><td>shell grit 2-4 mm</td><td>25 kg</td><td>12.40</td></tr>"
)

// playErrored has sound replicas generate long texts, of rows of a table as web pages have them or, without
// trouble, of the same rows with brackets that JSON doesn't escape.
func playErrored(r *rig) int {
	const id = "9a4be7c2d1f05836"
	filler := tableRow
	if !r.trouble {
		filler = strings.NewReplacer("<", "[", ">", "]").Replace(tableRow)
	}
	var mu sync.Mutex
	whole := map[string]int{}
	for i := range 2 {
		r.addModelReplica(&modelReplica{id: fmt.Sprint("lm-", i), events: mostEvents, eventBytes: largestEvent, delay: 5 * time.Millisecond, filler: filler, onEnd: func(item string) {
			mu.Lock()
			defer mu.Unlock()
			whole[item]++
		}})
	}
	r.putConfig(1, "")
	if err := r.addDaemons(3, true); err != nil {
		r.say("%v", err)
		return noPlay
	}
	var body map[string]any
	if err := json.Unmarshal(batchBody(id, 16, 600), &body); err != nil {
		return noPlay
	}
	for _, item := range body["Items"].([]any) {
		item.(map[string]any)["Tokens"] = 271 + mostEvents*49 // 49 tokens an event (stride)
	}
	text, err := json.Marshal(body)
	if err != nil {
		return noPlay
	}
	accepted := time.Now()
	status, _ := r.call("POST", r.daemons[0].front, "/price/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "12000"}, text, 12*time.Second)
	r.say("POST a batch submission of 16 items: %d", status)
	if status != 202 {
		return noPlay
	}
	read, states, wrong := 0, map[string]int{}, 0
	for read < 16 && time.Since(accepted) < 30*time.Second {
		got, answer := r.call("GET", r.daemons[1].front, fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", id, read), map[string]string{"Wait-Ms": "1000"}, nil, 2500*time.Millisecond)
		var page struct {
			NextToken int
			Results   []struct{ ID, State, Output string }
		}
		if got == 200 && json.Unmarshal(answer, &page) == nil {
			read = page.NextToken
			for _, x := range page.Results {
				states[x.State]++
				var want []string
				for n := 1; n <= mostEvents; n++ {
					want = append(want, eventText(x.ID, n, largestEvent, filler))
				}
				if x.State == "completed" && x.Output != strings.Join(want, "\n") {
					wrong++
				}
				mu.Lock()
				r.say("item %s is listed %.1f s after the submission as %s with %d bytes; replicas sent it whole %d times", x.ID, time.Since(accepted).Seconds(), x.State, len(x.Output), whole[x.ID])
				mu.Unlock()
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.say("listed: %v; completed with another text: %d. No replica answered 422 or 500, and RetentionS is 40", states, wrong)
	switch {
	case states["errored"] > 0 || wrong > 0:
		return broken
	case states["completed"] < 16:
		return noPlay
	}
	return held
}
