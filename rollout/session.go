package rollout

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

const (
	epochCacheTTL      = time.Second            // the epoch is read from the object API at most once in this time
	sessionTimeout     = 3 * time.Second        // one write of the session object, including the read that resolves a lost response
	epochTimeout       = 300 * time.Millisecond // one read of the session object during a trainer's call
	maxSessionAttempts = 8                      // attempts of the conditional update, which can conflict with other writers
	peerTimeout        = time.Second            // one short call to another daemon
	broadcastLimit     = 32                     // concurrent calls of a broadcast
)

// sessionRecord is the value of the object sessions/<trainer>.
type sessionRecord struct {
	Service string `json:"service"`
	Epoch   int64  `json:"epoch"`
	Nonce   string `json:"nonce"`           // unique for each write, identifies the write after a lost response
	Token   string `json:"token,omitempty"` // newest token that the trainer presented
}

func sessionKey(trainer string) string { return "sessions/" + trainer }

// sessions tracks the newest session epoch of each trainer. Only a write to the object API
// raises an epoch. The new epoch is broadcast to all daemons of the region, and each
// daemon reads it again when the trainer calls.
type sessions struct {
	m         *Manager
	mu        sync.Mutex
	byTrainer map[string]*epochState
}

type epochState struct {
	epoch         int64
	lastRead      time.Time // last attempt to read the epoch
	tokenStoredAt time.Time // last attempt to store a token
	storingToken  bool
}

func newSessions(m *Manager) *sessions {
	return &sessions{m: m, byTrainer: map[string]*epochState{}}
}

func (s *sessions) state(trainer string) *epochState {
	state, ok := s.byTrainer[trainer]
	if !ok {
		state = &epochState{}
		s.byTrainer[trainer] = state
	}
	return state
}

// raiseEpoch records that the trainer's epoch is at least the given one.
func (s *sessions) raiseEpoch(trainer string, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(trainer)
	state.epoch = max(state.epoch, epoch)
}

// knownEpoch returns the trainer's newest epoch known to this daemon.
func (s *sessions) knownEpoch(trainer string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(trainer).epoch
}

// check returns fault.Fenced for an epoch older than the newest known one. It first reads
// the object API unless it did so within epochCacheTTL. If the read fails, the epoch known
// so far applies: no session can be opened during an outage of the object API.
func (s *sessions) check(ctx context.Context, trainer string, epoch int64) error {
	if s.beginRefresh(trainer) {
		s.refresh(ctx, trainer)
	}
	return s.checkKnown(trainer, epoch)
}

// checkKnown returns fault.Fenced for an epoch older than the newest known one, without a
// read of the object API.
func (s *sessions) checkKnown(trainer string, epoch int64) error {
	known := s.knownEpoch(trainer)
	if epoch >= known {
		s.raiseEpoch(trainer, epoch)
		return nil
	}
	s.m.counters.fenced.Add(1)
	s.m.deps.Log.Log(event.RolloutSessionFenced, event.F("trainer", trainer), event.F("epoch", epoch), event.F("newest", known))
	return fault.New(fault.Fenced, "a newer session of trainer "+trainer+" is open", "stop this process, or open a new session", fault.WithOutcome(fault.NotRun))
}

// beginRefresh reports whether the epoch should be read again, and if so records this as
// the latest attempt.
func (s *sessions) beginRefresh(trainer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(trainer)
	if s.m.now().Sub(state.lastRead) < epochCacheTTL {
		return false
	}
	state.lastRead = s.m.now()
	return true
}

func (s *sessions) refresh(ctx context.Context, trainer string) {
	ctx, cancel := context.WithTimeout(ctx, epochTimeout)
	defer cancel()
	record, _, err := s.read(ctx, trainer)
	if err == nil {
		s.raiseEpoch(trainer, record.Epoch)
	}
}

func (s *sessions) read(ctx context.Context, trainer string) (sessionRecord, int64, error) {
	object, err := s.m.deps.ObjectStore.Get(ctx, sessionKey(trainer))
	if err != nil {
		return sessionRecord{}, 0, err
	}
	var record sessionRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return sessionRecord{}, 0, fault.Wrap(err, fault.Internal, "the session object can't be read", "delete "+sessionKey(trainer))
	}
	return record, object.Version, nil
}

// open raises the trainer's epoch and returns the record as written. It needs the object
// API and returns fault.Unavailable with outcome not run during an outage. If the
// outcome of the write is unknown, it returns fault.Ambiguous.
func (s *sessions) open(ctx context.Context, trainer, service string) (sessionRecord, error) {
	var lastErr error
	for range maxSessionAttempts {
		record, version, err := s.read(ctx, trainer)
		if err != nil && !fault.Is(err, fault.NotFound) {
			return sessionRecord{}, sessionNotOpenedError(err)
		}
		record.Epoch = max(record.Epoch, s.knownEpoch(trainer)) + 1
		record.Service = service
		lastErr = s.write(ctx, trainer, &record, version)
		if lastErr == nil {
			s.raiseEpoch(trainer, record.Epoch)
			s.broadcast(ctx, trainer, record.Epoch)
			return record, nil
		}
		if fault.Is(lastErr, fault.Ambiguous) {
			return sessionRecord{}, sessionAmbiguousError(lastErr)
		}
		if !fault.Is(lastErr, fault.Conflict) {
			return sessionRecord{}, sessionNotOpenedError(lastErr)
		}
	}
	return sessionRecord{}, sessionNotOpenedError(lastErr)
}

func sessionNotOpenedError(err error) error {
	return fault.Wrap(err, fault.Unavailable, "the session was not opened", "retry; an open session continues with its token meanwhile",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

// sessionAmbiguousError returns the error for a session that may have been opened.
func sessionAmbiguousError(err error) error {
	return fault.Wrap(err, fault.Ambiguous, "the session may have been opened", "open the session again; an older one may be refused from now on",
		fault.WithOutcome(fault.Unknown))
}

// write writes the record if the object still has the given version (0 if it does not
// exist). After a lost response it reads the object back to learn the outcome.
func (s *sessions) write(ctx context.Context, trainer string, record *sessionRecord, version int64) error {
	record.Nonce = newNonce()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sessionTimeout)
	defer cancel()
	if version == 0 {
		_, err = objectapi.CreateConfirmed(ctx, s.m.deps.ObjectStore, sessionKey(trainer), value)
	} else {
		_, err = objectapi.UpdateConfirmed(ctx, s.m.deps.ObjectStore, sessionKey(trainer), value, version)
	}
	return err
}

// broadcast sends the new epoch to all daemons of the region. A daemon that misses it
// reads the epoch from the object API when the trainer calls.
func (s *sessions) broadcast(ctx context.Context, trainer string, epoch int64) {
	request := &rolloutpb.FenceRequest{Trainer: trainer, Epoch: epoch}
	s.m.forEachMember(ctx, func(ctx context.Context, client rolloutpb.DRPCRolloutClient) {
		_, _ = client.Fence(ctx, request)
	})
}

// forEachMember calls f for all other members concurrently, each within peerTimeout.
func (m *Manager) forEachMember(ctx context.Context, f func(context.Context, rolloutpb.DRPCRolloutClient)) {
	slots := make(chan struct{}, broadcastLimit)
	var wg sync.WaitGroup
	for _, member := range m.deps.View.Members() {
		if m.isSelf(member.PeerAddress) {
			continue
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			m.callMember(ctx, member, f)
		}()
	}
	wg.Wait()
}

func (m *Manager) callMember(ctx context.Context, member fleet.Member, f func(context.Context, rolloutpb.DRPCRolloutClient)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client, err := m.client(ctx, member.PeerAddress)
	if err == nil {
		f(ctx, client)
	}
}

// storeTokenAsync stores a token that the trainer presented, in case the trainer loses its
// own. It stores at most once per TokenStoreInterval, and never into a newer session's record.
func (s *sessions) storeTokenAsync(t Token) {
	if !s.beginTokenStore(t.Trainer) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.m.baseCtx, peerTimeout)
		defer cancel()
		s.storeToken(ctx, t)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.state(t.Trainer).storingToken = false
	}()
}

func (s *sessions) beginTokenStore(trainer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(trainer)
	if state.storingToken || s.m.now().Sub(state.tokenStoredAt) < s.m.config.TokenStoreInterval {
		return false
	}
	state.storingToken = true
	state.tokenStoredAt = s.m.now()
	return true
}

func (s *sessions) storeToken(ctx context.Context, t Token) {
	record, version, err := s.read(ctx, t.Trainer)
	if err != nil || record.Epoch != t.Epoch {
		return
	}
	if older, err := ParseToken(record.Token); err == nil && older.Step > t.Step {
		return
	}
	record.Token = t.String()
	record.Nonce = newNonce()
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	_, _ = s.m.deps.ObjectStore.Update(ctx, sessionKey(t.Trainer), value, version)
}
