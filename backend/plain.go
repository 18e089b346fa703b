package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// hopByHopHeaders are valid for a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// replayHeaders mark a request as idempotent for http.Transport, which then resends it
// on its own when a connection fails.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

type plainService struct{ server *server }

// Do implements PlainService.
func (p plainService) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	c, err := p.server.send(ctx, p.outgoingRequest(r))
	if err != nil {
		return nil, err
	}
	if err := c.headerError(r.Header.Get(HeaderRequestID)); err != nil {
		return nil, err
	}
	removeHopByHopHeaders(c.response.Header)
	c.response.Body = &responseBody{call: c, body: c.response.Body, ctx: ctx}
	return c.response, nil
}

// outgoingRequest returns a copy of r addressed to the server, without hop-by-hop headers.
// The transport can't send it more than once.
func (p plainService) outgoingRequest(r *http.Request) *http.Request {
	out := r.Clone(r.Context())
	out.URL.Scheme = "http"
	out.URL.Host = p.server.address
	out.Host = p.server.address
	out.RequestURI = ""
	out.Close = false
	removeHopByHopHeaders(out.Header)
	for _, name := range replayHeaders {
		out.Header.Del(name)
	}
	preventReplay(out)
	return out
}

// preventReplay modifies r so that http.Transport can't resend it: the transport resends a
// request that has no body or has GetBody set when a reused connection turns out to be closed.
func preventReplay(r *http.Request) {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	r.Body = opaqueBody{r.Body}
	r.GetBody = nil
}

// opaqueBody hides the concrete type of a body, since the transport treats http.NoBody
// like no body.
type opaqueBody struct{ io.ReadCloser }

func removeHopByHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// responseBody applies the progress timeout to each read of a response body and converts
// read errors to typed ones.
type responseBody struct {
	call *call
	body io.ReadCloser
	ctx  context.Context
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	timer := b.call.startProgressTimer(b.ctx)
	n, err := b.body.Read(p)
	timer.stop()
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, b.call.readError(err)
}

// Close implements io.Closer. It closes the connection unless the body was read to its end.
func (b *responseBody) Close() error {
	err := b.body.Close()
	b.call.cancel(context.Canceled)
	return err
}

// readError returns the error for err from reading the response.
func (c *call) readError(err error) error {
	if cause := context.Cause(c.ctx); cause != nil {
		return c.roundTripError(err, fault.Unknown)
	}
	return fault.Wrap(err, fault.Truncated, "response of backend server "+c.server.address+" is truncated",
		"check whether the server is running; idempotent requests are retried elsewhere", fault.WithOutcome(fault.Unknown))
}
