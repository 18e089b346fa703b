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
	callerInterval = 15 * time.Millisecond
	pollInterval   = 150 * time.Millisecond
	groupCount     = 4
	groupSize      = 4
)

// response is the response to a call. err is set if there is none or it is partial.
type response struct {
	status int
	body   string
	err    error
}

// client is a caller or trainer with its own connections.
type client struct {
	*checker

	http   *http.Client
	target func() (address, processName string)

	organisation string // whose newest key is sent, "" for any key
}

func newClient(ch *checker, target func() (string, string)) *client {
	return &client{checker: ch, http: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{}}, target: target}
}

// call sends a request; header alternates names and values. It returns the response and the
// daemon process that the request was sent to.
func (c *client) call(ctx context.Context, method, path, id, body string, header ...string) (response, string) {
	address, processName := c.target()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{err: err}, processName
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set(headerOrganisation, "forged") // must not reach a replica
	key, sentAt := c.chooseKey(c.organisation, id, path), time.Now()
	if key != nil {
		req.Header.Set(headerKey, key.text)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{err: err}, processName
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err == nil {
		c.checkAccess(key, id, path, resp.StatusCode, sentAt)
	}
	return response{status: resp.StatusCode, body: string(respBody), err: err}, processName
}

// runCaller sends requests of all kinds until ctx ends.
func (c *client) runCaller(ctx context.Context, name string, newestConfig func() int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		switch rand.IntN(7) {
		case 0:
			c.nonIdempotentCall(ctx, id)
		case 1:
			c.streamCall(ctx, id)
		case 2:
			c.routeCall(ctx, id, 1+rand.IntN(newestConfig()))
		case 3:
			c.plainCall(ctx, id, publicPath+"x")
		default:
			c.plainCall(ctx, id, "/records/x")
		}
		sleepContext(ctx, callerInterval)
	}
}

func (c *client) plainCall(ctx context.Context, id, path string) {
	if got, _ := c.call(ctx, http.MethodPost, path, id, id); got.err == nil {
		c.checkPlain(id, id, got.status, got.body)
	}
}

func (c *client) nonIdempotentCall(ctx context.Context, id string) {
	c.mu.Lock()
	c.nonIdempotent[id] = true
	c.mu.Unlock()
	if got, _ := c.call(ctx, http.MethodPost, "/bookings/x", id, id); got.err == nil {
		c.checkPlain(id, id, got.status, got.body)
	}
}

// streamCall reads a stream and resumes it if it is interrupted.
func (c *client) streamCall(ctx context.Context, id string) {
	for after, attempt := 0, 0; after < eventsPerCompletion && attempt < 4 && ctx.Err() == nil; attempt++ {
		var header []string
		if after > 0 {
			header = []string{"Last-Event-Id", fmt.Sprint(after)}
		}
		got, _ := c.call(ctx, http.MethodPost, "/chat/x", id, id, header...)
		switch {
		case got.status == http.StatusOK:
			after = c.checkStream(id, got.body, after, got.err == nil)
		case got.status == http.StatusServiceUnavailable && got.err == nil && attempt == 0:
			c.checkPlain(id, id, got.status, "")
			return
		}
	}
}

func (c *client) routeCall(ctx context.Context, id string, version int) {
	got, process := c.call(ctx, http.MethodPost, versionPath(version)+"x", id, id)
	if got.err == nil && (got.status == http.StatusOK || got.status == http.StatusNotFound) {
		c.checkRoute(process, version, got.status == http.StatusOK)
	}
}

// runTrainer runs steps until ctx ends. It calls onStepDone after each step with the weight
// version of that step.
func (c *client) runTrainer(ctx context.Context, name string, onStepDone func(version int64)) {
	for step := int64(0); ctx.Err() == nil; step++ {
		batch, minVersion := fmt.Sprintf("%s-%d", name, step), max(step-1, 1)
		body, ids := submission(batch, step, minVersion)
		c.expectItems(c.organisation, ids)
		if !c.retryUntil(ctx, func() bool {
			got, _ := c.call(ctx, http.MethodPost, "/drafts/s", batch, body)
			return got.err == nil && got.status == http.StatusAccepted
		}) {
			return
		}
		if step%5 == 4 { // end every fifth step early
			sleepContext(ctx, 100*time.Millisecond)
			if !c.endBatch(ctx, batch) {
				return
			}
			c.recordEnded(c.unlistedItems(batch, ids))
			onStepDone(step + 1)
			continue
		}
		if !c.retryUntil(ctx, func() bool { return c.poll(ctx, batch) >= len(ids) }) {
			return
		}
		c.checkComplete(batch, ids, minVersion)
		if !c.endBatch(ctx, batch) {
			return
		}
		onStepDone(step + 1)
	}
}

// endBatch ends a batch; it returns false if ctx ended first.
func (c *client) endBatch(ctx context.Context, batch string) bool {
	return c.retryUntil(ctx, func() bool {
		got, _ := c.call(ctx, http.MethodDelete, "/hornbeamtide/lots/"+batch, "", "")
		return got.err == nil && got.status == http.StatusOK
	})
}

func (c *client) unlistedItems(batch string, ids []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range c.resultsByBatch[batch] {
		listed[r.ID] = true
	}
	var unlisted []string
	for _, id := range ids {
		if !listed[id] {
			unlisted = append(unlisted, id)
		}
	}
	return unlisted
}

// poll reads the next results of a batch, in one of four calls again from an earlier position,
// and returns how many results it knows.
func (c *client) poll(ctx context.Context, batch string) int {
	from := c.resultCount(batch)
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
		c.reportBroken("batch %s was accepted but is unknown", batch)
	case got.status == http.StatusOK && json.Unmarshal([]byte(got.body), &page) != nil, got.status == http.StatusOK && page.NextToken != from+len(page.Results):
		c.reportBroken("batch %s: invalid page %.80q", batch, got.body)
	case got.status == http.StatusOK:
		c.checkPage(batch, from, page.Results)
	}
	return c.resultCount(batch)
}

// retryUntil repeats a call until it succeeds. It returns false if ctx ended first.
func (c *client) retryUntil(ctx context.Context, done func() bool) bool {
	for ctx.Err() == nil {
		if done() {
			return true
		}
		sleepContext(ctx, pollInterval)
	}
	return false
}

// submission returns the JSON body that submits the batch of a step, and the IDs of its items.
func submission(batch string, step, minVersion int64) (body string, ids []string) {
	var items []map[string]any
	for g := range groupCount {
		for i := range groupSize {
			id := fmt.Sprintf("%s-g%d-%d", batch, g, i)
			ids = append(ids, id)
			items = append(items, map[string]any{
				"Id": id, "Path": "/drafts/" + id, "Headers": map[string]string{"Model": engineModel}, "Body": "eA==", "Group": fmt.Sprintf("%s-g%d", batch, g),
				"ScorerUrl": map[string]any{"Id": "score-" + id, "Hostname": host, "Path": "/scores/" + id, "Body": "eA=="},
			})
		}
	}
	encoded, err := json.Marshal(map[string]any{"Step": step, "Model": engineModel, "MinVersion": minVersion, "GroupCount": groupCount, "Items": items})
	if err != nil {
		panic(err) // impossible: the value holds only strings and numbers
	}
	return string(encoded), ids
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
