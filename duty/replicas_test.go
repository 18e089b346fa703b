package duty

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
)

func testScale() catalog.Autoscale {
	return catalog.Autoscale{Min: 1, Max: 30, BootTime: 4 * time.Second, SpotPrice: 0.22, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}
}

func testDomains(plain int) []domainState {
	return []domainState{{name: "a", price: 0.85, plain: plain}, {name: "b", price: 1.2, plain: plain}, {name: "c", price: 1, plain: plain}}
}

// Each row is a load that a fixed number of replicas serves badly or too dearly.
func TestWantedSpotReplicas(t *testing.T) {
	unavailable := testDomains(10)
	unavailable[0].unavailable, unavailable[0].spot = true, 2
	noSpot := testScale()
	noSpot.SpotPrice = 0
	for name, row := range map[string]struct {
		items   int
		scale   catalog.Autoscale
		domains []domainState
		want    map[string]int
	}{
		"no trainer":                             {0, testScale(), testDomains(10), map[string]int{"a": 0, "b": 0, "c": 0}},
		"enough replicas":                        {200, testScale(), testDomains(10), map[string]int{"a": 0, "b": 0, "c": 0}},
		"steps of three trainers":                {432, testScale(), testDomains(10), map[string]int{"a": 2, "b": 2, "c": 2}},
		"the cheaper domains get the remainder":  {408, testScale(), testDomains(10), map[string]int{"a": 2, "b": 1, "c": 1}},
		"more than the bound of the domains":     {9000, testScale(), testDomains(10), map[string]int{"a": 20, "b": 20, "c": 20}},
		"none to be had in one domain":           {432, testScale(), unavailable, map[string]int{"a": 2, "b": 3, "c": 3}},
		"replicas of a domain are lost":          {432, testScale(), []domainState{{name: "a", price: 0.85}, {name: "b", price: 1.2, plain: 10}, {name: "c", price: 1, plain: 10}}, map[string]int{"a": 6, "b": 5, "c": 5}},
		"spot replicas that keep the bound stay": {0, testScale(), []domainState{{name: "a", price: 0.85, spot: 3}, {name: "b", price: 1.2, plain: 1, spot: 3}, {name: "c", price: 1}}, map[string]int{"a": 1, "b": 0, "c": 0}},
		"no spot replicas on the platform":       {9000, noSpot, testDomains(10), map[string]int{"a": 0, "b": 0, "c": 0}},
	} {
		if got := wantedSpotReplicas(row.items, 6, row.scale, row.domains); !maps.Equal(got, row.want) {
			t.Errorf("%s: got %v, want %v", name, got, row.want)
		}
	}
}

// Steps come every few seconds; replicas must not be given up and ordered again between two of them.
func TestDemandBetweenStepsIsRemembered(t *testing.T) {
	var peak demandPeak
	for s := range 60 {
		items := 0
		if s%4 == 0 && s < 30 {
			items = 300
		}
		got, want := peak.add(time.Duration(s)*time.Second, items), 300
		if s > 28+int(demandMemory.Seconds()) {
			want = 0
		}
		if got != want {
			t.Errorf("after %d s: %d items, want %d", s, got, want)
		}
	}
}

// fakeScaleClient is a platform that gives replicas after a boot time.
type fakeScaleClient struct {
	orders []ReplicaOrder
	reply  Reply
	counts map[string]int
}

// OrderReplicas implements ScaleClient.
func (c *fakeScaleClient) OrderReplicas(_ context.Context, order ReplicaOrder) (Reply, error) {
	c.orders = append(c.orders, order)
	if c.reply == Accepted {
		c.counts[order.Domain] = order.Count
	}
	return c.reply, nil
}

func testScaler(client *fakeScaleClient, items *int) *scaler {
	scale := testScale()
	return newScaler(Scaling{
		Client: client,
		Services: func() map[string]catalog.Service {
			return map[string]catalog.Service{"pool": {Name: "pool", Engine: &catalog.Engine{Slots: 6}, Autoscale: &scale}, "plain": {Name: "plain"}}
		},
		Replicas: func(string) []catalog.Replica {
			var found []catalog.Replica
			for _, domain := range []string{"a", "b", "c"} {
				for range 10 {
					found = append(found, catalog.Replica{Service: "pool", FailureDomain: domain, State: catalog.Ready})
				}
				for range client.counts[domain] {
					found = append(found, catalog.Replica{Service: "pool", FailureDomain: domain, State: catalog.Ready, IsSpot: true})
				}
			}
			return found
		},
		Demand: func() map[string]int { return map[string]int{"pool": *items} },
	})
}

// run decides and sends each second for a while.
func (s *scaler) run(from, until time.Duration) {
	for now := from; now < until; now += time.Second {
		for _, order := range s.decide(now) {
			reply, err := s.Client.OrderReplicas(context.Background(), order)
			s.record(order, reply, err, now)
		}
	}
}

// Guards against orders that are repeated while they hold, and against a domain without replicas to give
// that is asked each second.
func TestOrdersAreSentOnceAndElsewhereIfRefused(t *testing.T) {
	items := 432
	client := &fakeScaleClient{reply: Accepted, counts: map[string]int{}}
	s := testScaler(client, &items)
	s.run(0, 20*time.Second)
	if len(client.orders) != 3 {
		t.Errorf("%d orders, want one for each domain: %+v", len(client.orders), client.orders)
	}
	client.counts["b"] = 0 // reclaimed
	s.run(20*time.Second, 40*time.Second)
	if len(client.orders) != 4 || client.orders[3].Domain != "b" {
		t.Errorf("orders %+v, want one more for the domain that lost its replicas", client.orders)
	}
	items = 0
	s.run(40*time.Second, 80*time.Second)
	if len(client.orders) != 7 || client.counts["a"]+client.counts["b"]+client.counts["c"] != 0 {
		t.Errorf("orders %+v, want the replicas given up", client.orders)
	}
	client.orders, client.reply, items = nil, Fenced, 432
	s.run(80*time.Second, 100*time.Second)
	if len(client.orders) < 3 || len(client.orders) > 15 {
		t.Errorf("%d orders in 20 s while there are none to give, want a few", len(client.orders))
	}
}

// spotlessClient gives no replicas in one domain.
type spotlessClient struct {
	*fakeScaleClient
	domain string
}

func (c spotlessClient) OrderReplicas(ctx context.Context, order ReplicaOrder) (Reply, error) {
	if order.Domain == c.domain && order.Count > 0 {
		c.orders = append(c.orders, order)
		return Fenced, nil
	}
	return c.fakeScaleClient.OrderReplicas(ctx, order)
}

// Guards against replicas that are given up for a domain that has none, and ordered again once it refused.
func TestDomainWithoutReplicasDoesNotCauseOscillation(t *testing.T) {
	items := 432
	client := &fakeScaleClient{reply: Accepted, counts: map[string]int{}}
	s := testScaler(client, &items)
	s.Client = spotlessClient{client, "a"}
	s.run(0, 10*time.Second)
	before := len(client.orders)
	s.run(10*time.Second, 40*time.Second)
	for _, order := range client.orders[before:] {
		if order.Domain != "a" {
			t.Errorf("order %+v at constant load", order)
		}
	}
}
