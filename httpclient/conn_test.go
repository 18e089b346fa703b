package httpclient

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// endedConn is a connection whose reads return a byte, or the end if the byte was read. Its writes return
// what is sent to writes.
type endedConn struct {
	net.Conn

	wasRead bool
	writes  chan error
}

// Read implements net.Conn.
func (c *endedConn) Read(p []byte) (int, error) {
	if c.wasRead {
		return 0, io.EOF
	}
	c.wasRead = true
	p[0] = 'x'
	return 1, nil
}

// Write implements net.Conn.
func (c *endedConn) Write(p []byte) (int, error) {
	if err := <-c.writes; err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *endedConn) Close() error { return nil }

// Load pattern: a server responds and ends the connection while its request is being written. The end must
// not be reported before it is known whether the rest of the request was taken.
func TestEndOfAConnectionWaitsForTheRequest(t *testing.T) {
	errReset := errors.New("connection reset")
	for name, row := range map[string]struct {
		isIdle bool                               // no byte of a response was read
		end    func(c *conn, writes chan<- error) // happens while the read waits
		want   error
	}{
		"request written":              {end: func(c *conn, writes chan<- error) { writes <- nil; c.endRequest(nil) }, want: io.EOF},
		"last write after the request": {end: func(c *conn, writes chan<- error) { c.endRequest(nil); writes <- nil }, want: io.EOF},
		"write failed":                 {end: func(_ *conn, writes chan<- error) { writes <- errReset }, want: errRequestNotTaken},
		"last write failed":            {end: func(c *conn, writes chan<- error) { c.endRequest(nil); writes <- errReset }, want: errRequestNotTaken},
		"request given up":             {end: func(c *conn, _ chan<- error) { c.endRequest(errReset) }, want: errRequestNotTaken},
		"closed here":                  {end: func(c *conn, _ chan<- error) { _ = c.Close() }, want: errRequestNotTaken},
		"slow request": {end: func(c *conn, writes chan<- error) {
			for range 3 { // longer than the stall in all
				time.Sleep(maxUploadStall / 2)
				writes <- nil
				go c.Write([]byte("more of it"))
			}
			writes <- nil
			c.endRequest(nil)
		}, want: io.EOF},
		"nothing happens": {end: func(*conn, chan<- error) {}, want: errRequestNotTaken},
		"no response":     {isIdle: true, end: func(*conn, chan<- error) {}, want: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			writes := make(chan error)
			defer close(writes)
			c := &conn{Conn: &endedConn{wasRead: row.isIdle, writes: writes}}
			c.beginRequest()
			go c.Write([]byte("request"))
			for isWriting := false; !isWriting; time.Sleep(time.Millisecond) {
				c.mu.Lock()
				isWriting = c.isWriting
				c.mu.Unlock()
			}
			buffer := make([]byte, 1)
			if !row.isIdle {
				if _, err := c.Read(buffer); err != nil {
					t.Fatal(err)
				}
			}
			read := make(chan error, 1)
			go func() { _, err := c.Read(buffer); read <- err }()
			if !row.isIdle {
				select {
				case err := <-read:
					t.Fatalf("the read did not wait: %v", err)
				case <-time.After(20 * time.Millisecond):
				}
			}
			row.end(c, writes)
			select {
			case err := <-read:
				if !errors.Is(err, row.want) {
					t.Errorf("error %v, want %v", err, row.want)
				}
			case <-time.After(10 * maxUploadStall):
				t.Error("the read did not end")
			}
		})
	}
}
