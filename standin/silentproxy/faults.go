package silentproxy

import (
	"net"
	"time"
)

// Faults are what a proxy does to its connections until they are replaced.
type Faults struct {
	Delay    time.Duration // of each piece that is forwarded
	DropUp   bool          // what is sent to the target is lost
	DropDown bool          // what the target sends is lost
	Refuse   bool          // new connections are reset
}

// SetFaults replaces the faults in effect, for open connections too.
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

// Reset breaks the open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		reset(conn)
		delete(p.open, conn)
	}
}

// reset closes a connection so that its other end sees an error, not an end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
