package fleet

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

const (
	testTimeout = 20 * time.Second
	testPoll    = 5 * time.Millisecond
)

// eventually waits until holds returns true and fails the test after testTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", testTimeout, what)
		}
		time.Sleep(testPoll)
	}
}

// servePlatform starts an HTTP server for fake and returns its address.
func servePlatform(t *testing.T, fake *fakeplatform.Server) string {
	t.Helper()
	server := httptest.NewServer(fake.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

func replicaInstance(id, domain string) objectapi.Instance {
	return objectapi.Instance{ID: id, Pool: "p", Address: id + ":1", Region: "r", FailureDomain: domain, State: objectapi.Live}
}

func TestSingleDaemonReadsPlatform(t *testing.T) {
	fake := fakeplatform.New(fakeplatform.Config{Instances: []objectapi.Instance{replicaInstance("s1", "x")}})
	client := platform.NewClient(platform.Config{Address: servePlatform(t, fake)}, nil)
	defer client.Close()
	m := NewManager(Config{
		Self:           Member{ID: "d1", Region: "r", FailureDomain: "x"},
		ReportInterval: 20 * time.Millisecond, Parse: testParse,
	}, client, client, nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = m.Run(ctx) }()

	applied, err := m.Apply(ctx, []byte("svc one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Apply(ctx, []byte("svc two"), 0); !fault.Is(err, fault.Conflict) {
		t.Fatalf("second creation: %v, want a conflict", err)
	}
	eventually(t, "ready with one replica", func() bool { return m.Ready() && len(m.Subset("p")) == 1 })
	if held, ok := m.Document("svc"); !ok || held.Version != applied.Version {
		t.Errorf("in force is %+v, want version %d", held, applied.Version)
	}
	if members := m.Members(); len(members) != 1 || members[0].ID != "d1" {
		t.Errorf("members %v, want only d1", members)
	}
}

// TestDaemonWithRoleBeforeFirstReadBecomesReady covers a daemon that gets its role from the
// instance list of a peer before its first read of the platform: it must still read the
// platform and become ready.
func TestDaemonWithRoleBeforeFirstReadBecomesReady(t *testing.T) {
	roles := map[string]func(m *Manager){
		"collector": func(m *Manager) { m.collector.setActive(time.Now()) },
		"member":    func(m *Manager) { m.collectorClient.setCollector(Member{ID: "d2"}) },
	}
	for name, assume := range roles {
		t.Run(name, func(t *testing.T) {
			fake := fakeplatform.New(fakeplatform.Config{Instances: []objectapi.Instance{replicaInstance("s1", "x")}})
			client := platform.NewClient(platform.Config{Address: servePlatform(t, fake)}, nil)
			defer client.Close()
			m := NewManager(Config{Self: Member{ID: "d1", Region: "r", FailureDomain: "x"}, Parse: testParse}, client, client, nil, nil)
			assume(m)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go m.readDirectPeriodically(ctx)
			eventually(t, "ready", m.Ready)
		})
	}
}
