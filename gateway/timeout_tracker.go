package gateway

import "sync"

// timeoutTracker decides whether a timeout counts against the replica.
// Load pattern: a route whose timeout is shorter than its requests take. They time out on
// every replica. If each timeout counted against its replica, replicas without a fault
// would be avoided, and work that waits for healthy replicas, such as scoring, would stall. An
// unresponsive replica can be distinguished: the route's other requests get responses.
type timeoutTracker struct {
	mu       sync.Mutex
	timedOut map[string]map[string]bool // by route: replicas on which requests timed out since the route's last response
}

func newTimeoutTracker() *timeoutTracker {
	return &timeoutTracker{timedOut: map[string]map[string]bool{}}
}

// recordResponse records that a request of the route got a response.
func (t *timeoutTracker) recordResponse(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.timedOut, route)
}

// recordTimeout records that a request of the route timed out on a replica and reports
// whether this counts against the replica. It does not if requests of the route have
// timed out on other replicas since its last response.
func (t *timeoutTracker) recordTimeout(route, replica string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timedOut[route] == nil {
		t.timedOut[route] = map[string]bool{}
	}
	t.timedOut[route][replica] = true
	return len(t.timedOut[route]) == 1
}
