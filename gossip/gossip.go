// Package gossip spreads facts that one daemon learned to all daemons, without the store. A new
// fact is pushed to a few random daemons, which push it on. Besides, each daemon regularly
// compares digests with a random one, so that daemons that missed a push, were cut off or have
// just started catch up.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/gossip/gossippb"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

const (
	// pushFanout is the number of daemons to which news are pushed. With three, 94% of a fleet of
	// any size get a push; digests reach the others.
	pushFanout = 3
	// pushDelay collects the news of a moment into one push.
	pushDelay = 20 * time.Millisecond
	// compareInterval is the time between two comparisons of digests while this daemon has facts or
	// has just started, idleCompareInterval otherwise.
	compareInterval     = time.Second
	idleCompareInterval = 3 * time.Second
	startPeriod         = 5 * time.Second
	// startCompareInterval is the time between two comparisons until one has succeeded.
	startCompareInterval = 200 * time.Millisecond
	// exchangeTimeout bounds one exchange, failedPeerPeriod is how long other daemons are preferred
	// after one did not respond.
	exchangeTimeout  = 500 * time.Millisecond
	failedPeerPeriod = 5 * time.Second
)

// Manager spreads the facts of its topics.
type Manager struct {
	conns  peer.ConnProvider
	peers  func() []string // drpc addresses of the other daemons
	topics []Topic
	news   chan struct{} // signals that a topic has news

	mu          sync.Mutex
	failedUntil map[string]time.Time // by address
}

// NewManager returns a Manager of the given topics. It does nothing before Run.
func NewManager(conns peer.ConnProvider, peers func() []string, topics ...Topic) *Manager {
	return &Manager{conns: conns, peers: peers, topics: topics, news: make(chan struct{}, 1), failedUntil: map[string]time.Time{}}
}

// Register adds the drpc service through which other daemons exchange facts with this one.
func (m *Manager) Register(mux drpc.Mux) error {
	return gossippb.DRPCRegisterGossip(mux, service{m})
}

// Notify causes the facts to be pushed. It does not block.
func (m *Manager) Notify() {
	select {
	case m.news <- struct{}{}:
	default:
	}
}

// Run spreads facts until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { m.pushNews(ctx) })
	group.Go(func() { m.compareDigests(ctx) })
	group.Wait()
	return nil
}

func (m *Manager) pushNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.news:
		}
		clock.Sleep(ctx, pushDelay)
		var pushes sync.WaitGroup
		for _, address := range m.choosePeers(pushFanout) {
			pushes.Go(func() { m.exchange(ctx, address, true) })
		}
		pushes.Wait()
	}
}

// compareDigests exchanges digests with a random daemon at regular intervals. If they differ, the
// facts follow in both directions.
func (m *Manager) compareDigests(ctx context.Context) {
	startedAt, compared := time.Now(), false
	for ctx.Err() == nil {
		for _, address := range m.choosePeers(1) {
			if m.exchange(ctx, address, false) {
				compared = true
			}
		}
		interval := idleCompareInterval
		switch {
		case !compared && time.Since(startedAt) < startPeriod:
			interval = startCompareInterval
		case m.hasFacts() || time.Since(startedAt) < startPeriod:
			interval = compareInterval
		}
		clock.Sleep(ctx, time.Duration((0.75+0.5*rand.Float64())*float64(interval)))
	}
}

func (m *Manager) hasFacts() bool {
	for _, topic := range m.topics {
		if topic.Digest() != 0 {
			return true
		}
	}
	return false
}

// choosePeers returns up to n random daemons, those that responded last time first.
func (m *Manager) choosePeers(n int) []string {
	peers := m.peers()
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	m.mu.Lock()
	defer m.mu.Unlock()
	var chosen, failed []string
	for _, address := range peers {
		switch {
		case time.Now().Before(m.failedUntil[address]):
			failed = append(failed, address)
		default:
			delete(m.failedUntil, address)
			chosen = append(chosen, address)
		}
	}
	chosen = append(chosen, failed...)
	return chosen[:min(len(chosen), n)]
}

// exchange sends the digests of all topics to another daemon, with the facts if push is set, and
// merges those that it returns. If its facts still differ then, it sends its own once. It reports
// whether the other daemon responded.
func (m *Manager) exchange(ctx context.Context, address string, push bool) bool {
	for range 2 {
		resp, err := m.call(ctx, address, m.request(push))
		m.recordResult(address, err == nil || ctx.Err() != nil)
		if err != nil {
			return false
		}
		m.merge(resp.Topics)
		if push || m.agrees(resp.Topics) {
			break
		}
		push = true
	}
	return true
}

func (m *Manager) call(ctx context.Context, address string, request *gossippb.ExchangeRequest) (*gossippb.ExchangeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return gossippb.NewDRPCGossipClient(conn).Exchange(ctx, request)
}

func (m *Manager) recordResult(address string, responded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if responded {
		delete(m.failedUntil, address)
		return
	}
	m.failedUntil[address] = time.Now().Add(failedPeerPeriod)
}

func (m *Manager) request(withFacts bool) *gossippb.ExchangeRequest {
	request := &gossippb.ExchangeRequest{}
	for _, topic := range m.topics {
		entry := &gossippb.Topic{Name: topic.Name(), Digest: topic.Digest()}
		if withFacts {
			entry.Facts = encodeFacts(topic.Facts())
		}
		request.Topics = append(request.Topics, entry)
	}
	return request
}

// merge merges the facts of another daemon and pushes them on if any was new.
func (m *Manager) merge(topics []*gossippb.Topic) {
	for _, received := range topics {
		if topic := m.topic(received.Name); topic != nil && len(received.Facts) > 0 && topic.Merge(decodeFacts(received.Facts)) {
			m.Notify()
		}
	}
}

// agrees reports whether this daemon's digests equal the ones received.
func (m *Manager) agrees(topics []*gossippb.Topic) bool {
	for _, received := range topics {
		if topic := m.topic(received.Name); topic != nil && topic.Digest() != received.Digest {
			return false
		}
	}
	return true
}

func (m *Manager) topic(name string) Topic {
	for _, topic := range m.topics {
		if topic.Name() == name {
			return topic
		}
	}
	return nil
}

// service implements the drpc service for other daemons.
type service struct{ m *Manager }

// Exchange implements gossippb.DRPCGossipServer.
func (s service) Exchange(_ context.Context, request *gossippb.ExchangeRequest) (*gossippb.ExchangeAnswer, error) {
	s.m.merge(request.Topics)
	resp := &gossippb.ExchangeAnswer{}
	for _, received := range request.Topics {
		topic := s.m.topic(received.Name)
		if topic == nil {
			continue // the caller is of another version
		}
		entry := &gossippb.Topic{Name: received.Name, Digest: topic.Digest()}
		if entry.Digest != received.Digest {
			entry.Facts = encodeFacts(topic.Facts())
		}
		resp.Topics = append(resp.Topics, entry)
	}
	return resp, nil
}

func encodeFacts(facts []Fact) []*gossippb.Fact {
	encoded := make([]*gossippb.Fact, 0, len(facts))
	for _, f := range facts {
		encoded = append(encoded, &gossippb.Fact{Key: f.Key, Value: f.Value, AgeMs: f.Age.Milliseconds()})
	}
	return encoded
}

func decodeFacts(facts []*gossippb.Fact) []Fact {
	decoded := make([]Fact, 0, len(facts))
	for _, f := range facts {
		decoded = append(decoded, Fact{Key: f.Key, Value: f.Value, Age: max(0, time.Duration(f.AgeMs)*time.Millisecond)})
	}
	return decoded
}
