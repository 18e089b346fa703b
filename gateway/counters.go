package gateway

import "sync/atomic"

// Counters counts requests since the daemon started.
type Counters struct {
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"` // with a replica's response
	Failed   int64 `json:"failed"`   // with an error of this daemon
	Canceled int64 `json:"canceled"` // by the caller
}

type counters struct {
	requests, answered, failed, canceled atomic.Int64
}

// Counters returns the current counts.
func (g *Gateway) Counters() Counters {
	return Counters{Requests: g.counts.requests.Load(), Answered: g.counts.answered.Load(), Failed: g.counts.failed.Load(), Canceled: g.counts.canceled.Load()}
}
