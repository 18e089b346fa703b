// Package duty makes the calls to the platform's API that one daemon at a time makes for the whole
// fleet: the reports of how many requests each organisation sent in each window of time, and the orders
// for replicas.
package duty

import "context"

// UsageReport is one call of the platform's API.
type UsageReport struct {
	Window int64
	Body   []byte // as Client.EncodeUsage returned it before the first call; sent unchanged
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
	// EncodeUsage returns the body of a window's report with the requests of each organisation. It is
	// encoded once, stored and sent byte for byte.
	EncodeUsage(window int64, counts map[string]int64) ([]byte, error)
	ReportUsage(ctx context.Context, report UsageReport) (Reply, error)
}
