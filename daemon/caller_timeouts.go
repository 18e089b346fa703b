package daemon

import (
	"io"
	"net"
	"net/http"
	"time"
)

// writeTimeoutListener sets a deadline for each write on its connections, so that a
// caller that stops reading does not block its request forever.
type writeTimeoutListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeTimeoutConn{Conn: conn, timeout: l.timeout}, nil
}

// writeTimeoutConn fails a write that takes longer than timeout.
type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn.
func (c *writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// withBodyReadTimeout sets a deadline for each read of a request body.
func (d *Daemon) withBodyReadTimeout(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &readTimeoutBody{r.Body, http.NewResponseController(w), d.settings.Daemon.CallerProgress}
		}
		next.ServeHTTP(w, r)
	})
}

// readTimeoutBody is a request body whose reads fail if no data arrives within timeout.
type readTimeoutBody struct {
	io.ReadCloser
	control *http.ResponseController
	timeout time.Duration
}

// Read implements io.Reader. The HTTP server clears the deadline at the end of the
// body, so the deadline does not apply while the request is processed.
func (b *readTimeoutBody) Read(p []byte) (int, error) {
	if err := b.control.SetReadDeadline(time.Now().Add(b.timeout)); err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p)
}
