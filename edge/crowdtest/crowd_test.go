package crowdtest

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	requestHead = "POST /records/1 HTTP/1.1\r\nHost: " + host + "\r\n"
	chunkedHead = requestHead + "Transfer-Encoding: chunked\r\n\r\n"
	readyHead   = "GET /hornbeamtide/ready HTTP/1.1\r\nHost: " + host + "\r\n"
	metricHead  = "GET /metrics HTTP/1.1\r\nHost: " + host + "\r\n"
	holdTime    = 1500 * time.Millisecond
)

var kilobyte = strings.Repeat("x", 1<<10)

// constant returns a function that returns text whatever its argument.
func constant(text string) func(int) string { return func(int) string { return text } }

// shortLine returns a header line with a name of its own. Parsed, it takes many times its length.
func shortLine(n int) string { return fmt.Sprintf("%x:\r\n", n) }

// chunk returns a chunk of a chunked body.
func chunk(int) string { return "400\r\n" + kilobyte + "\r\n" }

// Heads that are over the configuration's MaxHeaderBytes and do not end were kept for the time of a
// head, 60 KB for each connection.
func TestUnfinishedHeadsOverTheLimitOnFront(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.front, clients: 450, head: requestHead + "X-Fill: ", next: constant(kilobyte), maxBytes: 60 << 10, hold: holdTime}.run()
	d.check()
}

// Heads that are never complete grow until the server's bound.
func TestEndlessHeadsOnFront(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.front, clients: 450, head: requestHead + "X-Fill: ", next: constant(kilobyte), maxBytes: 2 << 20}.run()
	d.check()
}

// The ready address had the library's bound of 1 MB for each head.
func TestEndlessHeadsOnReady(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.ready, clients: 300, head: readyHead + "X-Fill: ", next: constant(kilobyte), maxBytes: 1000 << 10, hold: holdTime}.run()
	d.check()
}

// The metric address had the library's bound of 1 MB for each head.
func TestEndlessHeadsOnMetric(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.metric, clients: 300, head: metricHead + "X-Fill: ", next: constant(kilobyte), maxBytes: 1000 << 10, hold: holdTime}.run()
	d.check()
}

// Many short header lines take several times their length once parsed.
func TestEndlessHeaderLinesOnFront(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.front, clients: 400, head: requestHead, next: shortLine, maxBytes: 60 << 10, hold: holdTime}.run()
	d.check()
}

// Many short header lines take several times their length once parsed.
func TestEndlessHeaderLinesOnReady(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.ready, clients: 200, head: readyHead, next: shortLine, maxBytes: 900 << 10, hold: holdTime}.run()
	d.check()
}

// Many short header lines take several times their length once parsed.
func TestEndlessHeaderLinesOnMetric(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.metric, clients: 200, head: metricHead, next: shortLine, maxBytes: 900 << 10, hold: holdTime}.run()
	d.check()
}

// Empty lines before a request are no head, and may be read without end.
func TestEndlessEmptyLines(t *testing.T) {
	d := startDaemon(t)
	for _, address := range []string{d.front, d.ready, d.metric} {
		crowd{address: address, clients: 100, next: constant("\r\n"), maxBytes: 2 << 20, hold: holdTime / 3}.run()
	}
	d.check()
}

// Empty lines after a complete request on the same connection may be read without end.
func TestEndlessEmptyLinesBetweenRequests(t *testing.T) {
	d := startDaemon(t)
	first := requestHead + "Content-Length: 0\r\n\r\n"
	crowd{address: d.front, clients: 100, head: first, next: constant("\r\n"), maxBytes: 2 << 20, hold: holdTime}.run()
	d.check()
}

// Bodies without a length that do not end grow until MaxBodyBytes, whatever was reserved for them.
func TestEndlessChunkedBodies(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.front, clients: 60, head: chunkedHead, next: chunk, maxBytes: 4 * maxBodyBytes}.run()
	d.check()
}

// Bodies without a length that are below MaxBodyBytes each took far more memory together than was
// reserved for them.
func TestChunkedBodiesBelowTheLimit(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.front, clients: 40, head: chunkedHead, next: chunk, maxBytes: 6 << 20, hold: holdTime}.run()
	d.check()
}

// A trailer that does not end is a head in another place.
func TestEndlessTrailers(t *testing.T) {
	d := startDaemon(t)
	crowd{address: d.front, clients: 200, head: chunkedHead + "1\r\nx\r\n0\r\n", next: shortLine, maxBytes: 1 << 20, hold: holdTime}.run()
	d.check()
}

// Complete heads of many short lines, whose bodies do not arrive, are kept as long as unfinished ones.
func TestFullHeadsWithoutBody(t *testing.T) {
	d := startDaemon(t)
	var head strings.Builder
	head.WriteString(requestHead)
	for n := 0; head.Len() < maxHeadBytes-200; n++ {
		head.WriteString(shortLine(n))
	}
	head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	crowd{address: d.front, clients: 400, head: head.String(), hold: holdTime}.run()
	d.check()
}

// Connections that send nothing took all descriptors of the process, so that it could no longer
// connect to replicas or accept anybody.
func TestSilentConnections(t *testing.T) {
	for _, address := range []string{"front", "ready", "peer", "metric"} {
		t.Run(address, func(t *testing.T) {
			d := startDaemon(t)
			target := map[string]string{"front": d.front, "ready": d.ready, "peer": d.peer, "metric": d.metric}[address]
			crowd{address: target, clients: 700, hold: holdTime}.run()
			d.check()
		})
	}
}

// The first frame on the peers' port may name a length of 4 MB, and was kept until it was complete.
func TestEndlessFirstFrameOnPeerPort(t *testing.T) {
	d := startDaemon(t)
	// The kind "invoke" of stream 1, message 1, with a length of 4,000,000 as a varint.
	const head = "\x03\x01\x01\x80\x92\xf4\x01"
	crowd{address: d.peer, clients: 200, head: head, next: constant(kilobyte), maxBytes: 2 << 20, hold: holdTime}.run()
	d.check()
}
