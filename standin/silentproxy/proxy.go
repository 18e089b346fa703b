// Package silentproxy is a TCP proxy for tests. It can permanently stop forwarding on its open
// connections while new ones work, as when a device between the two ends has lost their state.
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

	mu          sync.Mutex
	silenced    chan struct{} // closed by Silence for the connections open then; replaced for later ones
	faults      Faults
	openConns   map[net.Conn]bool // both connections of each forwarded pair
	accepted    int
	closed      bool
	failedConns int

	bytesReceived atomic.Int64 // bytes from the target
}

// New starts a proxy to target on a free loopback port.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, silenced: make(chan struct{}), openConns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the host:port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// AcceptedConns returns how many connections the proxy has forwarded to the target so far.
func (p *Proxy) AcceptedConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// BytesReceived returns how many bytes from the target the proxy has forwarded so far.
func (p *Proxy) BytesReceived() int64 { return p.bytesReceived.Load() }

// Silence permanently stops forwarding on the open connections. They stay open, and what is
// written to them is read and discarded.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silenced)
	p.silenced = make(chan struct{})
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close()
	for conn := range p.openConns {
		_ = conn.Close()
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// FailedConns returns how many connections the proxy itself could not accept or open, for example
// because its process has no file descriptors left.
func (p *Proxy) FailedConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedConns
}

// recordFailure counts a connection that failed because of a limit of the proxy's process. It
// returns false once the proxy is closed.
func (p *Proxy) recordFailure() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.failedConns++
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
		if !p.recordFailure() {
			return
		}
		time.Sleep(acceptRetryDelay)
	}
}

func (p *Proxy) serve(clientConn net.Conn) {
	if p.currentFaults().Refuse {
		resetConn(clientConn)
		return
	}
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		if errors.Is(err, syscall.EMFILE) {
			p.recordFailure()
		}
		_ = clientConn.Close()
		return
	}
	silenced, ok := p.trackConns(clientConn, targetConn)
	if !ok {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		forward(&faultWriter{proxy: p, toTarget: true, conn: targetConn, silenced: silenced, bytesWritten: new(atomic.Int64)}, clientConn)
	})
	wg.Go(func() {
		forward(&faultWriter{proxy: p, conn: clientConn, silenced: silenced, bytesWritten: &p.bytesReceived}, targetConn)
	})
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.openConns, clientConn)
	delete(p.openConns, targetConn)
}

// trackConns adds the two connections of a pair to openConns. It returns the channel that
// silences them, and false if the proxy is closed.
func (p *Proxy) trackConns(conns ...net.Conn) (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted++
	for _, conn := range conns {
		if p.closed {
			_ = conn.Close()
		}
		p.openConns[conn] = true
	}
	return p.silenced, !p.closed
}

// forward copies from one connection to w until either connection closes, then closes both.
// Once w.silenced is closed, it discards the data, and the close of one connection no longer
// closes the other.
func forward(w *faultWriter, from net.Conn) {
	_, _ = io.Copy(w, from)
	_ = from.Close()
	select {
	case <-w.silenced:
	default:
		_ = w.conn.Close()
	}
}

// faultWriter writes to a connection with the proxy's faults. Once silenced is closed it
// discards all data.
type faultWriter struct {
	proxy        *Proxy
	toTarget     bool // whether conn leads to the target
	conn         net.Conn
	silenced     <-chan struct{}
	bytesWritten *atomic.Int64
}

// Write implements io.Writer.
func (w *faultWriter) Write(b []byte) (int, error) {
	select {
	case <-w.silenced:
		return len(b), nil
	default:
	}
	f := w.proxy.currentFaults()
	if f.DropToTarget && w.toTarget || f.DropFromTarget && !w.toTarget {
		return len(b), nil
	}
	time.Sleep(f.Delay)
	w.bytesWritten.Add(int64(len(b)))
	return w.conn.Write(b)
}
