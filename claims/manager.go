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
	defaultShards     = 8
	defaultRetention  = 24 * time.Hour
	ownerTimeout      = 1500 * time.Millisecond // wait for the owner before this daemon appends to the journal itself
	ownerRetryDelay   = 5 * time.Second         // an owner that did not respond is bypassed for this long
	shardIdleTimeout  = 10 * time.Minute        // a shard that is unused for this long is evicted
	idleCheckInterval = time.Minute             // between two checks for idle shards
)

// Config configures a Manager.
type Config struct {
	Shards        int           // shards of a service that has no layout yet
	BatchInterval time.Duration // how long a claim waits for its batch, unless the shard is busy
	Retention     time.Duration // a grant expires after this time plus clockSkew
}

// shardID identifies a shard.
type shardID struct {
	service string
	number  int
}

// Manager implements Claimer. It sends a claim to the owner of its shard and processes the
// claims of the shards that this daemon owns. Ownership only determines which daemon
// usually appends to the journal; the journal itself ensures that no key is granted twice.
type Manager struct {
	config Config
	view   fleet.View
	store  objectapi.ObjectStore
	conns  peer.ConnProvider
	log    *event.Logger
	now    func() time.Time

	maxBusyWait time.Duration // longest wait of a claim in a busy shard

	shardCtx     context.Context // context of batches and maintenance
	cancelShards context.CancelFunc

	mu               sync.Mutex
	shards           map[shardID]*shard
	shardCounts      map[string]int       // number of shards by service
	unavailableUntil map[string]time.Time // by owner ID; the owner is bypassed until then
	counters         Counters
}

// NewManager returns a Manager. Register and Run start it.
func NewManager(config Config, view fleet.View, store objectapi.ObjectStore, conns peer.ConnProvider, log *event.Logger) *Manager {
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

		maxBusyWait:      maxBusyWait,
		shards:           make(map[shardID]*shard),
		shardCounts:      make(map[string]int),
		unavailableUntil: make(map[string]time.Time),
	}
	m.shardCtx, m.cancelShards = context.WithCancel(context.Background())
	return m
}

// Register adds the package's drpc services to mux.
func (m *Manager) Register(mux drpc.Mux) error {
	return claimspb.DRPCRegisterKeeper(mux, server{m})
}

// Run evicts idle shards until ctx ends, and then cancels the work of all shards.
func (m *Manager) Run(ctx context.Context) error {
	defer m.cancelShards()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.evictIdleShards()
		}
	}
}

func (m *Manager) evictIdleShards() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, s := range m.shards {
		if s.idleSince(m.now().Add(-shardIdleTimeout)) {
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
	owner, ok := m.remoteOwner(id)
	if !ok {
		return m.claimLocally(ctx, id, g)
	}
	err := m.claimRemotely(ctx, owner, id, g)
	if isFinal(err) || ctx.Err() != nil {
		return err
	}
	// The owner may have granted the claim. If so, claimLocally finds the grant in the
	// journal and recognizes it by the nonce.
	m.markUnavailable(owner)
	m.log.Log(event.ClaimOwnerUnreachable, event.F("keeper", owner.ID), event.Err(err))
	return m.claimLocally(ctx, id, g)
}

// isFinal reports whether err is a final result of the shard's owner.
func isFinal(err error) bool {
	return err == nil || fault.Is(err, fault.Claimed) || fault.Is(err, fault.Conflict)
}

// remoteOwner returns the shard's owner if it is another daemon and not marked unavailable.
func (m *Manager) remoteOwner(id shardID) (fleet.Member, bool) {
	owners := m.view.Owners(journalRoot+"/"+id.service+"/"+strconv.Itoa(id.number), 1)
	if len(owners) == 0 || owners[0].ID == m.view.Self().ID {
		return fleet.Member{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return owners[0], !m.now().Before(m.unavailableUntil[owners[0].ID])
}

func (m *Manager) markUnavailable(owner fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailableUntil[owner.ID] = m.now().Add(ownerRetryDelay)
}

func (m *Manager) claimLocally(ctx context.Context, id shardID, g grant) error {
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

func (m *Manager) claimRemotely(ctx context.Context, owner fleet.Member, id shardID, g grant) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	conn, err := m.conns.Conn(ctx, owner.PeerAddress)
	if err != nil {
		return journalUnavailable(err)
	}
	_, err = claimspb.NewDRPCKeeperClient(conn).Claim(ctx, &claimspb.ClaimRequest{
		Service:     id.service,
		Shard:       uint32(id.number),
		Key:         g.Key,
		Fingerprint: g.Fingerprint,
		Nonce:       g.Nonce,
	})
	if err == nil || isFinal(err) {
		return err
	}
	return journalUnavailable(err)
}

// server handles the claims of other daemons.
type server struct{ manager *Manager }

// Claim implements claimspb.DRPCKeeperServer.
func (s server) Claim(ctx context.Context, r *claimspb.ClaimRequest) (*claimspb.ClaimResponse, error) {
	id := shardID{service: r.GetService(), number: int(r.GetShard())}
	g := grant{Key: r.GetKey(), Fingerprint: r.GetFingerprint(), Nonce: r.GetNonce()}
	if err := s.manager.claimLocally(ctx, id, g); err != nil {
		return nil, err
	}
	return &claimspb.ClaimResponse{}, nil
}
