// Package silentproxy is a TCP proxy whose open connections can go silent for good
// while new ones work, as when something between two ends has lost track of them.
package silentproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	silent   chan struct{} // closed: connections opened before carry nothing more
	faults   Faults
	open     map[net.Conn]bool
	accepted int
	closed   bool
	missed   int

	received atomic.Int64 // bytes from the target
}

// New starts a proxy to target on a free loopback port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, silent: make(chan struct{}), open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted returns how many connections were opened so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Received returns how many bytes of the target were forwarded so far.
func (p *Proxy) Received() int64 { return p.received.Load() }

// Silence makes the open connections silent for good. They are not closed, and what
// is written to them is taken and lost.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close()
	for conn := range p.open {
		_ = conn.Close()
	}
}

// acceptPause is the wait after a connection that could not be taken.
const acceptPause = 10 * time.Millisecond

// Missed returns how many connections the proxy itself could not take or open, as when its
// process may open no more files.
func (p *Proxy) Missed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.missed
}

// miss counts a connection that failed by the proxy's own limits; it returns false once the
// proxy is closed.
func (p *Proxy) miss() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.missed++
	}
	return !p.closed
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err == nil {
			go p.serve(conn)
			continue
		}
		if !p.miss() {
			return
		}
		time.Sleep(acceptPause)
	}
}

func (p *Proxy) serve(near net.Conn) {
	if p.currentFaults().Refuse {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		if errors.Is(err, syscall.EMFILE) {
			p.miss()
		}
		_ = near.Close()
		return
	}
	silent, ok := p.track(near, far)
	if !ok {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { forward(&gate{proxy: p, up: true, to: far, silent: silent, count: new(atomic.Int64)}, near) })
	group.Go(func() { forward(&gate{proxy: p, to: near, silent: silent, count: &p.received}, far) })
	group.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, near)
	delete(p.open, far)
}

func (p *Proxy) track(conns ...net.Conn) (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted++
	for _, conn := range conns {
		if p.closed {
			_ = conn.Close()
		}
		p.open[conn] = true
	}
	return p.silent, !p.closed
}

// forward copies until an end closes. Once silent is closed it reads on and drops
// what it reads, and the close of one end no longer reaches the other.
func forward(g *gate, from net.Conn) {
	_, _ = io.Copy(g, from)
	_ = from.Close()
	select {
	case <-g.silent:
	default:
		_ = g.to.Close()
	}
}

// gate writes to a connection until silent is closed.
type gate struct {
	proxy  *Proxy
	up     bool // towards the target
	to     net.Conn
	silent <-chan struct{}
	count  *atomic.Int64 // bytes written
}

// Write implements io.Writer.
func (g *gate) Write(b []byte) (int, error) {
	select {
	case <-g.silent:
		return len(b), nil
	default:
	}
	f := g.proxy.currentFaults()
	if f.DropUp && g.up || f.DropDown && !g.up {
		return len(b), nil
	}
	time.Sleep(f.Delay)
	g.count.Add(int64(len(b)))
	return g.to.Write(b)
}
