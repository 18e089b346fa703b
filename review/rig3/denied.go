package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
)

const (
	deniedSteps = 10
	deniedItems = 320  // 20 groups of 16
	meanReward  = 600  // bytes of a reward call, the mean of the site file
	maxReward   = 3600 // and their largest size there
	sheetBody   = 600  // bytes of an item, the mean of the site file

	stepEvery = 4 * time.Second  // as on the sheets
	stepLimit = 12 * time.Second // time limit of the sheets
)

// scoredBatchBody returns a batch submission of items with reward calls.
func scoredBatchBody(id string, rewardBytes int) []byte {
	var items []map[string]any
	for i := range deniedItems {
		items = append(items, map[string]any{
			"Id": fmt.Sprintf("%s%06x", id, i), "Path": fmt.Sprintf("/price/%x", i), "Headers": map[string]string{"Model": model, "Token-Usage": "276,20"},
			"Body": base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{'x'}, sheetBody)), "Tokens": 296, "Group": fmt.Sprint("g", i/16),
			"ScorerUrl": map[string]any{
				"Id": fmt.Sprintf("5c%s%06x", id, i), "Hostname": host, "Path": "/quote/1",
				"Body": base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{'y'}, rewardBytes)),
			},
		})
	}
	text, err := json.Marshal(map[string]any{"Step": 0, "Model": model, "MinVersion": 1, "GroupCount": 18, "Items": items})
	if err != nil {
		panic(err)
	}
	return text
}

// playDenied has a trainer submit steps whose reward calls are as large as the largest of the site file.
func playDenied(r *rig) int {
	r.memoryMB, r.cores = 184, 0.192
	reward := meanReward
	if r.trouble {
		reward = maxReward
	}
	for i := range 2 {
		r.addReplica(fakereplica.Config{ID: fmt.Sprint("lm-", i), Service: "lm-pool", FailureDomain: "litoral-a", Model: model, Events: 20}, 10*time.Millisecond)
	}
	r.addReplica(fakereplica.Config{ID: "app-0", Service: "orders-app", FailureDomain: "litoral-a"}, 10*time.Millisecond)
	r.putConfig(1, "")
	if err := r.addDaemons(3, true); err != nil {
		r.say("%v", err)
		return noPlay
	}
	time.Sleep(4 * time.Second) // ContactMs of the site: the machines are in touch from here on
	denied, other := 0, 0
	for step := range deniedSteps {
		next := time.Now().Add(stepEvery)
		id := fmt.Sprintf("dd%06x", step)
		body := scoredBatchBody(id, reward)
		d := r.daemons[step%len(r.daemons)]
		status, answer := r.call("POST", d.front, "/price/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "12000"}, body, stepLimit)
		r.say("step %d: %d items with reward calls of %d bytes, %.2f MB in all, at %s: %d %s", step, deniedItems, reward, float64(len(body))/1e6, d.id, status, bytes.TrimSpace(answer))
		switch {
		case status >= 300 && status < 500 && status != 408 && status != 421 && status != 429:
			denied++
		case status == 202:
			ended, _ := r.call("DELETE", d.front, "/hornbeamtide/lots/"+id, nil, nil, 1500*time.Millisecond)
			r.say("ended: %d", ended)
		default:
			other++
		}
		time.Sleep(time.Until(next))
	}
	r.say("%d of %d proper batch submissions were ended with a 4xx", denied, deniedSteps)
	switch {
	case denied > 5+deniedSteps/500:
		return broken
	case other > 0:
		return noPlay
	}
	return held
}
