package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fleet/fleetpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/silentproxy"
)

// excluding returns the nodes that are not in excluded.
func excluding(nodes []*node, excluded ...*node) []*node {
	var remaining []*node
	for _, n := range nodes {
		keep := true
		for _, o := range excluded {
			keep = keep && n != o
		}
		if keep {
			remaining = append(remaining, n)
		}
	}
	return remaining
}

// noneListsMember reports whether no daemon has target among its live members.
func noneListsMember(nodes []*node, target *node) bool {
	for _, n := range nodes {
		for _, member := range n.Members() {
			if member.ID == target.self.ID {
				return false
			}
		}
	}
	return true
}

func TestMembersSwitchCollectorsWhenBothAreLost(t *testing.T) {
	c := newCluster(t)
	var nodes []*node
	for i := range 6 {
		nodes = append(nodes, c.add(fmt.Sprint("d", i), "x"))
	}
	eventually(t, "all ready with two collectors", func() bool { return allReady(nodes) && len(collectors(nodes)) == 2 })
	version := apply(t, nodes[0], "svc one", 0)
	eventually(t, "in force everywhere", func() bool { return inForceOnAll(nodes, "svc", version) })

	stopped := collectors(nodes)
	for _, n := range stopped {
		n.stop()
	}
	remaining := excluding(nodes, stopped...)
	version = c.fake.Put("documents/svc", []byte("svc two")).Version
	eventually(t, "in force on the remaining daemons", func() bool { return inForceOnAll(remaining, "svc", version) })
	eventually(t, "two other collectors", func() bool { return len(collectors(remaining)) == 2 })
	eventually(t, "the stopped daemons are no longer members", func() bool {
		return noneListsMember(remaining, stopped[0]) && noneListsMember(remaining, stopped[1])
	})
	eventually(t, "status lists the daemons where it is not in force", func() bool {
		status, err := remaining[0].Status(context.Background())
		return err == nil && len(status[0].InForce) == 4 && len(status[0].Lagging) == 2 && status[0].Lagging[0].Version < version
	})
	for _, n := range stopped {
		n.start()
	}
	eventually(t, "all members live with the same two collectors", func() bool {
		back := collectors(nodes)
		return allReady(nodes) && len(back) == 2 && len(excluding(back, stopped...)) == 0
	})
	eventually(t, "in force everywhere again", func() bool { return inForceOnAll(nodes, "svc", version) })
}

func TestDaemonWithoutPeersReadsPlatformAtBoundedRate(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "x")}
	eventually(t, "all ready with two collectors", func() bool { return allReady(nodes) && len(collectors(nodes)) == 2 })
	stopped := collectors(nodes)
	remaining := excluding(nodes, stopped...)[0]
	for _, n := range stopped {
		n.stop()
	}
	eventually(t, "no other daemon live", func() bool { return remaining.collector.running() && remaining.collector.onlySelfLive() })
	time.Sleep(testInterval)
	before, started := c.fake.Calls(), time.Now()
	for i := range 5 {
		version := c.fake.Put("documents/svc", []byte(fmt.Sprint("svc ", i))).Version
		eventually(t, "in force on the remaining daemon", func() bool { return remaining.inForce("svc") == version })
		time.Sleep(testDirectInterval)
	}
	after := c.fake.Calls()
	// Each read of the platform makes up to three calls: documents, replicas and members.
	limit := 3 + 3*int64(time.Since(started)/testDirectInterval)
	if reads := after.Lists + after.InstanceWatches - before.Lists - before.InstanceWatches; reads > limit {
		t.Errorf("%d reads of the platform in %v, limit %d", reads, time.Since(started), limit)
	}
}

func TestIsolatedDaemonRecoversWhenPeerOrPlatformResponds(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "y"), c.add("d3", "z")}
	eventually(t, "all ready", func() bool { return allReady(nodes) })
	c.fake.SetFaults(fakeplatform.Faults{Outage: true})
	time.Sleep(testIsolationLimit + testMemberTimeout)
	for _, n := range nodes {
		if since, isolated := n.Isolated(); isolated {
			t.Errorf("%s is isolated since %v although its peers respond", n.self.ID, since)
		}
	}
	nodes[1].stop()
	nodes[2].stop()
	eventually(t, "isolated", func() bool { _, isolated := nodes[0].Isolated(); return isolated })
	if since, _ := nodes[0].Isolated(); time.Since(since) <= testIsolationLimit {
		t.Errorf("isolated after %v, before the limit", time.Since(since))
	}
	nodes[1].start()
	eventually(t, "not isolated after a peer responds", func() bool { _, isolated := nodes[0].Isolated(); return !isolated })
	eventually(t, "the restarted peer is not isolated", func() bool { _, isolated := nodes[1].Isolated(); return !isolated })
	nodes[1].stop()
	eventually(t, "isolated again", func() bool { _, isolated := nodes[0].Isolated(); return isolated })
	c.fake.SetFaults(fakeplatform.Faults{})
	eventually(t, "not isolated after the platform responds", func() bool { _, isolated := nodes[0].Isolated(); return !isolated })
}

func TestSilentPeerConnectionsAreReplacedWithoutLosingMembers(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "x"), c.add("d4", "y")}
	var proxies []*silentproxy.Proxy
	for _, n := range nodes {
		proxy, err := silentproxy.New(n.self.PeerAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(proxy.Close)
		proxies = append(proxies, proxy)
		listed := node{cluster: c, self: n.self}
		listed.self.PeerAddress = proxy.Address()
		listed.setListed(objectapi.Live)
	}
	allLive := func() bool {
		for _, p := range proxies {
			if p.AcceptedConns() > 0 {
				return allReady(nodes) && len(collectors(nodes)) == 3
			}
		}
		return false
	}
	eventually(t, "all ready through the proxies", allLive)
	for round := range 3 {
		for _, p := range proxies {
			p.Silence()
		}
		version := c.fake.Put("documents/svc", []byte(fmt.Sprint("svc ", round))).Version
		eventually(t, "in force everywhere", func() bool { return inForceOnAll(nodes, "svc", version) })
		eventually(t, "all members live", allLive)
	}
}

func TestDrainHandsOverRoles(t *testing.T) {
	c := newCluster(t)
	nodes := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "x"), c.add("d4", "x")}
	eventually(t, "all ready with two collectors", func() bool { return allReady(nodes) && len(collectors(nodes)) == 2 })
	leaving := collectors(nodes)[0]
	leaving.Drain(context.Background())
	if leaving.collector.hasMembers() {
		t.Error("members are still connected to the drained collector")
	}
	remaining := excluding(nodes, leaving)
	eventually(t, "the drained daemon is no longer a member", func() bool { return noneListsMember(nodes, leaving) })
	eventually(t, "two other collectors", func() bool { return len(collectors(remaining)) == 2 })
	version := c.fake.Put("documents/svc", []byte("svc")).Version
	eventually(t, "in force everywhere including the drained daemon", func() bool { return inForceOnAll(nodes, "svc", version) })
	leaving.restart()
	eventually(t, "all members live after the restart", func() bool { return allReady(nodes) })
}

func TestRegionsHaveSeparateMembersAndSharedDocuments(t *testing.T) {
	c := newCluster(t)
	near := []*node{c.add("d1", "x"), c.add("d2", "x")}
	c.region = "far"
	far := []*node{c.add("d3", "x"), c.add("d4", "y")}
	c.fake.SetInstance(replicaInstance("s1", "x"))
	all := append(near, far...)
	eventually(t, "two members in each region", func() bool {
		for _, n := range all {
			if !n.Ready() || len(n.Members()) != 2 {
				return false
			}
		}
		return true
	})
	eventually(t, "replicas of the own region only", func() bool {
		return len(near[0].Replicas("p")) == 1 && len(near[1].Replicas("p")) == 1 && len(far[0].Replicas("p")) == 0
	})
	version := apply(t, far[0], "svc", 0)
	eventually(t, "in force in both regions", func() bool { return inForceOnAll(all, "svc", version) })
	eventually(t, "status in one region shows both", func() bool {
		status, err := near[1].Status(context.Background())
		return err == nil && len(status[0].InForce) == 4
	})
}

func TestPartitionedRegionKeepsItsMembers(t *testing.T) {
	c := newCluster(t)
	near := []*node{c.add("d1", "x"), c.add("d2", "x"), c.add("d3", "y")}
	c.region = "far"
	far := []*node{c.add("d4", "x"), c.add("d5", "y"), c.add("d6", "y")}
	all := slices.Concat(near, far)
	allLive := func() bool {
		for _, n := range all {
			if !n.Ready() || len(n.Members()) != 3 {
				return false
			}
		}
		return true
	}
	inForceOn := func(n *node, daemons int) func() bool {
		return func() bool {
			status, err := n.Status(context.Background())
			return err == nil && len(status) == 1 && len(status[0].InForce) == daemons
		}
	}
	eventually(t, "three members in each region", allLive)
	version := apply(t, near[0], "svc one", 0)
	eventually(t, "near status shows six daemons", inForceOn(near[0], 6))

	c.setPartitioned(true)
	time.Sleep(2 * testMemberTimeout)
	version = apply(t, near[0], "svc two", version)
	eventually(t, "in force in both through the platform", func() bool { return inForceOnAll(all, "svc", version) })
	eventually(t, "near status shows its own region", inForceOn(near[2], 3))
	eventually(t, "far status shows its own region", inForceOn(far[2], 3))
	if !allLive() {
		t.Error("a partitioned region lost members of its own")
	}

	c.setPartitioned(false)
	eventually(t, "status of six daemons in both regions again", func() bool { return inForceOn(near[1], 6)() && inForceOn(far[1], 6)() })
	eventually(t, "three members in each region", allLive)
}

func TestCollectorRemovesUnlistedDaemons(t *testing.T) {
	m := managerWithReplicas("d1", "x", 0)
	list := objectapi.InstanceSnapshot{Revision: 2, Instances: []objectapi.Instance{
		{ID: "listed", Pool: objectapi.DaemonPool, Region: "r", FailureDomain: "x", State: objectapi.Live},
	}}
	m.applyList(list)
	for _, id := range []string{"listed", "gone"} {
		m.collector.peers[id] = &peerSummary{}
		m.collector.lastRows[id] = &fleetpb.Row{Member: id}
	}
	m.collector.removeUnlisted()
	if c := m.collector; c.peers["gone"] != nil || c.lastRows["gone"] != nil || c.peers["listed"] == nil || c.lastRows["listed"] == nil {
		t.Errorf("peers %v and rows %v, want those of the listed daemon only", c.peers, c.lastRows)
	}
}
