package local

import (
	"net"
	"sync/atomic"
)

// Traffic are the bytes sent and received by stand-in servers.
type Traffic struct {
	Platform int64
	Engines  int64
}

// Traffic returns the bytes so far.
func (s *System) Traffic() Traffic {
	return Traffic{Platform: s.platformTraffic.Load(), Engines: s.engineTraffic.Load()}
}

// PlatformAddress returns the platform's address, for daemons in other processes.
func (s *System) PlatformAddress() string { return s.platformAddress }

// WeightAddress returns the weight store's address.
func (s *System) WeightAddress() string { return s.weightAddress }

// meteredListener adds the bytes of its connections to traffic, unless that is nil.
type meteredListener struct {
	net.Listener
	traffic *atomic.Int64
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.traffic == nil {
		return conn, err
	}
	return meteredConn{conn, l.traffic}, nil
}

type meteredConn struct {
	net.Conn
	traffic *atomic.Int64
}

// Read implements net.Conn.
func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Add(int64(n))
	return n, err
}
