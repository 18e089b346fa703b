package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	callerPause = 15 * time.Millisecond
	pollPause   = 150 * time.Millisecond
	groups      = 4
	groupSize   = 4
)

// reply is what a caller got. err says that the answer did not end as it should.
type reply struct {
	status int
	body   string
	err    error
}

// client is a caller or trainer with connections of its own.
type client struct {
	*judge

	http    *http.Client
	address func() (address, process string)
}

func newClient(j *judge, address func() (string, string)) *client {
	return &client{judge: j, http: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{}}, address: address}
}

func (c *client) call(ctx context.Context, method, path, id, body string, header ...string) (reply, string) {
	address, process := c.address()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{err: err}, process
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{err: err}, process
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(text), err: err}, process
}

// callers sends requests of all kinds until ctx ends.
func (c *client) callers(ctx context.Context, name string, newest func() int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		switch rand.IntN(6) {
		case 0:
			c.strictCall(ctx, id)
		case 1:
			c.streamCall(ctx, id)
		case 2:
			c.routeCall(ctx, id, 1+rand.IntN(newest()))
		default:
			c.plainCall(ctx, id)
		}
		pause(ctx, callerPause)
	}
}

func (c *client) plainCall(ctx context.Context, id string) {
	if got, _ := c.call(ctx, http.MethodPost, "/records/x", id, id); got.err == nil {
		c.plain(id, id, got.status, got.body)
	}
}

func (c *client) strictCall(ctx context.Context, id string) {
	c.mu.Lock()
	c.strict[id] = true
	c.mu.Unlock()
	if got, _ := c.call(ctx, http.MethodPost, "/bookings/x", id, id); got.err == nil {
		c.plain(id, id, got.status, got.body)
	}
}

// streamCall reads a stream, which it resumes if it breaks off.
func (c *client) streamCall(ctx context.Context, id string) {
	for after, try := 0, 0; after < events && try < 4 && ctx.Err() == nil; try++ {
		var header []string
		if after > 0 {
			header = []string{"Last-Event-Id", fmt.Sprint(after)}
		}
		got, _ := c.call(ctx, http.MethodPost, "/chat/x", id, id, header...)
		switch {
		case got.status == http.StatusOK:
			after = c.stream(id, got.body, after, got.err == nil)
		case got.status == http.StatusServiceUnavailable && got.err == nil && try == 0:
			c.plain(id, id, got.status, "")
			return
		}
	}
}

func (c *client) routeCall(ctx context.Context, id string, version int) {
	got, process := c.call(ctx, http.MethodPost, extra(version)+"x", id, id)
	if got.err == nil && (got.status == http.StatusOK || got.status == http.StatusNotFound) {
		c.route(process, version, got.status == http.StatusOK)
	}
}

// trainer runs steps until ctx ends. named is told of each step that is done.
func (c *client) trainer(ctx context.Context, name string, named func(version int64)) {
	for step := int64(0); ctx.Err() == nil; step++ {
		batch, oldest := fmt.Sprintf("%s-%d", name, step), max(step-1, 1)
		body, ids := submission(batch, step, oldest)
		if !c.until(ctx, func() bool {
			got, _ := c.call(ctx, http.MethodPost, "/drafts/s", batch, body)
			return got.err == nil && got.status == http.StatusAccepted
		}) {
			return
		}
		if step%5 == 4 { // now and then a step is ended early
			pause(ctx, 100*time.Millisecond)
			if !c.end(ctx, batch) {
				return
			}
			c.ends(c.unlisted(batch, ids))
			named(step + 1)
			continue
		}
		if !c.until(ctx, func() bool { return c.poll(ctx, batch) >= len(ids) }) {
			return
		}
		c.whole(batch, ids, oldest)
		if !c.end(ctx, batch) {
			return
		}
		named(step + 1)
	}
}

// end ends a batch; it returns false if ctx ended first.
func (c *client) end(ctx context.Context, batch string) bool {
	return c.until(ctx, func() bool {
		got, _ := c.call(ctx, http.MethodDelete, "/hornbeamtide/lots/"+batch, "", "")
		return got.err == nil && got.status == http.StatusOK
	})
}

func (c *client) unlisted(batch string, ids []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range c.results[batch] {
		listed[r.ID] = true
	}
	var rest []string
	for _, id := range ids {
		if !listed[id] {
			rest = append(rest, id)
		}
	}
	return rest
}

// poll reads more of a batch, now and then from an earlier position, and returns how many
// results are known.
func (c *client) poll(ctx context.Context, batch string) int {
	from := c.read(batch)
	if from > 0 && rand.IntN(4) == 0 {
		from = rand.IntN(from)
	}
	got, _ := c.call(ctx, http.MethodGet, fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", batch, from), "", "", "Wait-Ms", "300")
	var page struct {
		NextToken int
		Results   []result
	}
	switch {
	case got.err != nil || got.status == http.StatusServiceUnavailable:
	case got.status == http.StatusNotFound:
		c.breaks("batch %s was accepted and is unknown", batch)
	case got.status == http.StatusOK && json.Unmarshal([]byte(got.body), &page) != nil, got.status == http.StatusOK && page.NextToken != from+len(page.Results):
		c.breaks("batch %s: page %.80q", batch, got.body)
	case got.status == http.StatusOK:
		c.page(batch, from, page.Results)
	}
	return c.read(batch)
}

// until repeats a call until it succeeds; false if ctx ended first.
func (c *client) until(ctx context.Context, done func() bool) bool {
	for ctx.Err() == nil {
		if done() {
			return true
		}
		pause(ctx, pollPause)
	}
	return false
}

func submission(batch string, step, oldest int64) (body string, ids []string) {
	var items []map[string]any
	for g := range groups {
		for i := range groupSize {
			id := fmt.Sprintf("%s-g%d-%d", batch, g, i)
			ids = append(ids, id)
			items = append(items, map[string]any{
				"Id": id, "Path": "/drafts/" + id, "Headers": map[string]string{"Model": engineModel}, "Body": "eA==", "Group": fmt.Sprintf("%s-g%d", batch, g),
				"ScorerUrl": map[string]any{"Id": "score-" + id, "Hostname": host, "Path": "/scores/" + id, "Body": "eA=="},
			})
		}
	}
	text, err := json.Marshal(map[string]any{"Step": step, "Model": engineModel, "MinVersion": oldest, "GroupCount": groups, "Items": items})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return string(text), ids
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
