package cluster

import "testing"

// Clusters allocate addresses before their daemons listen on them. If two clusters of processes
// that run at the same time allocated the same address, one of the daemons would fail to start.
func TestClustersAllocateDistinctAddresses(t *testing.T) {
	const perCluster = 1000
	seen := map[string]bool{}
	for range 2 {
		c, err := New("daemon", "standin")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close(false)
		for range perCluster {
			address, err := c.addresses.allocate()
			if err != nil {
				t.Fatal(err)
			}
			seen[address] = true
		}
	}
	if len(seen) != 2*perCluster {
		t.Errorf("%d of %d addresses were allocated by both clusters", 2*perCluster-len(seen), perCluster)
	}
}
