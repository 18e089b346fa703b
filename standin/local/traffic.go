package local

import (
	"net"
	"sync/atomic"
)

// Traffic is the number of bytes that the fake platform and the fake engines sent and received.
type Traffic struct {
	Platform int64
	Engines  int64
}

// Traffic returns the number of bytes so far.
func (s *System) Traffic() Traffic {
	return Traffic{Platform: s.platformTraffic.Load(), Engines: s.engineTraffic.Load()}
}

// PlatformAddress returns the platform's host:port, for daemons in other processes.
func (s *System) PlatformAddress() string { return s.platformAddress }

// WeightAddress returns the weight store's host:port.
func (s *System) WeightAddress() string { return s.weightAddress }

// countingListener adds the bytes that its connections read and write to traffic, unless that is
// nil.
type countingListener struct {
	net.Listener
	traffic *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.traffic == nil {
		return conn, err
	}
	return countingConn{conn, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Add(int64(n))
	return n, err
}
