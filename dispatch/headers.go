package dispatch

import (
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of header without hop-by-hop fields and Content-Length.
func endToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// newRequestID returns a random request ID.
func newRequestID() string {
	var raw [8]byte
	value := rand.Uint64()
	for i := range raw {
		raw[i] = byte(value >> (8 * i))
	}
	return hex.EncodeToString(raw[:])
}

// attemptID returns an ID that is unique to the attempt. The nonce is needed because two
// requests of one caller may carry the same request ID.
func attemptID(requestID, nonce string, attempt int) string {
	return requestID + "-" + nonce + "-" + strconv.Itoa(attempt)
}
