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

// hopHeaders concern one connection only and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// replayHeaders make http.Transport resend a request on its own.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

type plain struct{ server *server }

// Do implements Plain.
func (p plain) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	c, err := p.server.send(ctx, p.outgoing(r))
	if err != nil {
		return nil, err
	}
	if err := c.refusal(r.Header.Get(HeaderRequestID)); err != nil {
		return nil, err
	}
	removeHopHeaders(c.response.Header)
	c.response.Body = &plainBody{call: c, body: c.response.Body, ctx: ctx}
	return c.response, nil
}

// outgoing copies r for the server such that the transport sends it at most once.
func (p plain) outgoing(r *http.Request) *http.Request {
	out := r.Clone(r.Context())
	out.URL.Scheme = "http"
	out.URL.Host = p.server.address
	out.Host = p.server.address
	out.RequestURI = ""
	out.Close = false
	removeHopHeaders(out.Header)
	for _, name := range replayHeaders {
		out.Header.Del(name)
	}
	sendOnce(out)
	return out
}

// sendOnce takes from the transport every means to replay r: a request without a body
// or with GetBody would be resent when a reused connection turns out to be closed.
func sendOnce(r *http.Request) {
	if r.Body == nil {
		r.Body = http.NoBody
	}
	r.Body = onceBody{r.Body}
	r.GetBody = nil
}

// onceBody hides the type of a body, http.NoBody above all.
type onceBody struct{ io.ReadCloser }

func removeHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// plainBody bounds the silence while a response body is read and types its errors.
type plainBody struct {
	call *call
	body io.ReadCloser
	ctx  context.Context
}

// Read implements io.Reader.
func (b *plainBody) Read(p []byte) (int, error) {
	g := b.call.guard(b.ctx)
	n, err := b.body.Read(p)
	g.stop()
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, b.call.readFailure(err)
}

// Close implements io.Closer. A body that was not read to its end closes the connection.
func (b *plainBody) Close() error {
	err := b.body.Close()
	b.call.cancel(context.Canceled)
	return err
}

// readFailure types an error while the response was read.
func (c *call) readFailure(err error) error {
	if cause := context.Cause(c.ctx); cause != nil {
		return c.failure(err, fault.Unknown)
	}
	return fault.Wrap(err, fault.Truncated, "the answer of backend server "+c.server.address+" is not whole",
		"look whether the server runs; idempotent requests are retried elsewhere", fault.WithOutcome(fault.Unknown))
}
