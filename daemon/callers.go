package daemon

import (
	"io"
	"net"
	"net/http"
	"time"
)

// progressListener gives its connections a deadline for each write, so that a caller
// whose connection went silent does not hold its request for good.
type progressListener struct {
	net.Listener
	limit time.Duration
}

// Accept implements net.Listener.
func (l progressListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &progressConn{Conn: conn, limit: l.limit}, nil
}

// progressConn is closed for writing when the other end takes nothing for limit.
type progressConn struct {
	net.Conn
	limit time.Duration
}

// Write implements net.Conn.
func (c *progressConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// withBodyProgress gives each read of a request's body a deadline.
func (d *Daemon) withBodyProgress(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &progressBody{r.Body, http.NewResponseController(w), d.settings.Daemon.CallerProgress}
		}
		next.ServeHTTP(w, r)
	})
}

// progressBody is a request's body whose reads fail when nothing arrives for limit.
type progressBody struct {
	io.ReadCloser
	control *http.ResponseController
	limit   time.Duration
}

// Read implements io.Reader. The HTTP server clears the deadline at the end of the
// body, so that the connection may be silent while the request is worked on.
func (b *progressBody) Read(p []byte) (int, error) {
	if err := b.control.SetReadDeadline(time.Now().Add(b.limit)); err != nil {
		return 0, err
	}
	return b.ReadCloser.Read(p)
}
