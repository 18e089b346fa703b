// Package oddserver is a fake backend server that writes bytes of a test's choice as its responses and ends
// its connections in a chosen way.
package oddserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// InvalidHeads are beginnings of heads that no response may have. net/http accepts most of them.
var InvalidHeads = map[string]string{
	"status 000": "HTTP/1.1 000 None\r\n",
	"status 099": "HTTP/1.1 099 None\r\n",
	"status +99": "HTTP/1.1 +99 None\r\n",
	"status 101": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n", // to no offer
	"status 600": "HTTP/1.1 600 None\r\n",
	"status 999": "HTTP/1.1 999 None\r\n",

	"version 0.9": "HTTP/0.9 200 OK\r\n",
	"version 2.0": "HTTP/2.0 200 OK\r\n",

	"blank in a name":              "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
	"blank at the end of a name":   "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
	"blank before the first name":  "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n",
	"blank in the name of framing": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"tab in a name":                "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\n",
	"null byte in a name":          "HTTP/1.1 200 OK\r\nX-Odd\x00: 1\r\n",
	"delete byte in a name":        "HTTP/1.1 200 OK\r\nX-\x7fOdd: 1\r\n",
	"line without a name":          "HTTP/1.1 200 OK\r\n: 1\r\n",
	"blank in a name, failure":     "HTTP/1.1 500 Failed\r\nX Odd: 1\r\n",
	"blank in a name, refusal":     "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX Odd: 1\r\n",
}

// Responder responds to a request of which the server has read only the head; the body of r is the rest. The
// connection is closed if it returns false.
type Responder func(conn *net.TCPConn, r *http.Request) (keepOpen bool)

// Respond returns a Responder that reads the request and sends head, the headers, if any, and a body with
// its length. header may be nil.
func Respond(head string, header func(r *http.Request) string, body string) Responder {
	return func(conn *net.TCPConn, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		headers := ""
		if header != nil {
			headers = header(r)
		}
		_, err := fmt.Fprintf(conn, "%s%sContent-Length: %d\r\n\r\n%s", head, headers, len(body), body)
		return err == nil
	}
}

// CutHead returns a Responder that reads the request, sends a part of a head and ends the connection with end.
func CutHead(part string, end func(conn *net.TCPConn)) Responder {
	return func(conn *net.TCPConn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, part)
		end(conn)
		return false
	}
}

// Server is the fake server.
type Server struct {
	listener net.Listener
	respond  Responder
}

// Start starts a server on a free loopback port.
func Start(respond Responder) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s, nil
}

// Close stops the server. Its connections stay open until their clients close them.
func (s *Server) Close() { _ = s.listener.Close() }

// Address returns the server's host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) serve(conn *net.TCPConn) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.respond(conn, r) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// Close closes a connection whose request was read.
func Close(conn *net.TCPConn) { _ = conn.Close() }

// Reset ends a connection with a reset.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// CloseUnread ends a connection orderly although a request is still being written to it. The system then
// resets it.
func CloseUnread(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_ = conn.Close()
}

// CloseAfterRequest ends the response and closes the connection once the request has been received.
func CloseAfterRequest(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// StopReading ends the response and leaves the connection open for the given time without reading the
// request.
func StopReading(idle time.Duration) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(idle)
	}
}
