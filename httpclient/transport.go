// Package httpclient makes sure that what the program takes for a response is a whole and valid one.
// net/http accepts some that are not. All HTTP clients of the program send through a Transport.
package httpclient

import (
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.Transport for connections of Dial.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
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
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
