// Package relay makes calls of the platform's store over other daemons when the store
// turns this one away: a daemon that is cut off alone goes on with its work.
package relay

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/relay/relaypb"
)

const (
	// avoidTime is how long the store is called over peers first after it turned this
	// daemon away.
	avoidTime = 2 * time.Second
	// peerLimit bounds one call over a peer.
	peerLimit = 900 * time.Millisecond
)

// Store implements objectapi.ObjectStore. A write whose answer is lost may be repeated over
// a peer: its condition holds at most once, so the caller sees fault.Conflict and reads
// back, as it must after any lost answer.
type Store struct {
	direct objectapi.ObjectStore
	conns  peer.Conns
	peers  func() []string // drpc addresses of other daemons
	source func() string   // drpc address of one that has fresh news of the store, "" for none
	choice choice
	log    *event.Logger

	mu    sync.Mutex
	avoid time.Time // until then the store counts as out of reach
}

// New returns a Store over direct. peers are the drpc addresses of other daemons, source that
// of one that has fresh news of the store, "" when none is known.
func New(direct objectapi.ObjectStore, conns peer.Conns, peers func() []string, source func() string, log *event.Logger) *Store {
	return &Store{direct: direct, conns: conns, peers: peers, source: source, choice: choice{bad: map[string]time.Time{}}, log: log}
}

// Register adds the drpc service by which other daemons call over this one.
func (s *Store) Register(mux drpc.Mux) error {
	return relaypb.DRPCRegisterRelay(mux, service{s})
}

// outOfReach reports whether an error says that the store turned the call away or did not
// answer it.
func outOfReach(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Ambiguous, fault.Overloaded:
		return true
	}
	return false
}

func (s *Store) avoided() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.avoid)
}

// note remembers whether the store answered this daemon.
func (s *Store) note(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := time.Now().Before(s.avoid)
	if !outOfReach(err) {
		if !s.avoid.IsZero() {
			s.log.Log(event.RelayEnded)
		}
		s.avoid = time.Time{}
		return
	}
	s.avoid = time.Now().Add(avoidTime)
	if !before {
		s.log.Log(event.RelayStarted, event.Err(err))
	}
}

// call makes a call directly, or over a peer if the store is out of reach.
func (s *Store) call(ctx context.Context, request *relaypb.CallRequest) (*relaypb.CallAnswer, error) {
	ambiguous := false
	var last error
	try := func(answer *relaypb.CallAnswer, err error) (*relaypb.CallAnswer, error, bool) {
		last = err
		ambiguous = ambiguous || fault.Is(err, fault.Ambiguous)
		return answer, err, !outOfReach(err)
	}
	avoided := s.avoided()
	if !avoided {
		if answer, err, done := try(s.callDirect(ctx, request)); done {
			return answer, err
		}
	}
	for _, address := range s.choice.of(s.peers(), s.source()) {
		if ctx.Err() != nil {
			break
		}
		answer, err, done := try(s.callOver(ctx, address, request))
		if done || ctx.Err() == nil { // else the caller's time was over, whatever the peer can do
			s.choice.note(address, done)
		}
		if done {
			return answer, err
		}
	}
	if avoided && ctx.Err() == nil {
		if answer, err, done := try(s.callDirect(ctx, request)); done {
			return answer, err
		}
	}
	if ambiguous && !fault.Is(last, fault.Ambiguous) {
		return nil, fault.Wrap(last, fault.Ambiguous, "a write may have taken effect", "read the object back and compare before writing again")
	}
	return nil, last
}

func (s *Store) callOver(ctx context.Context, address string, request *relaypb.CallRequest) (*relaypb.CallAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerLimit)
	defer cancel()
	conn, err := s.conns.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	answer, err := relaypb.NewDRPCRelayClient(conn).Call(ctx, request)
	if err != nil && fault.OutcomeOf(err) != fault.NotRun && isWrite(request) && (fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Deadline)) {
		return nil, fault.Wrap(err, fault.Ambiguous, "the answer of a peer was lost", "read the object back and compare before writing again")
	}
	if fault.Is(err, fault.Deadline) {
		return nil, fault.Wrap(err, fault.Unavailable, "a peer did not answer", "ask another one")
	}
	return answer, err
}

func isWrite(request *relaypb.CallRequest) bool { return request.Op != opGet && request.Op != opList }

// The operations of a request.
const (
	opGet    = "get"
	opList   = "list"
	opCreate = "create"
	opUpdate = "update"
	opDelete = "delete"
)

func (s *Store) callDirect(ctx context.Context, request *relaypb.CallRequest) (answer *relaypb.CallAnswer, err error) {
	var o objectapi.Object
	switch request.Op {
	case opGet:
		o, err = s.direct.Get(ctx, request.Key)
	case opCreate:
		o, err = s.direct.Create(ctx, request.Key, request.Value)
	case opUpdate:
		o, err = s.direct.Update(ctx, request.Key, request.Value, request.Version)
	case opDelete:
		err = s.direct.Delete(ctx, request.Key, request.Version)
	case opList:
		var list objectapi.Snapshot
		if list, err = s.direct.List(ctx, request.Key); err == nil {
			answer = &relaypb.CallAnswer{Revision: list.Revision}
			for _, o := range list.Objects {
				answer.Objects = append(answer.Objects, &relaypb.Object{Key: o.Key, Version: o.Version, Value: o.Value})
			}
		}
		s.note(err)
		return answer, err
	default:
		return nil, fault.New(fault.Unsupported, "no call "+request.Op, "report this defect", fault.WithOutcome(fault.NotRun))
	}
	s.note(err)
	return &relaypb.CallAnswer{Objects: []*relaypb.Object{{Key: o.Key, Version: o.Version, Value: o.Value}}}, err
}

// one makes a call that returns one object.
func (s *Store) one(ctx context.Context, request *relaypb.CallRequest) (objectapi.Object, error) {
	answer, err := s.call(ctx, request)
	if err != nil {
		return objectapi.Object{}, err
	}
	if len(answer.Objects) != 1 {
		return objectapi.Object{}, fault.New(fault.Internal, "a peer answered without an object", "report this defect")
	}
	o := answer.Objects[0]
	return objectapi.Object{Key: o.Key, Version: o.Version, Value: o.Value}, nil
}

// Get implements objectapi.ObjectStore.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	return s.one(ctx, &relaypb.CallRequest{Op: opGet, Key: key})
}

// List implements objectapi.ObjectStore.
func (s *Store) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	answer, err := s.call(ctx, &relaypb.CallRequest{Op: opList, Key: prefix})
	if err != nil {
		return objectapi.Snapshot{}, err
	}
	list := objectapi.Snapshot{Revision: answer.Revision}
	for _, o := range answer.Objects {
		list.Objects = append(list.Objects, objectapi.Object{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	return list, nil
}

// Create implements objectapi.ObjectStore.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectapi.Object, error) {
	return s.one(ctx, &relaypb.CallRequest{Op: opCreate, Key: key, Value: value})
}

// Update implements objectapi.ObjectStore.
func (s *Store) Update(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	return s.one(ctx, &relaypb.CallRequest{Op: opUpdate, Key: key, Value: value, Version: version})
}

// Delete implements objectapi.ObjectStore.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	_, err := s.call(ctx, &relaypb.CallRequest{Op: opDelete, Key: key, Version: version})
	return err
}

// Watch implements objectapi.ObjectStore. It is always direct: the mirror has its own ways.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (objectapi.Watch, error) {
	return s.direct.Watch(ctx, prefix, after)
}

// service answers other daemons.
type service struct{ s *Store }

// Call implements relaypb.DRPCRelayServer. It refuses at once while the store turns this
// daemon away too.
func (v service) Call(ctx context.Context, request *relaypb.CallRequest) (*relaypb.CallAnswer, error) {
	if v.s.avoided() {
		return nil, fault.New(fault.Unavailable, "the store turns this daemon away too", "ask another one", fault.WithOutcome(fault.NotRun))
	}
	answer, err := v.s.callDirect(ctx, request)
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Overloaded) {
		// By the store's contract the call certainly had no effect.
		return nil, fault.Wrap(err, fault.KindOf(err), "store refused the call of a peer", "", fault.WithOutcome(fault.NotRun))
	}
	return answer, err
}
