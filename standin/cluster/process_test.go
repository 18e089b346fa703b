package cluster

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
)

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
			address, err := c.addresses.Allocate()
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

// A process that is forked while the allocator's listener is open holds a copy of it until it
// executes its program. The address must be free all the same once it is allocated.
func TestAllocatedAddressIsFreeWhileProcessesStart(t *testing.T) {
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command(os.Args[0], "-test.run=^$").Run()
				}
			}
		})
	}
	defer starters.Wait()
	defer close(stop)
	addresses := NewAddressAllocator()
	for range 3000 {
		address, err := addresses.Allocate()
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = listener.Close()
	}
}
