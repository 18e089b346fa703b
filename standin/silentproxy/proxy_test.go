package silentproxy

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestSilentConnectionsAreReleased: a run of many daemons has as many silent connections as
// it lives long; each that both ends have closed must free its files.
func TestSilentConnectionsAreReleased(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	p, err := New(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	near, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := near.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	var ends []net.Conn
	for conn := range p.open {
		ends = append(ends, conn)
	}
	p.mu.Unlock()
	p.Silence()
	_ = near.Close()
	_ = far.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := far.Read(make([]byte, 1)); err == nil || !err.(net.Error).Timeout() {
		t.Errorf("the close of one end of a silent connection reached the other: %v", err)
	}
	_ = far.Close()
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		open := 0
		for _, conn := range ends {
			if !errors.Is(conn.SetDeadline(time.Time{}), net.ErrClosed) {
				open++
			}
		}
		p.mu.Lock()
		held := len(p.open)
		p.mu.Unlock()
		if open == 0 && held == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("2 s after both ends were closed, %d are open and the proxy holds %d", open, held)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.missed; n != 0 {
		t.Errorf("%d connections missed", n)
	}
}
