package gateway

import "sync"

// blame decides whether a request that ran out of its time speaks against its replica.
// Load pattern: a route whose time is shorter than its requests take. They run out of time
// wherever they are sent; if each counted against its replica, replicas that work well
// would be avoided, and work that waits for trusted ones, as scoring does, would stand
// still. A replica that is silent stands out: the route's other requests are answered.
type blame struct {
	mu   sync.Mutex
	late map[string]map[string]bool // by route: replicas at which requests ran out of time since the last answer
}

func newBlame() *blame { return &blame{late: map[string]map[string]bool{}} }

// answered notes that a request of the route was answered.
func (b *blame) answered(route string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.late, route)
}

// outOfTime notes that a request of the route ran out of time at a replica, and reports
// whether that speaks against the replica: not if others did so elsewhere since the route's
// last answer.
func (b *blame) outOfTime(route, replica string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.late[route] == nil {
		b.late[route] = map[string]bool{}
	}
	b.late[route][replica] = true
	return len(b.late[route]) == 1
}
