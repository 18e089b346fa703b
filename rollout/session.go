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
	epochFresh     = time.Second            // a read epoch is not read again within this
	sessionTimeout = 3 * time.Second        // one write of the session object, settled
	epochTimeout   = 300 * time.Millisecond // one read of it on the way of a call
	sessionRetries = 8                      // conditional updates that lose against others
	peerTimeout    = time.Second            // one short call to another daemon
	broadcastLimit = 32                     // such calls in progress
)

// sessionRecord is the value of the object sessions/<trainer>.
type sessionRecord struct {
	Service string `json:"service"`
	Epoch   int64  `json:"epoch"`
	Nonce   string `json:"nonce"`           // of the write, settles lost answers
	Token   string `json:"token,omitempty"` // newest token that the trainer presented
}

func sessionKey(trainer string) string { return "sessions/" + trainer }

// sessions knows the newest epoch of each trainer. The epoch is raised in the object
// API alone; every daemon of the region is told at once, and each reads it again when a
// trainer calls.
type sessions struct {
	m  *Manager
	mu sync.Mutex
	by map[string]*epochState
}

type epochState struct {
	epoch   int64
	read    time.Time // last try to read it
	stored  time.Time // last store of a token
	storing bool
}

func newSessions(m *Manager) *sessions {
	return &sessions{m: m, by: map[string]*epochState{}}
}

func (s *sessions) state(trainer string) *epochState {
	state, ok := s.by[trainer]
	if !ok {
		state = &epochState{}
		s.by[trainer] = state
	}
	return state
}

// raise records that the trainer's epoch is at least the given one.
func (s *sessions) raise(trainer string, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(trainer)
	state.epoch = max(state.epoch, epoch)
}

// known returns the newest epoch heard of.
func (s *sessions) known(trainer string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(trainer).epoch
}

// check refuses an epoch older than the newest known one. It reads the object API
// first unless that was done a moment ago; when it can't be read, what was heard
// before counts. No session can have been opened during its outage.
func (s *sessions) check(ctx context.Context, trainer string, epoch int64) error {
	if s.due(trainer) {
		s.refresh(ctx, trainer)
	}
	return s.checkKnown(trainer, epoch)
}

// checkKnown refuses an epoch older than the newest known one.
func (s *sessions) checkKnown(trainer string, epoch int64) error {
	known := s.known(trainer)
	if epoch >= known {
		s.raise(trainer, epoch)
		return nil
	}
	s.m.counters.fenced.Add(1)
	s.m.parts.Log.Log(event.RolloutSessionFenced, event.F("trainer", trainer), event.F("epoch", epoch), event.F("newest", known))
	return fault.New(fault.Fenced, "a newer session of trainer "+trainer+" is open", "stop this process, or open a new session", fault.WithOutcome(fault.NotRun))
}

// due reports whether the epoch should be read again, and counts this as the try.
func (s *sessions) due(trainer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(trainer)
	if s.m.now().Sub(state.read) < epochFresh {
		return false
	}
	state.read = s.m.now()
	return true
}

func (s *sessions) refresh(ctx context.Context, trainer string) {
	ctx, cancel := context.WithTimeout(ctx, epochTimeout)
	defer cancel()
	record, _, err := s.read(ctx, trainer)
	if err == nil {
		s.raise(trainer, record.Epoch)
	}
}

func (s *sessions) read(ctx context.Context, trainer string) (sessionRecord, int64, error) {
	object, err := s.m.parts.Store.Get(ctx, sessionKey(trainer))
	if err != nil {
		return sessionRecord{}, 0, err
	}
	var record sessionRecord
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return sessionRecord{}, 0, fault.Wrap(err, fault.Internal, "the session object can't be read", "delete "+sessionKey(trainer))
	}
	return record, object.Version, nil
}

// open raises the trainer's epoch and returns the record as written. It needs the
// object API: fault.Unavailable, not run, during its outage.
func (s *sessions) open(ctx context.Context, trainer, service string) (sessionRecord, error) {
	var last error
	for range sessionRetries {
		record, version, err := s.read(ctx, trainer)
		if err != nil && !fault.Is(err, fault.NotFound) {
			return sessionRecord{}, sessionRefused(err)
		}
		record.Epoch = max(record.Epoch, s.known(trainer)) + 1
		record.Service = service
		last = s.write(ctx, trainer, &record, version)
		if last == nil {
			s.raise(trainer, record.Epoch)
			s.broadcast(ctx, trainer, record.Epoch)
			return record, nil
		}
		if fault.Is(last, fault.Ambiguous) {
			return sessionRecord{}, sessionUnknown(last)
		}
		if !fault.Is(last, fault.Conflict) {
			return sessionRecord{}, sessionRefused(last)
		}
	}
	return sessionRecord{}, sessionRefused(last)
}

func sessionRefused(err error) error {
	return fault.Wrap(err, fault.Unavailable, "the session was not opened", "retry; an open session goes on with its token meanwhile",
		fault.WithOutcome(fault.NotRun), fault.WithRetryAfter(time.Second))
}

// sessionUnknown says that a session may have been opened.
func sessionUnknown(err error) error {
	return fault.Wrap(err, fault.Ambiguous, "the session may have been opened", "open the session again; an older one may be refused from now on",
		fault.WithOutcome(fault.Unknown))
}

// write writes the record if the object's version is the given one (0: none yet). A
// lost answer is settled by reading back.
func (s *sessions) write(ctx context.Context, trainer string, record *sessionRecord, version int64) error {
	record.Nonce = newNonce()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sessionTimeout)
	defer cancel()
	if version == 0 {
		_, err = objectapi.CreateSettled(ctx, s.m.parts.Store, sessionKey(trainer), value)
	} else {
		_, err = objectapi.UpdateSettled(ctx, s.m.parts.Store, sessionKey(trainer), value, version)
	}
	return err
}

// broadcast tells all daemons of the region the new epoch. One that misses it reads
// the object API when the trainer calls.
func (s *sessions) broadcast(ctx context.Context, trainer string, epoch int64) {
	request := &rolloutpb.FenceRequest{Trainer: trainer, Epoch: epoch}
	s.m.eachMember(ctx, func(ctx context.Context, client rolloutpb.DRPCRolloutClient) {
		_, _ = client.Fence(ctx, request)
	})
}

// eachMember calls f for all other members at once, each within peerTimeout.
func (m *Manager) eachMember(ctx context.Context, f func(context.Context, rolloutpb.DRPCRolloutClient)) {
	limit := make(chan struct{}, broadcastLimit)
	var waiting sync.WaitGroup
	for _, member := range m.parts.View.Members() {
		if m.isSelf(member.PeerAddress) {
			continue
		}
		limit <- struct{}{}
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			defer func() { <-limit }()
			m.callMember(ctx, member, f)
		}()
	}
	waiting.Wait()
}

func (m *Manager) callMember(ctx context.Context, member fleet.Member, f func(context.Context, rolloutpb.DRPCRolloutClient)) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client, err := m.client(ctx, member.PeerAddress)
	if err == nil {
		f(ctx, client)
	}
}

// keepToken stores a token that the trainer presented, for a trainer that loses its
// own, at most once a TokenInterval and never in a newer session's place.
func (s *sessions) keepToken(t Token) {
	if !s.startStore(t.Trainer) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.m.life, peerTimeout)
		defer cancel()
		s.storeToken(ctx, t)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.state(t.Trainer).storing = false
	}()
}

func (s *sessions) startStore(trainer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(trainer)
	if state.storing || s.m.now().Sub(state.stored) < s.m.config.TokenInterval {
		return false
	}
	state.storing = true
	state.stored = s.m.now()
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
	_, _ = s.m.parts.Store.Update(ctx, sessionKey(t.Trainer), value, version)
}
