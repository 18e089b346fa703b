package edgedemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

// killStep is the step in which a daemon is killed while it is run.
const killStep = 1

type result struct {
	ID       string `json:"Id"`
	State    string
	Output   string
	Versions []int64
	Score    string
}

// step submits a batch, reads it to its end, ends it and names the next version.
func (d *demo) step(ctx context.Context, step int) error {
	batch := fmt.Sprint("step-", step)
	oldest := int64(max(step-1, 1))
	body, ids := submission(step, d.options.Groups, oldest)
	if status, _ := d.call(ctx, http.MethodPost, "/drafts/s", batch, body); status != http.StatusAccepted {
		return fmt.Errorf("submission answered with status %d", status)
	}
	if step == killStep {
		d.edges[0].Kill()
	}
	results, err := d.read(ctx, batch, len(ids))
	if err != nil {
		return err
	}
	d.count(ids, results, oldest)
	if status, _ := d.call(ctx, http.MethodDelete, "/hornbeamtide/lots/"+batch, "", nil); status != http.StatusOK {
		return fmt.Errorf("end answered with status %d", status)
	}
	d.store.PutSpec("versions/"+model, json.RawMessage(fmt.Sprintf(`{"Model":%q,"Version":%d}`, model, step+1)))
	return nil
}

func submission(step, groups int, oldest int64) (body []byte, ids []string) {
	var items []map[string]any
	for g := range groups {
		for i := range groupSize {
			id := fmt.Sprintf("s%d-g%d-%d", step, g, i)
			ids = append(ids, id)
			items = append(items, map[string]any{
				"Id": id, "Path": "/drafts/" + id, "Headers": map[string]string{"Model": model}, "Body": "eA==", "Group": fmt.Sprintf("s%d-g%d", step, g),
				"ScorerUrl": map[string]any{"Id": "score-" + id, "Hostname": host, "Path": "/scores/" + id, "Body": "eA=="},
			})
		}
	}
	body, err := json.Marshal(map[string]any{"Step": step, "Model": model, "MinVersion": oldest, "GroupCount": groups, "Items": items})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return body, ids
}

// read reads a batch from its start until all its items are listed.
func (d *demo) read(ctx context.Context, batch string, total int) ([]result, error) {
	var all []result
	for len(all) < total {
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%d of %d samples were read in time", len(all), total)
		}
		status, answer := d.call(ctx, http.MethodGet, fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", batch, len(all)), "", nil)
		var page struct{ Results []result }
		if status != http.StatusOK || json.Unmarshal(answer, &page) != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		all = append(all, page.Results...)
	}
	return all, nil
}

// count compares what was read with what the replicas generate.
func (d *demo) count(ids []string, results []result, oldest int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Samples += len(ids)
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.ID] {
			d.counts.Doubled++
			continue
		}
		seen[r.ID] = true
		var whole []string
		for n := 1; n <= events; n++ {
			whole = append(whole, fakereplica.Text(r.ID, n))
		}
		switch {
		case r.State != "completed" || r.Output != strings.Join(whole, "\n") || r.Score != "stamp-score-"+r.ID:
			d.counts.Broken++
		case len(r.Versions) == 0 || r.Versions[0] < oldest:
			d.counts.TooOld++
		default:
			d.counts.Delivered++
		}
	}
}
