package backend

import "github.com/hornbeamtide/hornbeamtide/event"

// Client implements Dialer over HTTP.
type Client struct {
	timeouts Timeouts
	log      *event.Logger
}

// NewClient returns a Client whose connections are opened on demand.
func NewClient(timeouts Timeouts, log *event.Logger) *Client {
	return &Client{timeouts: timeouts, log: log}
}
