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
	idleConnections = 4                // kept for one address
	idleTime        = 30 * time.Second // after which a kept connection is closed
)

// Pool is the Conns of a daemon.
type Pool struct {
	config Config
	log    *event.Logger
	counts counters
	kept   *drpcpool.Pool[string, *conn]

	mu     sync.Mutex
	open   map[string][]*conn // by address; closed ones are removed at the next dial
	closed bool
}

// NewPool returns an empty pool.
func NewPool(config Config, log *event.Logger) *Pool {
	return &Pool{
		config: config.withDefaults(),
		log:    log,
		kept: drpcpool.New[string, *conn](drpcpool.Options{
			Expiration:  idleTime,
			KeyCapacity: idleConnections,
		}),
		open: map[string][]*conn{},
	}
}

// Conn implements Conns. It does not connect; calls do.
func (p *Pool) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	return p.kept.Get(ctx, address, p.dial), nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.config.Connect}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.counts.failures.Add(1)
		return nil, fault.Wrap(err, fault.Unavailable, "no connection to "+address, remedyPeer,
			fault.WithOutcome(fault.NotRun))
	}
	p.counts.connections.Add(1)
	t := newTransport(raw, p.config.Progress, &p.counts)
	c := &conn{Conn: drpcconn.New(t), transport: t, address: address, pool: p}
	if !p.track(c) {
		_ = c.Close()
		return nil, fault.New(fault.Draining, "peer connections are closed", "", fault.WithOutcome(fault.NotRun))
	}
	return c, nil
}

// track remembers c until it is closed. It reports whether the pool is still open.
func (p *Pool) track(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[c.address] = append(stillOpen(p.open[c.address]), c)
	return true
}

func stillOpen(conns []*conn) []*conn {
	var open []*conn
	for _, c := range conns {
		select {
		case <-c.Closed():
		default:
			open = append(open, c)
		}
	}
	return open
}

// stalled closes the idle connections to address.
func (p *Pool) stalled(address string) {
	p.counts.stalls.Add(1)
	p.log.Log(event.PeerSilent, event.F("address", address))
	p.mu.Lock()
	conns := p.open[address]
	p.mu.Unlock()
	for _, c := range conns {
		if c.inUse.Load() == 0 {
			_ = c.transport.Close()
		}
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
	_ = p.kept.Close()
}

// Counters returns the counts so far.
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
		for _, c := range stillOpen(conns) {
			entry.Open++
			if c.inUse.Load() > 0 {
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
