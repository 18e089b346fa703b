package httpclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// maxUploadStall limits how long the end of a response waits for its request to be written while no write
// ends. A server that has responded may still read the request, so as not to reset the connection.
const maxUploadStall = time.Second

// errRequestNotTaken is the error of a read at the end of a connection whose server did not take the whole
// request. It wraps io.ErrUnexpectedEOF.
var errRequestNotTaken = fmt.Errorf("the connection ended before the request was written: %w", io.ErrUnexpectedEOF)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections are of type *conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection whose end is the end of a response only if the request was written. The system
// reports a reset to the first call after it only. If that is a write, reads see an orderly end, and a
// part of a response that ends with its connection would look whole.
type conn struct {
	net.Conn

	mu          sync.Mutex
	isPending   bool          // the current request is not completely written
	isWriting   bool          // a write is in progress; the last one ends after isPending does
	isBroken    bool          // a write failed, or the connection was closed here
	hasResponse bool          // a byte was read since the current request got the connection
	changed     chan struct{} // closed at the next change if a read waits for one, else nil
}

// unwrap returns the *conn below c, nil if there is none.
func unwrap(c net.Conn) *conn {
	for {
		if found, ok := c.(*conn); ok {
			return found
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// update changes the state and wakes a waiting read.
func (c *conn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

func (c *conn) beginRequest() { c.update(func() { c.isPending, c.hasResponse = true, false }) }

func (c *conn) endRequest(err error) {
	c.update(func() { c.isPending, c.isBroken = false, c.isBroken || err != nil })
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.update(func() { c.isWriting = true })
	n, err := c.Conn.Write(p)
	c.update(func() { c.isWriting, c.isBroken = false, c.isBroken || err != nil })
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.update(func() { c.isBroken = true })
	return c.Conn.Close()
}

// Read implements net.Conn. It returns io.EOF after a part of a response only if the request was written.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.hasResponse = true
		c.mu.Unlock()
	}
	if errors.Is(err, io.EOF) && !c.isOrderlyEnd() {
		return n, errRequestNotTaken
	}
	return n, err
}

// isOrderlyEnd reports whether the end of the connection may be the end of a response. If one has begun it
// waits for the request to be written, and reports false if that fails or makes no progress. Without one,
// the end is an error for net/http anyway.
func (c *conn) isOrderlyEnd() bool {
	stall := time.NewTimer(maxUploadStall)
	defer stall.Stop()
	for {
		c.mu.Lock()
		isOrderly := !c.hasResponse || !c.isBroken
		isKnown := !c.hasResponse || c.isBroken || !c.isPending && !c.isWriting
		if !isKnown && c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		if isKnown {
			return isOrderly
		}
		select {
		case <-changed:
			stall.Reset(maxUploadStall)
		case <-stall.C:
			return false
		}
	}
}
