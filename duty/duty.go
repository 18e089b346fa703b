// Package duty makes the calls to the platform's API that one daemon at a time makes for the whole
// fleet: the reports of how many requests each organisation sent in each window of time, and the orders
// for replicas.
package duty

import (
	"context"
	"encoding/json"
)

// UsageReport is one call of the platform's API.
type UsageReport struct {
	Window int64
	Body   []byte // as EncodeUsage returned it before the first call; sent unchanged
	Holder string // daemon that holds the duty
	Token  int64  // fencing token
}

// Reply is the platform's response to a report.
type Reply string

// Values of Reply.
const (
	Accepted  Reply = "accepted"
	Fenced    Reply = "fenced"    // a call with a higher token has arrived
	Throttled Reply = "throttled" // the rate of all daemons' calls is too high; the call had no effect
)

// Client calls the platform's API. After an error, the report may have been accepted or may still be.
type Client interface {
	ReportUsage(ctx context.Context, report UsageReport) (Reply, error)
}

// usageBody is the body of a report.
type usageBody struct {
	WindowID int64            `json:"WindowId"`
	Counts   map[string]int64 `json:"Counts"` // by organisation
}

// EncodeUsage returns the body of a report.
func EncodeUsage(window int64, counts map[string]int64) ([]byte, error) {
	if counts == nil {
		counts = map[string]int64{} // an object, not null
	}
	return json.Marshal(usageBody{WindowID: window, Counts: counts})
}
