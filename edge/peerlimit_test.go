package edge

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

type bytesEncoding struct{}

func (bytesEncoding) Marshal(msg drpc.Message) ([]byte, error) { return *msg.(*[]byte), nil }
func (bytesEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	*msg.(*[]byte) = append([]byte(nil), buf...)
	return nil
}

type sizeService struct{}

func (*sizeService) Size(_ context.Context, in *[]byte) (*[]byte, error) {
	out := []byte{1}
	return &out, nil
}

func (*sizeService) NumMethods() int { return 1 }

func (*sizeService) Method(int) (string, drpc.Encoding, drpc.Receiver, interface{}, bool) {
	return "/size/Size", bytesEncoding{}, func(srv interface{}, ctx context.Context, in1, _ interface{}) (drpc.Message, error) {
		return srv.(*sizeService).Size(ctx, in1.(*[]byte))
	}, (*sizeService).Size, true
}

// Guards against a daemon that is refused for a large first message on a new connection: the bytes after
// the start of a call are no head, also if the call's goroutine runs late.
func TestLargeFirstMessageOfPeerIsAccepted(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var refused atomic.Int64
	limiter := connlimit.New(connlimit.Config{
		HeadMemory: 1 << 30, MaxConnections: 1000,
		Bounds: func(connlimit.Address) connlimit.Bounds {
			return connlimit.Bounds{HeadBytes: defaultHeadBytes, HeadTime: defaultHeadTime, FirstOnly: true}
		},
		Refused: func(connlimit.Address, connlimit.Reason, string) { refused.Add(1) },
	})
	server := peer.NewServer(nil)
	if err := server.Mux().Register(&sizeService{}, &sizeService{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx, limiter.Listener(inner, connlimit.Peer)) }()
	defer func() { cancel(); <-done }()
	for range 20 {
		pool := peer.NewPool(peer.Config{}, nil)
		conn, err := pool.Conn(ctx, inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		in, out := make([]byte, 3<<20), []byte{}
		if err := conn.Invoke(ctx, "/size/Size", bytesEncoding{}, &in, &out); err != nil {
			t.Errorf("call failed: %v", err)
		}
		pool.Close()
	}
	if n := refused.Load(); n > 0 {
		t.Errorf("%d connections refused", n)
	}
}
