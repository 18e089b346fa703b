package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// writeEndlessly accepts connections and writes head, then filler until the peer closes, at most
// 64 MiB. It returns the address and the number of bytes that were accepted.
func writeEndlessly(t *testing.T, head, filler string) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int64
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10) // the count must not contain much that only the kernel accepted
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, head)
		for accepted.Load() < 64<<20 {
			n, err := io.WriteString(conn, filler)
			accepted.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return listener.Addr().String(), &accepted
}

// A faulty server sends bytes without end. The daemon must stop reading long before they fill its
// memory.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const (
		maxAccepted = 4 << 20
		streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	)
	for name, row := range map[string]struct{ head, filler string }{
		"one header line":      {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 4096)},
		"many headers":         {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 500)},
		"one line of an event": {streamHead + "data: ", strings.Repeat("x", 4096)},
		"comments":             {streamHead, strings.Repeat(": x\n", 1000)},
		"blank lines":          {streamHead, strings.Repeat("\n", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			address, accepted := writeEndlessly(t, row.head, row.filler)
			client := NewClient(Timeouts{Connect: time.Second, FirstByte: 10 * time.Second, Progress: 10 * time.Second}, nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
			defer cancel()
			stream, err := client.Engine(address).Generate(ctx, GenerateRequest{RequestID: "q"})
			if err == nil {
				_, err = stream.Next(ctx)
				stream.Close()
			}
			if err == nil || errors.Is(err, io.EOF) || ctx.Err() != nil {
				t.Errorf("error %v, context %v; want an error before the deadline", err, ctx.Err())
			}
			if got := accepted.Load(); got > maxAccepted {
				t.Errorf("%d bytes were accepted, want at most %d", got, maxAccepted)
			}
		})
	}
}
