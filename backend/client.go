package backend

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/httpclient"
)

const (
	// maxIdleConnsPerServer is the maximum number of idle connections to one server.
	maxIdleConnsPerServer = 256
	// maxResponseHeadBytes limits the head of a response: a faulty server may send bytes without end.
	maxResponseHeadBytes = 64 << 10
)

// Client implements Dialer over HTTP/1.1. Each server has its own transport, so that a
// stalled server affects no connections to other servers.
type Client struct {
	timeouts Timeouts
	log      *event.Logger
	counters counters

	mu      sync.Mutex
	servers map[string]*server
}

// NewClient returns a Client that opens connections on demand.
func NewClient(timeouts Timeouts, log *event.Logger) *Client {
	return &Client{timeouts: timeouts, log: log, servers: map[string]*server{}}
}

// Engine implements Dialer.
func (c *Client) Engine(address string) Engine { return engine{c.server(address)} }

// Plain implements Dialer.
func (c *Client) Plain(address string) PlainService { return plainService{c.server(address)} }

// Close closes the idle connections to all servers.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		s.transport.CloseIdleConnections()
	}
}

func (c *Client) server(address string) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.servers[address]
	if !ok {
		s = newServer(address, c.timeouts, c.log, &c.counters)
		c.servers[address] = s
	}
	return s
}

// server holds the connections to one backend server.
type server struct {
	address   string
	timeouts  Timeouts
	log       *event.Logger
	transport httpclient.Transport
	counters  *counters

	openConns       atomic.Int64
	callsInProgress atomic.Int64
}

func newServer(address string, timeouts Timeouts, log *event.Logger, counters *counters) *server {
	s := &server{address: address, timeouts: timeouts, log: log, counters: counters}
	s.transport = httpclient.Transport{Transport: &http.Transport{
		DialContext:            s.dial,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
		DisableCompression:     true,
	}}
	return s
}
