// Package relay sends calls of the platform's store through other daemons while the store is
// unreachable for this one, so that a daemon that alone cannot reach the store keeps working.
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
	// directRetryDelay is how long calls are tried through peers first after a direct call
	// failed because the store was unreachable.
	directRetryDelay = 2 * time.Second
	// peerCallTimeout limits one call through a peer.
	peerCallTimeout = 900 * time.Millisecond
)

// Store implements objectapi.ObjectStore. A write whose response was lost may be repeated
// through a peer. Its condition holds at most once, so the caller gets fault.Conflict and reads
// the object back, as it must after any lost response.
type Store struct {
	direct      objectapi.ObjectStore
	conns       peer.ConnProvider
	peers       func() []string // drpc addresses of other daemons
	freshSource func() string   // drpc address of a daemon that recently got updates from the store, "" for none
	selector    peerSelector
	log         *event.Logger

	mu         sync.Mutex
	avoidUntil time.Time // until then the store counts as unreachable
}

// New returns a Store that uses direct for its own calls. peers returns the drpc addresses of
// other daemons, freshSource that of a daemon that recently got updates from the store, "" if
// none is known.
func New(direct objectapi.ObjectStore, conns peer.ConnProvider, peers func() []string, freshSource func() string, log *event.Logger) *Store {
	return &Store{direct: direct, conns: conns, peers: peers, freshSource: freshSource, selector: peerSelector{failedUntil: map[string]time.Time{}}, log: log}
}

// Register adds the drpc service through which other daemons send calls to the store.
func (s *Store) Register(mux drpc.Mux) error {
	return relaypb.DRPCRegisterRelay(mux, service{s})
}

// isUnreachable reports whether err means that the store refused the call or did not respond
// to it.
func isUnreachable(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Ambiguous, fault.Overloaded:
		return true
	}
	return false
}

func (s *Store) directAvoided() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.avoidUntil)
}

// recordDirectResult records whether the store responded to this daemon.
func (s *Store) recordDirectResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasAvoided := time.Now().Before(s.avoidUntil)
	if !isUnreachable(err) {
		if !s.avoidUntil.IsZero() {
			s.log.Log(event.RelayEnded)
		}
		s.avoidUntil = time.Time{}
		return
	}
	s.avoidUntil = time.Now().Add(directRetryDelay)
	if !wasAvoided {
		s.log.Log(event.RelayStarted, event.Err(err))
	}
}

// call makes a call directly, or through a peer if the store is unreachable.
func (s *Store) call(ctx context.Context, request *relaypb.CallRequest) (*relaypb.CallAnswer, error) {
	ambiguous := false
	var lastErr error
	inspect := func(resp *relaypb.CallAnswer, err error) (*relaypb.CallAnswer, error, bool) {
		lastErr = err
		ambiguous = ambiguous || fault.Is(err, fault.Ambiguous)
		return resp, err, !isUnreachable(err)
	}
	avoided := s.directAvoided()
	if !avoided {
		if resp, err, done := inspect(s.callDirect(ctx, request)); done {
			return resp, err
		}
	}
	for _, address := range s.selector.candidates(s.peers(), s.freshSource()) {
		if ctx.Err() != nil {
			break
		}
		resp, err, done := inspect(s.callPeer(ctx, address, request))
		if done || ctx.Err() == nil { // otherwise the caller's deadline passed, which is not the peer's fault
			s.selector.record(address, done)
		}
		if done {
			return resp, err
		}
	}
	if avoided && ctx.Err() == nil {
		if resp, err, done := inspect(s.callDirect(ctx, request)); done {
			return resp, err
		}
	}
	if lastErr == nil { // the caller's time ended before anything was tried
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "the store was not called", "allow more time", fault.WithOutcome(fault.NotRun))
	}
	if ambiguous && !fault.Is(lastErr, fault.Ambiguous) {
		return nil, fault.Wrap(lastErr, fault.Ambiguous, "a write may have taken effect", "read the object back and compare before writing again")
	}
	return nil, lastErr
}

func (s *Store) callPeer(ctx context.Context, address string, request *relaypb.CallRequest) (*relaypb.CallAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	conn, err := s.conns.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	resp, err := relaypb.NewDRPCRelayClient(conn).Call(ctx, request)
	if err != nil && fault.OutcomeOf(err) != fault.NotRun && isWrite(request) && (fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Deadline)) {
		return nil, fault.Wrap(err, fault.Ambiguous, "the response of a peer was lost", "read the object back and compare before writing again")
	}
	if fault.Is(err, fault.Deadline) {
		return nil, fault.Wrap(err, fault.Unavailable, "a peer did not respond", "try another peer")
	}
	return resp, err
}

func isWrite(request *relaypb.CallRequest) bool { return request.Op != opGet && request.Op != opList }

// The values of CallRequest.Op.
const (
	opGet    = "get"
	opList   = "list"
	opCreate = "create"
	opUpdate = "update"
	opDelete = "delete"
)

func (s *Store) callDirect(ctx context.Context, request *relaypb.CallRequest) (resp *relaypb.CallAnswer, err error) {
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
			resp = &relaypb.CallAnswer{Revision: list.Revision}
			for _, o := range list.Objects {
				resp.Objects = append(resp.Objects, &relaypb.Object{Key: o.Key, Version: o.Version, Value: o.Value})
			}
		}
		s.recordDirectResult(err)
		return resp, err
	default:
		return nil, fault.New(fault.Unsupported, "unsupported call "+request.Op, "report this defect", fault.WithOutcome(fault.NotRun))
	}
	s.recordDirectResult(err)
	return &relaypb.CallAnswer{Objects: []*relaypb.Object{{Key: o.Key, Version: o.Version, Value: o.Value}}}, err
}

// callObject makes a call that returns one object.
func (s *Store) callObject(ctx context.Context, request *relaypb.CallRequest) (objectapi.Object, error) {
	resp, err := s.call(ctx, request)
	if err != nil {
		return objectapi.Object{}, err
	}
	if len(resp.Objects) != 1 {
		return objectapi.Object{}, fault.New(fault.Internal, "the response of a peer does not contain exactly one object", "report this defect")
	}
	o := resp.Objects[0]
	return objectapi.Object{Key: o.Key, Version: o.Version, Value: o.Value}, nil
}

// Get implements objectapi.ObjectStore.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	return s.callObject(ctx, &relaypb.CallRequest{Op: opGet, Key: key})
}

// List implements objectapi.ObjectStore.
func (s *Store) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	resp, err := s.call(ctx, &relaypb.CallRequest{Op: opList, Key: prefix})
	if err != nil {
		return objectapi.Snapshot{}, err
	}
	list := objectapi.Snapshot{Revision: resp.Revision}
	for _, o := range resp.Objects {
		list.Objects = append(list.Objects, objectapi.Object{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	return list, nil
}

// Create implements objectapi.ObjectStore.
func (s *Store) Create(ctx context.Context, key string, value []byte) (objectapi.Object, error) {
	return s.callObject(ctx, &relaypb.CallRequest{Op: opCreate, Key: key, Value: value})
}

// Update implements objectapi.ObjectStore.
func (s *Store) Update(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	return s.callObject(ctx, &relaypb.CallRequest{Op: opUpdate, Key: key, Value: value, Version: version})
}

// Delete implements objectapi.ObjectStore.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	_, err := s.call(ctx, &relaypb.CallRequest{Op: opDelete, Key: key, Version: version})
	return err
}

// Watch implements objectapi.ObjectStore. It is always direct, since package mirror itself gets
// updates from other daemons.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) (objectapi.Watch, error) {
	return s.direct.Watch(ctx, prefix, after)
}

// service implements the drpc service for other daemons.
type service struct{ store *Store }

// Call implements relaypb.DRPCRelayServer. It refuses immediately while the store is
// unreachable for this daemon too.
func (svc service) Call(ctx context.Context, request *relaypb.CallRequest) (*relaypb.CallAnswer, error) {
	if svc.store.directAvoided() {
		return nil, fault.New(fault.Unavailable, "the store is unreachable for this daemon too", "try another peer", fault.WithOutcome(fault.NotRun))
	}
	resp, err := svc.store.callDirect(ctx, request)
	if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Overloaded) {
		// By the store's contract the call certainly had no effect.
		return nil, fault.Wrap(err, fault.KindOf(err), "the store refused the call of a peer", "", fault.WithOutcome(fault.NotRun))
	}
	return resp, err
}
