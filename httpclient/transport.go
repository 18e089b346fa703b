// Package httpclient makes sure that what the program takes for a response is a whole and valid one.
// net/http accepts some that are not. All HTTP clients of the program send through a Transport.
package httpclient

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"
)

// Statuses of final responses. net/http also returns others: any number of three characters, and 101, which
// is valid only in response to an offer to upgrade the connection.
const (
	minStatus = 200
	maxStatus = 599
)

// Transport is an http.Transport that fails requests whose response is invalid. Its connections are those of
// Dial.
type Transport struct{ *http.Transport }

// NewClient returns a client with the settings of http.DefaultTransport and the given timeout of a call.
func NewClient(timeout time.Duration) *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DialContext = Dial(transport.DialContext)
	return &http.Client{Timeout: timeout, Transport: Transport{transport}}
}

// RoundTrip implements http.RoundTripper. After an invalid response the server may have executed the request.
// The connection is closed, since what follows on it can't be trusted either.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var c *conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c = unwrap(info.Conn); c != nil {
				c.beginRequest()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c != nil {
				c.endRequest(info.Err)
			}
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := validate(resp); err != nil {
		if c != nil {
			_ = c.Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// validate returns an error for a response that breaks the protocol.
func validate(resp *http.Response) error {
	if resp.ProtoMajor != 1 { // requests are sent with HTTP/1.1
		return fmt.Errorf("invalid response: version %s", resp.Proto)
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return fmt.Errorf("invalid response: status %03d", resp.StatusCode)
	}
	for name := range resp.Header {
		// net/http refuses all other characters that a name may not have.
		if strings.Contains(name, " ") {
			return fmt.Errorf("invalid response: header name %q", name)
		}
	}
	return nil
}
