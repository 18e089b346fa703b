package connlimit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against charges that are never returned and against ordinary clients that are refused: pipelined
// requests, early responses, panics, hijacks and bodies that are sent after 100 Continue.
func TestOrdinaryClientsLeaveNoCharge(t *testing.T) {
	refused := make(chan string, 1000)
	l := New(Config{
		HeadMemory: 1 << 20, MaxConnections: 400,
		Bounds: func(Address) Bounds {
			return Bounds{HeadBytes: 28 << 10, HeadTime: 2 * time.Second, IdleTime: 2 * time.Second}
		},
		Refused: func(_ Address, r Reason, client string) { refused <- string(r) + " " + client },
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{MaxHeaderBytes: 64 << 20, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/early":
			w.WriteHeader(200)
			return
		case "/panic":
			panic(http.ErrAbortHandler)
		case "/hijack":
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})}
	Watch(server)
	go func() { _ = server.Serve(l.Listener(inner, Front)) }()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = l.Run(ctx) })
	defer func() { cancel(); _ = server.Close(); running.Wait() }()
	var clients sync.WaitGroup
	big := strings.Repeat("x", 16000)
	for i := range 24 {
		clients.Go(func() {
			for range 20 {
				conn, err := net.Dial("tcp", inner.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
				r := bufio.NewReader(conn)
				expect := func(n int) {
					for range n {
						resp, err := http.ReadResponse(r, nil)
						if err != nil {
							t.Errorf("client %d: %v", i, err)
							return
						}
						_, _ = io.Copy(io.Discard, resp.Body)
						if resp.StatusCode != 200 {
							t.Errorf("client %d: status %d", i, resp.StatusCode)
						}
					}
				}
				switch i % 6 {
				case 0:
					one := "GET / HTTP/1.1\r\nHost: a\r\nX: " + big + "\r\n\r\n"
					_, _ = io.WriteString(conn, strings.Repeat(one, 10))
					expect(10)
				case 1:
					one := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("y", 100000)
					_, _ = io.WriteString(conn, strings.Repeat(one, 3))
					expect(3)
				case 2:
					_, _ = io.WriteString(conn, "POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("y", 200000)+"GET / HTTP/1.1\r\nHost: a\r\nX: "+big+"\r\n\r\n")
					expect(2)
				case 3:
					_, _ = io.WriteString(conn, "POST /panic HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"+strings.Repeat("y", 20))
					_, _ = io.Copy(io.Discard, r)
				case 4:
					_, _ = io.WriteString(conn, "POST /hijack HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"+strings.Repeat("y", 20))
					_, _ = io.Copy(io.Discard, r)
				case 5:
					_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
					if line, _ := r.ReadString('\n'); !strings.Contains(line, "100") {
						t.Errorf("no 100 Continue: %q", line)
					}
					_, _ = r.ReadString('\n')
					_, _ = io.WriteString(conn, "abc")
					expect(1)
				}
				_ = conn.Close()
			}
		})
	}
	clients.Wait()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		n := len(l.conns[Front])
		l.mu.Unlock()
		if n == 0 {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.charged != 0 || len(l.conns[Front]) != 0 {
		t.Errorf("charge %d, %d connections", l.charged, len(l.conns[Front]))
	}
	for len(refused) > 0 {
		t.Errorf("refused: %s", <-refused)
	}
}
