package edge

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
	"github.com/hornbeamtide/hornbeamtide/standin/oddserver"
)

// breakStream returns a responder that sends the right events of a completion, the given number of them and
// a part of the next one, and resets the connection.
func breakStream(framing string, events int, isWithinEvent bool) oddserver.Responder {
	return func(conn *net.TCPConn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if absent: from the start
		text := ""
		for n := after + 1; n <= min(after+events, completionEvents); n++ {
			text += fmt.Sprintf("id: %d\ndata: %s\n\n", n, fakereplica.EventData(r.Header.Get("Request-Id"), n))
		}
		if isWithinEvent {
			text += fmt.Sprintf("id: %d\ndata: %s", after+events+1, oddText)
		}
		if framing == "Transfer-Encoding: chunked\r\n" && text != "" {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s\r\n%s", signedHeader(r), framing, text)
		time.Sleep(5 * time.Millisecond) // until the client has read it, as a reset discards what it has not
		oddserver.Reset(conn)
		return false
	}
}

// Guards against items and scores that take anything of a broken answer: the streams of odd servers break off
// before, within and after events, and the answers of others are errors with a text, or heads that break off.
// All items must be completed by the sound servers, with their whole text.
func TestItemsAndScoresTakeNothingOfBrokenAnswers(t *testing.T) {
	t.Parallel()
	responders := map[string]oddserver.Responder{
		"signed error":                  oddserver.Respond("HTTP/1.1 502 Failed\r\n", signedHeader, oddText),
		"error":                         oddserver.Respond("HTTP/1.1 404 Failed\r\n", nil, oddText),
		"invalid status":                oddserver.Respond("HTTP/1.1 000 None\r\n", signedHeader, oddText),
		"unsigned success":              oddserver.Respond("HTTP/1.1 200 OK\r\n", nil, "id: 1\ndata: "+oddText+"\n\n"),
		"head cut off in its status":    oddserver.CutHead("HTTP/1.1 200", oddserver.Close),
		"head cut off after its status": oddserver.CutHead("HTTP/1.1 200 OK\r\n", oddserver.Close),
		"head cut off in a header":      oddserver.CutHead("HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nContent-Len", oddserver.Close),
		"head cut off after a header":   oddserver.CutHead("HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nContent-Length: 0\r\n", oddserver.Close),
	}
	for _, framing := range []string{"", "Content-Length: 100000\r\n", "Transfer-Encoding: chunked\r\n"} {
		for _, events := range []int{0, 2} {
			responders[fmt.Sprintf("%q, %d events", framing, events)] = breakStream(framing, events, false)
			responders[fmt.Sprintf("%q, %d events and a part", framing, events)] = breakStream(framing, events, true)
		}
	}
	s := newTestSystem(t, 1)
	for name, respond := range responders {
		servers := s.startOddServers(respond, respond)
		// The text of an item that was in an earlier batch would be reused.
		prefix, batch := fmt.Sprintf("item-%x-", name), fmt.Sprintf("lot-%x", name)
		body, ids := batchBody(16, 1)
		body = bytes.ReplaceAll(body, []byte("item-"), []byte(prefix))
		for i, id := range ids {
			ids[i] = strings.Replace(id, "item-", prefix, 1)
		}
		if got := s.daemons[0].call("POST", itemPath+"x", batch, body); got.status != http.StatusAccepted {
			t.Fatalf("submission: %+v", got)
		}
		s.checkComplete(s.readAll(s.daemons[0], batch), ids)
		if totalRequests(servers) == 0 {
			t.Errorf("%s: no request reached the odd servers", name)
		}
		s.removeOddServers(servers)
	}
}
