package silentproxy

import (
	"net"
	"time"
)

// Faults is the set of faults that a proxy applies to its connections.
type Faults struct {
	Delay          time.Duration // before each chunk of data is forwarded
	DropToTarget   bool          // data sent to the target is discarded
	DropFromTarget bool          // data sent by the target is discarded
	Refuse         bool          // new connections are reset
}

// SetFaults replaces the faults in effect, also for open connections.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Proxy) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Reset resets the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.openConns {
		resetConn(conn)
		delete(p.openConns, conn)
	}
}

// resetConn closes a connection with a TCP reset, so that the peer sees an error instead of an
// end of file.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
