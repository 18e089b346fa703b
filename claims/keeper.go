package claims

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/claims/claimspb"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
)

// Defaults and limits of a Manager.
const (
	defaultShards    = 8
	defaultRetention = 24 * time.Hour
	keeperTimeout    = 1500 * time.Millisecond // wait for the keeper before this daemon appends itself
	keeperAway       = 5 * time.Second         // a keeper that did not answer is passed over
	idleShard        = 10 * time.Minute        // unused before its ledger is dropped
	idleInterval     = time.Minute             // between two looks for unused shards
)

// Config configures a Manager.
type Config struct {
	Shards        int           // shards of a service without a journal yet
	BatchInterval time.Duration // longest wait of a claim for its batch
	Retention     time.Duration // a key is remembered for this long
}

// shardID names a shard.
type shardID struct {
	service string
	number  int
}

// Manager implements Claimer: it sends a claim to the keeper of its shard and keeps
// the shards that this daemon owns. Who is the keeper only decides who usually
// appends; the journal itself lets no key be granted twice.
type Manager struct {
	config Config
	view   fleet.View
	store  objectapi.ObjectStore
	conns  peer.Conns
	log    *event.Logger
	now    func() time.Time

	busyWait time.Duration // longest wait of a claim in a busy shard

	background context.Context // of the shards' work
	stop       context.CancelFunc

	mu       sync.Mutex
	shards   map[shardID]*shard
	counts   map[string]int       // shards by service
	away     map[string]time.Time // keepers by ID and when they count again
	counters Counters
}

// NewManager returns a Manager. Register and Run start it.
func NewManager(config Config, view fleet.View, store objectapi.ObjectStore, conns peer.Conns, log *event.Logger) *Manager {
	if config.Shards <= 0 {
		config.Shards = defaultShards
	}
	if config.Retention <= 0 {
		config.Retention = defaultRetention
	}
	m := &Manager{
		config: config,
		view:   view,
		store:  store,
		conns:  conns,
		log:    log,
		now:    time.Now,

		busyWait: busyWait,
		shards:   make(map[shardID]*shard),
		counts:   make(map[string]int),
		away:     make(map[string]time.Time),
	}
	m.background, m.stop = context.WithCancel(context.Background())
	return m
}

// Register adds the package's drpc services to mux.
func (m *Manager) Register(mux drpc.Mux) error {
	return claimspb.DRPCRegisterKeeper(mux, server{m})
}

// Run drops unused shards until ctx ends, and then ends the shards' work.
func (m *Manager) Run(ctx context.Context) error {
	defer m.stop()
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.dropIdle()
		}
	}
}

func (m *Manager) dropIdle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, s := range m.shards {
		if s.idleSince(m.now().Add(-idleShard)) {
			delete(m.shards, id)
		}
	}
}

func (s *shard) idleSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.flushing && s.lastUsed.Before(t)
}

// Claim implements Claimer.
func (m *Manager) Claim(ctx context.Context, c Claim) error {
	shards, err := m.shardCount(ctx, c.Service)
	if err == nil {
		id := shardID{service: c.Service, number: int(xxhash.Sum64String(c.Key) % uint64(shards))}
		err = m.claim(ctx, id, grant{Key: c.Key, Fingerprint: c.Fingerprint, Nonce: rand.Uint64()})
	}
	m.countResult(err)
	return err
}

func (m *Manager) claim(ctx context.Context, id shardID, g grant) error {
	owner, ok := m.keeper(id)
	if !ok {
		return m.claimHere(ctx, id, g)
	}
	err := m.claimThere(ctx, owner, id, g)
	if settled(err) || ctx.Err() != nil {
		return err
	}
	// The keeper may have granted the claim: its nonce settles that.
	m.markAway(owner)
	m.log.Log(event.ClaimKeeperAway, event.F("keeper", owner.ID), event.Err(err))
	return m.claimHere(ctx, id, g)
}

// settled reports whether an answer is the keeper's own and final.
func settled(err error) bool {
	return err == nil || fault.Is(err, fault.Claimed) || fault.Is(err, fault.Conflict)
}

// keeper returns the shard's keeper when it is another daemon that answers.
func (m *Manager) keeper(id shardID) (fleet.Member, bool) {
	owners := m.view.Owners(journalRoot+"/"+id.service+"/"+strconv.Itoa(id.number), 1)
	if len(owners) == 0 || owners[0].ID == m.view.Self().ID {
		return fleet.Member{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return owners[0], !m.now().Before(m.away[owners[0].ID])
}

func (m *Manager) markAway(keeper fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away[keeper.ID] = m.now().Add(keeperAway)
}

func (m *Manager) claimHere(ctx context.Context, id shardID, g grant) error {
	g.At = m.now().UnixMilli()
	return m.shard(id).claim(ctx, g)
}

func (m *Manager) shard(id shardID) *shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.shards[id]
	if s == nil {
		s = &shard{manager: m, service: id.service, number: id.number, journal: newJournal(m.store, id.service, id.number)}
		m.shards[id] = s
	}
	return s
}

func (m *Manager) claimThere(ctx context.Context, keeper fleet.Member, id shardID, g grant) error {
	ctx, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	conn, err := m.conns.Conn(ctx, keeper.PeerAddress)
	if err != nil {
		return unavailable(err)
	}
	_, err = claimspb.NewDRPCKeeperClient(conn).Claim(ctx, &claimspb.ClaimRequest{
		Service:     id.service,
		Shard:       uint32(id.number),
		Key:         g.Key,
		Fingerprint: g.Fingerprint,
		Nonce:       g.Nonce,
	})
	if err == nil || settled(err) {
		return err
	}
	return unavailable(err)
}

// server serves the claims of other daemons.
type server struct{ manager *Manager }

// Claim implements claimspb.DRPCKeeperServer.
func (s server) Claim(ctx context.Context, r *claimspb.ClaimRequest) (*claimspb.ClaimResponse, error) {
	id := shardID{service: r.GetService(), number: int(r.GetShard())}
	g := grant{Key: r.GetKey(), Fingerprint: r.GetFingerprint(), Nonce: r.GetNonce()}
	if err := s.manager.claimHere(ctx, id, g); err != nil {
		return nil, err
	}
	return &claimspb.ClaimResponse{}, nil
}
