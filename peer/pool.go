package peer

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	idleConnections = 4                // maximum for each address
	idleTimeout     = 30 * time.Second // after which an idle connection is closed
)

// Pool is the connection pool of a daemon. It implements ConnProvider.
type Pool struct {
	config Config
	log    *event.Logger
	counts counters
	idle   *drpcpool.Pool[string, *conn]

	mu     sync.Mutex
	open   map[string][]*conn // by address; closed ones are removed at the next dial
	closed bool
}

// NewPool returns an empty pool.
func NewPool(config Config, log *event.Logger) *Pool {
	return &Pool{
		config: config.withDefaults(),
		log:    log,
		idle: drpcpool.New[string, *conn](drpcpool.Options{
			Expiration:  idleTimeout,
			KeyCapacity: idleConnections,
		}),
		open: map[string][]*conn{},
	}
}

// Conn implements ConnProvider. It does not connect; calls do.
func (p *Pool) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	return p.idle.Get(ctx, address, p.dial), nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.config.ConnectTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.counts.failures.Add(1)
		return nil, fault.Wrap(err, fault.Unavailable, "cannot connect to "+address, unavailableRemedy,
			fault.WithOutcome(fault.NotRun))
	}
	p.counts.connections.Add(1)
	t := newTransport(netConn, p.config.ProgressTimeout, &p.counts)
	c := &conn{Conn: drpcconn.New(t), transport: t, address: address, pool: p, stalled: make(chan struct{})}
	if !p.track(c) {
		_ = c.Close()
		return nil, fault.New(fault.Draining, "the connection pool is closed", "", fault.WithOutcome(fault.NotRun))
	}
	return c, nil
}

// track adds c to the open connections. It returns false if the pool is closed.
func (p *Pool) track(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[c.address] = append(openConns(p.open[c.address]), c)
	return true
}

func openConns(conns []*conn) []*conn {
	var open []*conn
	for _, c := range conns {
		if !isClosed(c.Closed()) {
			open = append(open, c)
		}
	}
	return open
}

// handleStall counts and logs a stall and closes the idle connections to address.
func (p *Pool) handleStall(address string) {
	p.counts.stalls.Add(1)
	p.log.Log(event.PeerUnresponsive, event.F("address", address))
	p.mu.Lock()
	conns := p.open[address]
	p.mu.Unlock()
	for _, c := range conns {
		c.closeStalled(true)
	}
}

// Close closes all connections. Calls in progress fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	open := p.open
	p.open = map[string][]*conn{}
	p.mu.Unlock()
	for _, conns := range open {
		for _, c := range conns {
			_ = c.transport.Close()
		}
	}
	_ = p.idle.Close()
}

// Counters returns the current counters.
func (p *Pool) Counters() Counters { return p.counts.read() }

// Dump is the state of a Pool.
type Dump struct {
	Counters  Counters      `json:"counters"`
	Addresses []AddressDump `json:"addresses"`
}

// AddressDump is the state of the connections to one peer.
type AddressDump struct {
	Address string `json:"address"`
	Open    int    `json:"open"`
	InUse   int    `json:"in_use"`
}

// Dump returns the pool's state, ordered by address.
func (p *Pool) Dump() Dump {
	p.mu.Lock()
	defer p.mu.Unlock()
	dump := Dump{Counters: p.Counters(), Addresses: []AddressDump{}}
	for address, conns := range p.open {
		entry := AddressDump{Address: address}
		for _, c := range openConns(conns) {
			entry.Open++
			if c.callsInProgress() > 0 {
				entry.InUse++
			}
		}
		if entry.Open > 0 {
			dump.Addresses = append(dump.Addresses, entry)
		}
	}
	sort.Slice(dump.Addresses, func(i, j int) bool { return dump.Addresses[i].Address < dump.Addresses[j].Address })
	return dump
}
