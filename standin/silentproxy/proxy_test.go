package silentproxy

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestSilentConnectionsAreReleased guards against a leak of file descriptors: the number of
// silenced connections grows with the duration of a run with many daemons, so a connection that
// both ends have closed must release its descriptors.
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
	client, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	var conns []net.Conn
	for conn := range p.openConns {
		conns = append(conns, conn)
	}
	p.mu.Unlock()
	p.Silence()
	_ = client.Close()
	_ = server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := server.Read(make([]byte, 1)); err == nil || !err.(net.Error).Timeout() {
		t.Errorf("closing one end of a silenced connection closed the other: %v", err)
	}
	_ = server.Close()
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		open := 0
		for _, conn := range conns {
			if !errors.Is(conn.SetDeadline(time.Time{}), net.ErrClosed) {
				open++
			}
		}
		p.mu.Lock()
		tracked := len(p.openConns)
		p.mu.Unlock()
		if open == 0 && tracked == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("2 s after both ends were closed, %d connections are open and the proxy tracks %d", open, tracked)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := p.failedConns; n != 0 {
		t.Errorf("got %d failed connections, want 0", n)
	}
}
