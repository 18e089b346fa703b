package connlimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	checkInterval = 250 * time.Millisecond // of the bounds of time
	// maxHeadRead bounds one read of a head, so that the bounds apply before much has arrived.
	maxHeadRead = 16 << 10
	// callStartTimeout is how long a full first head waits for its call to start. On a busy instance with
	// one core, a goroutine starts within some 10 ms.
	callStartTimeout = time.Second
	// refusalTimeout bounds the writing of a refusal to a client that may not read it.
	refusalTimeout = 100 * time.Millisecond
	refusal        = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Run enforces the bounds of time until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			l.closeExpired(now)
		}
	}
}

// Listener returns a listener whose connections are limited.
func (l *Limiter) Listener(inner net.Listener, address Address) net.Listener {
	return &listener{Listener: inner, limiter: l, address: address}
}

type listener struct {
	net.Listener

	limiter *Limiter
	address Address
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &Conn{Conn: inner, limiter: l.limiter, address: l.address, served: make(chan struct{}), load: Load{Began: now, LastByte: now}}
		if l.limiter.add(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

// Conn is a limited connection.
type Conn struct {
	net.Conn

	limiter *Limiter
	address Address
	load    Load          // guarded by limiter.mu
	dropped bool          // guarded by limiter.mu
	served  chan struct{} // closed once load.Served is set or the connection is removed
}

// Read implements net.Conn. It returns io.EOF once the connection has exceeded the bound of a head,
// after which net/http writes no response of its own.
func (c *Conn) Read(p []byte) (int, error) {
	p = p[:min(len(p), maxHeadRead, c.awaitFirstCall())]
	n, err := c.Conn.Read(p)
	if n > 0 && !c.limiter.received(c, n, bytes.Count(p[:n], []byte{'\n'})) {
		if c.address != Peer {
			_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
			_, _ = io.WriteString(c.Conn, refusal) // the client may have closed the connection
		}
		_ = c.Conn.Close()
		return 0, io.EOF
	}
	return n, err
}

// awaitFirstCall returns how much may be read. If the head of a connection whose later messages are not
// bounded is full, it waits a moment for CallStarted: the goroutine of a call may start after the reader
// has read more of the same call's message than a head may have.
func (c *Conn) awaitFirstCall() int {
	room := c.limiter.firstHeadRoom(c)
	if room > 0 {
		return room
	}
	timer := time.NewTimer(callStartTimeout)
	defer timer.Stop()
	select {
	case <-c.served:
	case <-timer.C:
	}
	return maxHeadRead
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side, as net/http does before it closes a connection on which
// the client may still be sending.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// CallStarted implements peer.CallObserver.
func (c *Conn) CallStarted() { c.limiter.setState(c, Running) }

// CallEnded implements peer.CallObserver.
func (c *Conn) CallEnded() { c.limiter.setState(c, Waiting) }

type connKey struct{}

// Watch makes a server report to its connections, accepted from a Listener, which requests are
// complete. It must be called before the server serves.
func Watch(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.limiter.setState(c, Waiting)
		}
	}
	inner := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		switch {
		case !ok:
		default:
			c.limiter.setState(c, Running) // also if the handler does not read the body
			if r.Body != nil && r.Body != http.NoBody {
				r.Body = &body{ReadCloser: r.Body, conn: c}
			}
		}
		inner.ServeHTTP(w, r)
	})
}

// body reports while a request body is being read and not complete.
type body struct {
	io.ReadCloser

	conn         *Conn
	begun, ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.conn.limiter.setState(b.conn, Body)
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.ended {
		b.ended = true
		b.conn.limiter.setState(b.conn, Running)
	}
	return n, err
}
