package claims

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

// TestClaimsOverPlatformAndPeerConnections runs the claims of two daemons over network
// connections, with faults of the platform and the loss of the shard's owner.
func TestClaimsOverPlatformAndPeerConnections(t *testing.T) {
	fake := fakeplatform.New(fakeplatform.Config{})
	apiServer := httptest.NewServer(fake.Handler())
	defer apiServer.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	c := newCluster(t, "a", "b")
	addresses, stopOwner := sync.Map{}, context.CancelFunc(nil)
	for _, id := range []string{"b", "a"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses.Store(id, listener.Addr().String())
		m := c.managers[id]
		m.store = platform.NewClient(platform.Config{
			Address: strings.TrimPrefix(apiServer.URL, "http://"), CallTimeout: 300 * time.Millisecond,
		}, nil)
		pool := peer.NewPool(peer.Config{ConnectTimeout: time.Second, ProgressTimeout: time.Second}, nil)
		t.Cleanup(pool.Close)
		m.conns, m.view = pool, addressedView{daemonView{c: c, id: id}, &addresses}
		server := peer.NewServer(nil)
		if err := m.Register(server.Mux()); err != nil {
			t.Fatal(err)
		}
		serving, stop := context.WithCancel(ctx)
		stopOwner = stop
		go func() { _ = server.Serve(serving, listener) }()
	}

	granted := atomic.Int32{}
	claimThroughBoth := func(key string, timeout time.Duration) (errs [2]error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var group sync.WaitGroup
		for i, id := range []string{"a", "b"} {
			group.Go(func() {
				errs[i] = c.managers[id].Claim(ctx, Claim{Service: "orders", Key: key, Fingerprint: 1})
				if errs[i] == nil {
					granted.Add(1)
				}
			})
		}
		group.Wait()
		return errs
	}
	steps := []struct {
		name   string
		faults fakeplatform.Faults
		before func()
		want   int32 // number of grants of the step's key
	}{
		{name: "healthy", want: 1},
		{name: "responses lost", faults: fakeplatform.Faults{LoseResponses: 2}, want: 1},
		{name: "writes refused", faults: fakeplatform.Faults{RefuseWrites: 1000}, want: 0},
		{name: "outage", faults: fakeplatform.Faults{Outage: true}, want: 0},
		{name: "platform unresponsive", faults: fakeplatform.Faults{Hang: true}, want: 0},
		{name: "healthy again", want: 1},
		{name: "owner stopped", before: stopOwner, want: 1},
	}
	for i, step := range steps {
		fake.SetFaults(step.faults)
		if step.before != nil {
			step.before()
		}
		granted.Store(0)
		errs := claimThroughBoth(fmt.Sprint("order", i), 3*time.Second)
		if n := granted.Load(); n != step.want {
			t.Errorf("%s: granted %d times: %v", step.name, n, errs)
		}
		for _, err := range errs {
			if err != nil && !isClaimed(err) && fault.OutcomeOf(err) != fault.NotRun {
				t.Errorf("%s: %v", step.name, err)
			}
		}
	}
	fake.SetFaults(fakeplatform.Faults{})
	for i, step := range steps {
		if err := c.claim(t, "b", fmt.Sprint("order", i)); (step.want == 1) != isClaimed(err) {
			t.Errorf("%s, claimed again: %v", step.name, err)
		}
	}
}
