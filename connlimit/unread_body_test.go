package connlimit

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A request that runs must not be closed, also if its handler does not read the body.
func TestRunningRequestWithUnreadBodyIsNotClosed(t *testing.T) {
	l := New(Config{
		HeadMemory: 1 << 20, MaxConnections: 400,
		Bounds: func(Address) Bounds { return Bounds{HeadBytes: 28 << 10, HeadTime: time.Second, IdleTime: time.Second} },
	})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { time.Sleep(2500 * time.Millisecond) })}
	Watch(server)
	go func() { _ = server.Serve(l.Listener(inner, Front)) }()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = l.Run(ctx) }()
	defer func() { cancel(); _ = server.Close() }()
	resp, err := http.Post("http://"+inner.Addr().String(), "text/plain", strings.NewReader("abc"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}
