package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// split: a rollout route is split 90 to 10 over two services, as the pages' example of a desired
// state does; the one server of the smaller service crashes for good (srv_crash, gone) while a step
// runs. Judged: LOST, "a step runs out of time while one of its items, which no replica has finished
// or failed, has been at no replica for 5 s of steady state; others of the step had begun, the
// replicas were under half full".
func split(r *rig) bool {
	const groups, size, slots, wanted, timeLimit = 40, 4, 8, 36, 12 * time.Second
	pool := &enginePool{rig: r, events: 13, pause: 60 * time.Millisecond, items: map[string]*itemState{}}
	for i := range 6 {
		pool.start(fmt.Sprint("i-draft-", i), "draftpool", slots)
	}
	canary := pool.start("i-canary-0", "draftpool-next", slots)
	engine := map[string]any{"Slots": slots, "KvCacheTokens": 89884, "Models": []map[string]any{{"Name": "m0", "Version": 1}}}
	r.configure(1, []map[string]any{{
		"Name": "drafts", "PathPrefix": "/drafts/", "Kind": "rollout", "TimeoutMs": 10000, "TargetLatencyMs": 400, "MaxAttempts": 3, "DueMs": 7500, "RetentionS": 40,
		"TrafficSplit": []map[string]any{{"Backend": "draftpool", "Weight": 90}, {"Backend": "draftpool-next", "Weight": 10}},
	}}, []map[string]any{{"Name": "draftpool", "Engine": engine}, {"Name": "draftpool-next", "Engine": engine}})
	r.startEdges(3, nil)
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	body, inGroup := stepBody(id, groups, size, wanted)
	a := call(r.edges[0].front, "POST", "/drafts/"+id, id, body, 3*time.Second, "Deadline-Ms", "2000", "Content-Type", "application/json")
	sent := time.Now()
	r.note("step %s, %d items in %d groups, %d groups wanted, sent to %s: %v", id, groups*size, groups, wanted, r.edges[0].id, a)
	if a.status != http.StatusAccepted {
		fail("the step was not accepted: %v", a)
	}
	if trouble() {
		time.AfterFunc(300*time.Millisecond, canary.crash)
	}
	complete := r.readGroups(r.edges[1], id, inGroup, size, wanted, sent.Add(timeLimit))
	r.note("the trainer has read %d complete groups of the %d it waits for, %.1f s after the 202", complete, wanted, time.Since(sent).Seconds())
	waiting := pool.waiting(inGroup, 5*time.Second)
	full := pool.fullest(time.Now().Add(-5*time.Second), "draftpool")
	_ = call(r.edges[0].front, "DELETE", "/hornbeamtide/lots/"+id, "", nil, 3*time.Second)
	r.note("%d items that no server has finished or failed were at no server for the last 5 s; in these, the 6 sound servers had at most %d of their %d places taken", waiting, full, 6*slots)
	fmt.Printf("%d of %d wanted groups complete; %d items at no server for the last 5 s, with at most %d of %d places of sound servers taken\n", complete, wanted, waiting, full, 6*slots)
	othersBegan := pool.begun() > 0
	return complete >= wanted || waiting == 0 || !othersBegan || 2*full >= 6*slots
}

// stepBody returns a step and the group of each item.
func stepBody(id string, groups, size, wanted int) ([]byte, map[string]string) {
	inGroup := map[string]string{}
	var list []map[string]any
	for g := range groups {
		for i := range size {
			item := fmt.Sprintf("%s%02x%02x", id[4:], g, i)
			inGroup[item] = fmt.Sprint("g", g)
			list = append(list, map[string]any{
				"Id": item, "Path": "/drafts/3/" + item, "Headers": map[string]string{"Model": "m0", "Token-Usage": "540,400", "Prompt-Prefix": fmt.Sprintf("%x:300,%s:240", 100+g, item[4:])},
				"Body": "cHJvbXB0", "Tokens": 940, "Group": fmt.Sprint("g", g),
			})
		}
	}
	text, err := json.Marshal(map[string]any{"Step": 0, "Model": "m0", "MinVersion": 1, "GroupCount": wanted, "Items": list})
	if err != nil {
		fail("%v", err)
	}
	return text, inGroup
}

// readGroups reads results until enough groups are complete or the time is over.
func (r *rig) readGroups(e *edge, id string, inGroup map[string]string, size, wanted int, until time.Time) int {
	listed, complete, position := map[string]int{}, 0, 0
	for time.Now().Before(until) && complete < wanted {
		a := call(e.front, "GET", fmt.Sprintf("/hornbeamtide/lots/%s?After=%d", id, position), "", nil, 3*time.Second, "Wait-Ms", "1000")
		var page struct {
			NextToken int
			Results   []struct{ Id, State string }
		}
		if a.err != nil || a.status != http.StatusOK || json.Unmarshal(a.body, &page) != nil {
			r.note("results of %s from position %d: %v", id, position, a)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for _, result := range page.Results {
			if listed[inGroup[result.Id]]++; listed[inGroup[result.Id]] == size {
				complete++
			}
		}
		if len(page.Results) > 0 {
			r.note("%d results of %s from position %d", len(page.Results), id, position)
		}
		position = page.NextToken
	}
	return complete
}

// enginePool is a set of sound model servers that share a record of the items.
type enginePool struct {
	*rig
	events int
	pause  time.Duration

	mu    sync.Mutex
	items map[string]*itemState
	loads []loadSample
}

type itemState struct {
	running  int
	leftAt   time.Time // when it was last at a server
	finished bool
}

type loadSample struct {
	at      time.Time
	service string
	running int
}

// engineServer is one model server.
type engineServer struct {
	*enginePool
	id, service string
	server      *httptest.Server
	running     int
}

func (p *enginePool) start(id, service string, slots int) *engineServer {
	s := &engineServer{enginePool: p, id: id, service: service}
	s.server = httptest.NewServer(s)
	text, err := json.Marshal(map[string]any{
		"Backend": service, "Address": s.server.Listener.Addr().String(), "Zone": "a", "Version": "v1", "Slots": slots, "State": "ready",
		"ColdLeftMs": 0, "Seq": 0, "born": time.Now().UnixMilli(), "Models": []map[string]any{{"Name": "m0", "Version": 1}},
	})
	if err != nil {
		fail("%v", err)
	}
	p.store.PutSpec("servers/"+id, text)
	return s
}

// crash ends the server for good. Its entry goes after three liveness intervals.
func (s *engineServer) crash() {
	s.note("server %s crashes for good", s.id)
	_ = s.server.Listener.Close()
	s.server.CloseClientConnections()
	time.AfterFunc(3600*time.Millisecond, func() {
		s.store.RemoveInstance(s.id)
		s.note("the entry of server %s is removed", s.id)
	})
}

func (s *engineServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == "/hornbeamtide/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"Stage":"both","Models":[{"Name":"m0","Version":1,"Adapters":[]}],"Busy":false,"Seq":0}`))
		return
	}
	id := req.Header.Get("Request-Id")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if absent
	s.begin(id)
	finished := false
	defer func() { s.end(id, finished) }()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Stamp", "stamp-"+id)
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= s.events; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(s.pause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
	}
	finished = true
}

func (s *engineServer) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[id]
	if item == nil {
		item = &itemState{}
		s.items[id] = item
	}
	item.running++
	s.sample(1)
	s.note("server %s runs %s", s.id, id)
}

func (s *engineServer) end(id string, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[id]
	item.running--
	item.leftAt, item.finished = time.Now(), item.finished || finished
	s.sample(-1)
	if !finished {
		s.note("server %s: its run of %s is cut off", s.id, id)
	}
}

// sample records the requests at the servers of the service. The caller holds the lock.
func (s *engineServer) sample(change int) {
	last := 0
	for i := len(s.loads) - 1; i >= 0; i-- {
		if s.loads[i].service == s.service {
			last = s.loads[i].running
			break
		}
	}
	s.loads = append(s.loads, loadSample{time.Now(), s.service, last + change})
}

// waiting returns how many items, finished by no server, were at none for the given time.
func (p *enginePool) waiting(items map[string]string, d time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for id := range items {
		s := p.items[id]
		if s == nil || !s.finished && s.running == 0 && time.Since(s.leftAt) >= d {
			count++
		}
	}
	return count
}

// begun returns how many items a server has begun.
func (p *enginePool) begun() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.items)
}

// fullest returns the most requests that the servers of a service had at once since a moment.
func (p *enginePool) fullest(since time.Time, service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most, before := 0, 0
	for _, l := range p.loads {
		if l.service != service {
			continue
		}
		if l.at.Before(since) {
			before = l.running
		} else {
			most = max(most, l.running)
		}
	}
	return max(most, before)
}
