package crowdtest

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// The bounds of a daemon that gets large submissions: the smallest memory of an instance, and the largest body
// that a client may send.
const (
	submissionMemoryMB = 160
	maxSubmissionBytes = 32 << 20
	submissionTimeout  = 30 * time.Second
)

// encodeSubmission returns a submission of items whose bodies have the given size.
func encodeSubmission(id string, items, bodyBytes int) []byte {
	var text bytes.Buffer
	body := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{'x'}, bodyBytes))
	fmt.Fprintf(&text, `{"Step":0,"Model":"m0","MinVersion":1,"GroupCount":1,"Items":[`)
	for i := range items {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"Id":"%s-%d","Path":"%s%d","Headers":{"Model":"m0","Token-Usage":"276,20"},"Body":"%s","Tokens":296,"Group":"g%d"}`,
			id, i, stepPath, i, body, i/8)
	}
	text.WriteString("]}")
	return text.Bytes()
}

// submit sends a submission on a new connection and returns the status and the body of its response.
func (d *daemon) submit(id string, body []byte) (int, string, error) {
	client := http.Client{Timeout: submissionTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+d.front+stepPath+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text)), err
}

// submitTogether sends submissions at the same moment and returns the ids of those that were accepted. A refusal
// must be 503, and nothing of a refused one may be accepted.
func (d *daemon) submitTogether(ids []string, items, bodyBytes int) []string {
	d.t.Helper()
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	for _, id := range ids {
		body := encodeSubmission(id, items, bodyBytes)
		if len(body) > maxSubmissionBytes {
			d.t.Fatalf("a submission of %d bytes", len(body))
		}
		clients.Go(func() {
			status, text, err := d.submit(id, body)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == http.StatusAccepted:
				accepted = append(accepted, id)
			case err != nil || status != http.StatusServiceUnavailable:
				d.t.Errorf("submission %s of %d items: status %d, %v: %s", id, items, status, err, text)
			default:
				d.t.Logf("submission %s of %d items was refused: %s", id, items, text)
			}
		})
	}
	clients.Wait()
	for _, id := range ids {
		_, stored := d.store.Object("batches/" + id)
		if isAccepted := slices.Contains(accepted, id); stored != isAccepted {
			d.t.Errorf("submission %s: accepted %v, stored %v", id, isAccepted, stored)
		}
	}
	return accepted
}

// end ends a submission and removes it from the store, so that the store of the test stays small.
func (d *daemon) end(id string) {
	d.t.Helper()
	request, err := http.NewRequest(http.MethodDelete, "http://"+d.front+"/hornbeamtide/lots/"+id, http.NoBody)
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = response.Body.Close()
	for _, o := range d.store.Objects("items-" + id + "/") {
		d.store.Remove(o.Key)
	}
}

// Guards against a process that goes over its memory when large submissions come at the same moment (found in a
// review, case 11): the body, the decoded items, their encoding and their copy for the store stood in memory at
// once, and only the body was counted. One alone must be accepted, and of several at once one.
func TestLargeSubmissionsStayWithinTheMemory(t *testing.T) {
	d := startDaemonWith(t, submissionMemoryMB, maxSubmissionBytes)
	table := []struct {
		name             string
		together         int
		items, bodyBytes int
	}{
		{"one of many items", 1, 19_000, 1000},
		{"one of large items", 1, 38, 550_000},
		{"two", 2, 136, 158_000},
		{"four of many items", 4, 19_000, 1000},
		{"four of large items", 4, 38, 550_000},
		{"eight", 8, 136, 40_000},
	}
	for n, row := range table {
		var ids []string
		for i := range row.together {
			ids = append(ids, fmt.Sprintf("s%d%d", n, i))
		}
		accepted := d.submitTogether(ids, row.items, row.bodyBytes)
		t.Logf("%s: %d of %d accepted, peak %d KB", row.name, len(accepted), row.together, d.peakMemoryKB())
		if len(accepted) == 0 {
			t.Errorf("%s: none was accepted", row.name)
		}
		for _, id := range accepted {
			d.end(id)
		}
		// A run ends after the response to its end: the next row begins without it.
		if err := d.eventually(d.checkNothingHeld); err != nil {
			t.Errorf("%s: %v", row.name, err)
		}
	}
	d.check()
}

// Guards against a process over its memory by submissions that come while it holds the items of others, and
// against room that is not given back when those end.
func TestLargeSubmissionsBesideRunningBatches(t *testing.T) {
	d := startDaemonWith(t, submissionMemoryMB, maxSubmissionBytes)
	for round := range 3 {
		var open []string
		for n := range 6 {
			open = append(open, d.submitTogether([]string{fmt.Sprintf("r%d%d", round, n)}, 136, 158_000)...)
		}
		t.Logf("round %d: %d of 6 accepted, peak %d KB", round, len(open), d.peakMemoryKB())
		if len(open) == 0 {
			t.Errorf("round %d: none was accepted", round)
		}
		for _, id := range open {
			d.end(id)
		}
		if err := d.eventually(d.checkNothingHeld); err != nil {
			t.Errorf("round %d: %v", round, err)
		}
	}
	d.check()
}

// Guards against submissions within the limits that are answered 400 (found in a review, case 13): the sizes of the
// objects that hold the items were guessed from the items' bodies, and an item larger than one object was refused.
func TestSubmissionsOfAnyContentAreAccepted(t *testing.T) {
	d := startDaemonWith(t, submissionMemoryMB, maxSubmissionBytes)
	table := []struct {
		name                          string
		items, bodyBytes, scorerBytes int
		headerValue                   string
	}{
		{"scoring requests of 3.6 KB", 320, 600, 3600, ""},
		{"scoring requests of 60 KB", 160, 600, 60_000, ""},
		{"scoring requests of 700 KB", 20, 600, 700_000, ""},
		{"scoring requests of 900 KB", 3, 600, 900_000, ""},
		{"header values of markup", 160, 600, 0, strings.Repeat("<", 3000)},
		{"items of 900 KB", 20, 900_000, 0, ""},
		{"one item as large as a submission", 1, 25_000_000, 0, ""},
	}
	for n, row := range table {
		id := fmt.Sprintf("c%d", n)
		var items []map[string]any
		for i := range row.items {
			item := map[string]any{
				"Id": fmt.Sprintf("%s-%d", id, i), "Path": stepPath + id, "Headers": map[string]string{"Model": "m0", "X-Note": row.headerValue},
				"Body": bytes.Repeat([]byte{'x'}, row.bodyBytes), "Tokens": 296, "Group": "g",
			}
			if row.scorerBytes > 0 {
				item["ScorerUrl"] = map[string]any{"Id": "s" + id, "Hostname": host, "Path": "/score", "Body": bytes.Repeat([]byte{'y'}, row.scorerBytes)}
			}
			items = append(items, item)
		}
		body, err := json.Marshal(map[string]any{"Step": 0, "Model": "m0", "MinVersion": 1, "GroupCount": 1, "Items": items})
		if err != nil || len(body) > maxSubmissionBytes {
			t.Fatalf("%s: %d bytes, %v", row.name, len(body), err)
		}
		status, text, err := d.submit(id, body)
		t.Logf("%s: status %d, peak %d KB", row.name, status, d.peakMemoryKB())
		if err != nil || status != http.StatusAccepted {
			t.Errorf("%s, %d bytes: status %d, %v: %s", row.name, len(body), status, err, text)
			continue
		}
		d.end(id)
	}
	d.check()
}

// checkNothingHeld returns an error if the daemon counts bytes of request bodies or batches as held.
func (d *daemon) checkNothingHeld() error {
	response, err := http.Get("http://" + d.metric + "/metrics")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var metrics struct {
		HeldBytes map[string]int64 `json:"held_bytes"`
	}
	if err = json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		return err
	}
	if held, found := metrics.HeldBytes["bodies"]; held != 0 || !found {
		return fmt.Errorf("%d bytes are held (known: %v)", held, found)
	}
	return nil
}
