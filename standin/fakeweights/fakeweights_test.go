package fakeweights_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeweights"
)

func startServer(t *testing.T, config fakeweights.Config) (*fakeweights.Server, string) {
	t.Helper()
	s := fakeweights.New(config)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

func TestLatestIsRateLimited(t *testing.T) {
	s, address := startServer(t, fakeweights.Config{ReadRate: 2})
	client := platform.NewClient(platform.Config{Address: address, WeightAddress: address, CallTimeout: time.Second, WatchWait: time.Second}, nil)
	if _, err := client.Latest(t.Context(), "p"); !fault.Is(err, fault.NotFound) {
		t.Errorf("no weights: %v", err)
	}
	s.Publish("p", 7)
	if v, err := client.Latest(t.Context(), "p"); err != nil || v.Version != 7 {
		t.Errorf("got %+v, %v", v, err)
	}
	if _, err := client.Latest(t.Context(), "p"); err == nil {
		t.Error("a third call within one second succeeded")
	}
}

// Engines that stage at the same time wait for the store's load slots.
func TestConcurrentLoadsWaitForASlot(t *testing.T) {
	const loadTime = 30 * time.Millisecond
	s, address := startServer(t, fakeweights.Config{LoadTime: loadTime, LoadSlots: 1})
	s.Publish("p", 2)
	started := time.Now()
	var wg sync.WaitGroup
	for range 3 {
		e := fakeengine.New(fakeengine.Config{Pool: "p", WeightAddress: address, Version: 1})
		t.Cleanup(e.Close)
		wg.Go(func() {
			if err := e.Stage(context.Background(), backend.Order{Version: 2}); err != nil {
				t.Error(err)
			}
			if err := e.Stage(context.Background(), backend.Order{Version: 3}); err == nil {
				t.Error("staged a version that was not published")
			}
		})
	}
	wg.Wait()
	if took := time.Since(started); took < 3*loadTime {
		t.Errorf("3 loads took %s with one slot of %s", took, loadTime)
	}
}
