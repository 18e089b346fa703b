package usage

import (
	"context"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/peer"
)

// Guards against faults that only show over drpc: encoding, timeouts and a peer whose port accepts
// connections but does not respond.
func TestCountsOverDRPC(t *testing.T) {
	ids := DutyOrder(testIDs(5))
	var mu sync.Mutex
	addresses := map[string]string{}
	members := func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(addresses)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	managers := map[string]*Manager{}
	for rank, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		mu.Lock()
		addresses[id] = listener.Addr().String()
		mu.Unlock()
		if rank == 1 {
			continue // connections to this daemon are accepted by the kernel only
		}
		pool, server := peer.NewPool(peer.Config{}, nil), peer.NewServer(nil)
		defer pool.Close()
		c := NewClock(pool, members, id, nil)
		m := NewManager(Dependencies{
			Self: id, Incarnation: time.Now().UnixNano(), Members: members, Conns: pool, Clock: c, Recorder: NewRecorder(c, time.Hour, nil),
		})
		if err := m.Register(server.Mux()); err != nil {
			t.Fatal(err)
		}
		managers[id] = m
		group.Go(func() { _ = server.Serve(ctx, listener) })
		group.Go(func() { _ = m.Run(ctx) })
	}
	begunAt := time.Now()
	for _, m := range managers {
		m.Recorder.Record("a", begunAt)
		m.Recorder.Record("b", begunAt)
		m.Recorder.Record("b", begunAt)
	}
	window := WindowIndex(begunAt, time.Hour)
	want := map[string]int64{"a": 4, "b": 8}
	var got map[string]int64
	var err error
	replaced := false // whether the third daemon has taken the place of the unresponsive one
	sampled := false  // whether the wall clock of a peer was sampled
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && !(maps.Equal(got, want) && err == nil && replaced && sampled); time.Sleep(50 * time.Millisecond) {
		got, err = managers[ids[0]].Total(ctx, window)
		replaced = managers[ids[2]].State().Received > 0
		sampled = managers[ids[0]].Clock.Samples() > 0
	}
	if err != nil || !maps.Equal(got, want) {
		t.Errorf("total %v, %v, want %v", got, err, want)
	}
	if !replaced {
		t.Error("the third daemon received no counts")
	}
	if !sampled {
		t.Error("no wall clock of a peer was sampled")
	}
}
