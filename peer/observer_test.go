package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// observedListener counts the calls that its connections are told of.
type observedListener struct {
	net.Listener

	started, ended atomic.Int64
}

func (l *observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &observedConn{Conn: conn, listener: l}, nil
}

type observedConn struct {
	net.Conn

	listener *observedListener
}

func (c *observedConn) CallStarted() { c.listener.started.Add(1) }
func (c *observedConn) CallEnded()   { c.listener.ended.Add(1) }

// A connection that is not told of its calls is taken for one that never sent a complete frame, and
// is closed.
func TestConnectionsAreToldOfCalls(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &observedListener{Listener: inner}
	server := NewServer(nil)
	if err := server.Mux().Register(&echoService{}, &echoService{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx, listener) }()
	pool := NewPool(Config{}, nil)
	defer func() { pool.Close(); cancel(); <-done }()
	out := &message{}
	for range 2 {
		conn, err := pool.Conn(ctx, inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := conn.Invoke(ctx, "/echo/Call", messageEncoding{}, &message{value: "x"}, out); err != nil {
			t.Fatal(err)
		}
	}
	for end := time.Now().Add(testTimeout); listener.ended.Load() < 2 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if listener.started.Load() != 2 || listener.ended.Load() != 2 {
		t.Errorf("%d calls started, %d ended", listener.started.Load(), listener.ended.Load())
	}
}
