package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["long"] = playLong }

const (
	longEvents     = 400                    // events of a text
	tokensPerEvent = 110                    // an event may have several tokens
	tokenTime      = 568 * time.Microsecond // the shortest step of an engine of conchilla-hub
	markupToken    = "<p>"
	plainToken     = "abc"
)

// playLong submits items with long texts, of markup or, without the trouble, of letters. An item whose text a
// replica has sent to its end must be listed as completed, with its whole text.
func playLong(r *rig, trouble bool) int {
	token := plainToken
	if trouble {
		token = markupToken
	}
	var mu sync.Mutex
	finished, failed := map[string]int{}, map[string]int{}
	text := func(id string, n int) string {
		return fmt.Sprintf("%s-%04d %s", id, n, strings.Repeat(token, tokensPerEvent))
	}
	r.configure(1, route("r-lots", "rollout", "/lots/", pool))
	for i := range 4 {
		p := &replica{id: fmt.Sprint("i-pool", i), service: pool, zone: "a", model: "m0"}
		p.before = func(w http.ResponseWriter, req *http.Request, id string) bool {
			after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
			w.Header().Set("Server-Stamp", "stamp."+p.id+"."+id)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Weight-Versions", "1")
			flush := http.NewResponseController(w)
			for n := after + 1; n <= longEvents; n++ {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, text(id, n)); err != nil {
					mu.Lock()
					failed[id]++
					mu.Unlock()
					return true
				}
				_ = flush.Flush()
				time.Sleep(tokensPerEvent * tokenTime)
			}
			mu.Lock()
			finished[id]++
			mu.Unlock()
			return true
		}
		r.addReplica(p)
	}
	if err := r.addEdges("a", "a", "b", "b", "c", "c"); err != nil {
		r.note("%v", err)
		return 2
	}
	ctx, cancel := context.WithTimeout(context.Background(), 55*time.Second)
	defer cancel()
	const id, itemCount = "lot-long", 4
	tokens := longEvents * tokensPerEvent
	var items []obj
	for i := range itemCount {
		items = append(items, obj{
			"Id": fmt.Sprint("item-", i), "Path": "/lots/x", "Headers": obj{"Model": "m0", "Token-Usage": fmt.Sprintf("271,%d", tokens)},
			"Body": b64(make([]byte, 600)), "Tokens": 271 + tokens, "Group": "g0",
		})
	}
	status, _, err := call(ctx, r.edges[0], http.MethodPost, "/lots/"+id, id, encode(obj{"Step": 0, "Model": "m0", "MinVersion": 1, "GroupCount": 1, "Items": items}))
	r.note("%s with %d items of up to %d tokens: %d %v", id, itemCount, 271+tokens, status, err)
	if status != http.StatusAccepted {
		return 2
	}
	type result struct{ Id, State, Output string }
	var results []result
	for len(results) < itemCount && ctx.Err() == nil {
		_, body, err := call(ctx, r.edges[1], http.MethodGet, fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", id, len(results)), "", nil)
		var page struct{ Results []result }
		if err == nil && json.Unmarshal(body, &page) == nil {
			results = append(results, page.Results...)
		}
		time.Sleep(300 * time.Millisecond)
	}
	broken := 0
	mu.Lock()
	defer mu.Unlock()
	for _, x := range results {
		var want []string
		for n := 1; n <= longEvents; n++ {
			want = append(want, text(x.Id, n))
		}
		whole := x.Output == strings.Join(want, "\n")
		r.note("%s is listed as %s with %d bytes (whole: %v); its replicas sent all of its text %d times, were cut off %d times, and answered 500 or 422 never", x.Id, x.State, len(x.Output), whole, finished[x.Id], failed[x.Id])
		if x.State != "completed" || !whole {
			broken++
		}
	}
	switch {
	case len(results) < itemCount:
		r.note("%d of %d results are listed", len(results), itemCount)
		return 2
	case broken > 0:
		r.note("MIXED is broken: %d of %d items are errored without an answer of 500 or 422", broken, itemCount)
		return 1
	}
	r.note("MIXED held")
	return 0
}
