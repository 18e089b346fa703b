package dispatch

import (
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of header without the fields of one connection.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// newID returns a random request id.
func newID() string {
	var raw [8]byte
	value := rand.Uint64()
	for i := range raw {
		raw[i] = byte(value >> (8 * i))
	}
	return hex.EncodeToString(raw[:])
}

// attemptID returns an id that no other attempt has: two requests of one caller may
// carry the same request id.
func attemptID(requestID, unique string, attempt int) string {
	return requestID + "-" + unique + "-" + strconv.Itoa(attempt)
}
