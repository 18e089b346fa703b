package fleet

import (
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
)

func leavingOnAll(nodes []*node, replica string) bool {
	for _, n := range nodes {
		found := false
		for _, r := range n.Replicas("p") {
			found = found || r.ID == replica && r.Leaving
		}
		if !found {
			return false
		}
	}
	return true
}

func TestLeavingReplicaReachesAllDaemonsFromListOrReport(t *testing.T) {
	hour := time.Hour.Milliseconds()
	table := []struct {
		name   string
		faults fakeplatform.Faults
		byList bool // reported by the instance list, otherwise by the server to one daemon
	}{
		{"reported by the list", fakeplatform.Faults{}, true},
		{"reported by the server, list lags", fakeplatform.Faults{ListLagMS: hour}, false},
		{"reported by the server, list is down", fakeplatform.Faults{ListDown: true}, false},
		{"reported by the server, platform is down", fakeplatform.Faults{Outage: true}, false},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t)
			c.fake.SetInstance(replicaInstance("s1", "x"))
			c.fake.SetInstance(replicaInstance("s2", "x"))
			nodes := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "x"), c.add("d4", "y"), c.add("d5", "z")}
			eventually(t, "all ready", func() bool { return allReady(nodes) && len(collectors(nodes)) == 4 })
			c.fake.SetFaults(row.faults)
			reporter := excluding(nodes, collectors(nodes)...)[0]
			if row.byList {
				leaving := replicaInstance("s1", "x")
				leaving.State = objectapi.Leaving
				c.fake.SetInstance(leaving)
			} else {
				reporter.MarkLeaving("s1")
			}
			eventually(t, "leaving on all daemons", func() bool { return leavingOnAll(nodes, "s1") })
			if leavingOnAll(nodes, "s2") {
				t.Error("the other replica is marked as leaving too")
			}
		})
	}
}

func TestLeavingMarkExpiresUnlessRepeated(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := NewManager(Config{Self: Member{ID: "d1", Region: "r"}, Now: func() time.Time { return now }, Parse: testParse}, nil, nil, nil, nil)
	m.applyList(objectapi.InstanceSnapshot{Revision: 1, Instances: []objectapi.Instance{
		replicaInstance("s1", "x"),
		{ID: "d2", Pool: objectapi.DaemonPool, PeerAddress: "d2:1", Region: "r", FailureDomain: "x", State: objectapi.Live},
	}})
	leaving := func() (replica, daemon bool) {
		m.expireLeavingMarks()
		return m.Replicas("p")[0].Leaving, len(m.Members()) == 1
	}
	m.MarkLeaving("s1")
	m.mergeLeavingMarks([]leavingMark{{instance: "d2", at: now}})
	if replica, daemon := leaving(); !replica || !daemon {
		t.Fatal("marked instances are not leaving")
	}
	now = now.Add(leavingTTL - time.Second)
	if replica, daemon := leaving(); !replica || daemon {
		t.Errorf("before the mark expires: replica leaving %t, daemon leaving %t; want only the replica", replica, daemon)
	}
	m.MarkLeaving("s1")
	now = now.Add(leavingTTL)
	if replica, _ := leaving(); !replica {
		t.Error("a renewed mark expired")
	}
	now = now.Add(time.Second)
	if replica, _ := leaving(); replica {
		t.Error("a mark that was not renewed did not expire")
	}
}
