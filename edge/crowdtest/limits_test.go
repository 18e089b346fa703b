package crowdtest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendSlowly sends text, its last part after a delay, and returns the status of the response.
func sendSlowly(address, first string, delay time.Duration, rest string) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(delay + 5*time.Second))
	if _, err := io.WriteString(conn, first); err != nil {
		return 0, err
	}
	time.Sleep(delay)
	if _, err := io.WriteString(conn, rest); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// A client that uses the configuration's MaxHeaderBytes and HeaderTimeoutMs to the full must be served
// after any crowd, and one far beyond them must not be.
func TestClientWithinTheLimitsIsServed(t *testing.T) {
	d := startDaemon(t)
	fill := func(size int) string {
		return requestHead + "X-Fill: " + strings.Repeat("x", size-len(requestHead)-40) + "\r\n"
	}
	rest := "Content-Length: 5\r\n\r\nhello"
	if status, err := sendSlowly(d.front, fill(maxHeadBytes), headTimeoutMs*time.Millisecond-500*time.Millisecond, rest); status != http.StatusOK {
		t.Errorf("a head of %d bytes just in time: status %d, %v", maxHeadBytes, status, err)
	}
	status, err := sendSlowly(d.front, fill(3*maxHeadBytes), 0, rest)
	if err == nil && status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a head of %d bytes: status %d", 3*maxHeadBytes, status)
	}
	status, err = sendSlowly(d.front, requestHead, 2*headTimeoutMs*time.Millisecond, rest)
	if err == nil {
		t.Errorf("a head in twice the time: status %d", status)
	}
	d.check()
}

// A single body of MaxBodyBytes must be served, with a length and without.
func TestLargestBodyIsServed(t *testing.T) {
	d := startDaemon(t)
	for _, length := range []int64{maxBodyBytes, -1} {
		request, err := http.NewRequest(http.MethodPost, "http://"+d.front+"/records/1", io.LimitReader(endless{}, maxBodyBytes))
		if err != nil {
			t.Fatal(err)
		}
		request.Host, request.ContentLength = host, length
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		if err = errors.Join(err, response.Body.Close()); err != nil || response.StatusCode != http.StatusOK || len(got) < maxBodyBytes {
			t.Error(fmt.Errorf("length %d: %s, %d bytes, %w", length, response.Status, len(got), err))
		}
	}
	d.check()
}

// Large bodies that do not end took all memory for bodies, so that ordinary requests with a body were
// refused for as long as the clients stayed.
func TestOrdinaryBodyIsServedBesideLargeOnes(t *testing.T) {
	d := startDaemon(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		crowd{address: d.front, clients: 20, head: chunkedHead, next: chunk, maxBytes: 6 << 20, hold: 3 * holdTime}.run()
	}()
	time.Sleep(holdTime) // the bodies have arrived, and their clients wait
	// Bodies of 100 KB take what the large ones could not.
	fillers := make(chan struct{})
	go func() {
		defer close(fillers)
		crowd{address: d.front, clients: 60, head: chunkedHead, next: chunk, maxBytes: 100 << 10, hold: 2 * holdTime}.run()
	}()
	defer func() { <-fillers }()
	time.Sleep(holdTime)
	status, err := sendSlowly(d.front, requestHead+"Content-Length: 30000\r\n\r\n", 0, strings.Repeat("x", 30000))
	select {
	case <-ended:
		t.Fatal("the large bodies have ended")
	default:
	}
	if status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
	<-ended
	d.check()
}

// endless is a reader without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
