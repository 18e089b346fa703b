package rollout

import (
	"context"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

const (
	maxBatch     = 256              // samples in one answer
	maxPullWait  = 10 * time.Minute // a pull waits no longer for its first sample
	collectSlice = time.Second      // an owner answers a collect at least this often
	ownerTimeout = 3 * time.Second  // silence of an owner before the next is asked
	ownerRetries = 3                // daemons tried as a step's owner, this one not counted
)

// OpenSession opens a new session of the trainer, which ends its older ones.
func (m *Manager) OpenSession(ctx context.Context, trainer string, open OpenSession) (Session, error) {
	if _, err := m.document(open.Service); err != nil {
		return Session{}, err
	}
	carried, err := carriedToken(trainer, open)
	if err != nil {
		return Session{}, err
	}
	record, err := m.sessions.open(ctx, trainer, open.Service)
	if err != nil {
		return Session{}, err
	}
	m.parts.Log.Log(event.RolloutSessionOpened, event.F("trainer", trainer), event.F("epoch", record.Epoch))
	session := Session{Trainer: trainer, Service: open.Service, Epoch: record.Epoch}
	if carried == nil {
		carried = storedToken(record, open.Service)
	}
	if carried != nil {
		session.Token = carried.InEpoch(record.Epoch).String()
	}
	return session, nil
}

// carriedToken reads the older token that a trainer brings into its new session.
func carriedToken(trainer string, open OpenSession) (*Token, error) {
	if open.Token == "" {
		return nil, nil
	}
	token, err := ParseToken(open.Token)
	if err != nil {
		return nil, err
	}
	if token.Trainer != trainer || token.Service != open.Service {
		return nil, wrongToken()
	}
	return &token, nil
}

func storedToken(record sessionRecord, service string) *Token {
	token, err := ParseToken(record.Token)
	if err != nil || token.Service != service {
		return nil
	}
	return &token
}

func wrongToken() error {
	return fault.New(fault.Invalid, "the token is of another trainer or service", tokenRemedy, fault.WithOutcome(fault.NotRun))
}

// OpenStep opens a step, or finds it again when it was opened with the same groups.
func (m *Manager) OpenStep(ctx context.Context, trainer string, open OpenStep) (Step, error) {
	doc, err := m.document(open.Service)
	if err != nil {
		return Step{}, err
	}
	if err := m.sessions.check(ctx, trainer, open.Epoch); err != nil {
		return Step{}, err
	}
	definition, err := define(trainer, open, doc, m.now())
	if err != nil {
		return Step{}, err
	}
	key := keyOfDefinition(definition)
	token := NewToken(trainer, open.Service, open.Step, open.Epoch, key.layout, sampleCount(definition))
	err = m.atOwner(ctx, key, func(ctx context.Context, owner rolloutServer) error {
		_, err := owner.Define(ctx, &rolloutpb.DefineRequest{Definition: definition})
		return err
	})
	if err != nil {
		return Step{}, err
	}
	return Step{Token: token.String(), Samples: token.Samples}, nil
}

// atOwner calls f with the step's owner. When a daemon that should own it is not
// reached, the next in line is asked, and this daemon itself as the last. An error
// that the owner answered ends the search.
func (m *Manager) atOwner(ctx context.Context, key stepKey, f func(context.Context, rolloutServer) error) error {
	for _, member := range m.suspects.last(m.parts.View.Owners(key.placement(), ownerRetries)) {
		if m.isSelf(member.PeerAddress) {
			break
		}
		client, err := m.client(ctx, member.PeerAddress)
		if err == nil {
			callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
			err = f(callCtx, remoteServer{client})
			cancel()
		}
		if err == nil || answered(err) || ctx.Err() != nil {
			return err
		}
		m.suspects.add(member.PeerAddress)
		m.parts.Log.Log(event.RolloutOwnerUnreached, event.F("owner", member.ID), event.Err(err))
	}
	return f(ctx, &service{m: m})
}

// answered reports whether err was made by the owner's own answer.
func answered(err error) bool {
	switch fault.KindOf(err) {
	case fault.Internal, fault.Unavailable, fault.Draining, fault.Canceled, fault.Deadline, fault.Truncated:
		return false
	}
	return true
}

// pull answers one pull: it collects samples that the token does not hold, has the
// owner confirm the pull, and checks the staleness bound as the last step before the
// answer is written.
func (m *Manager) pull(ctx context.Context, trainer string, pull Pull, w http.ResponseWriter) error {
	token, err := ParseToken(pull.Token)
	if err != nil {
		return err
	}
	if token.Trainer != trainer {
		return wrongToken()
	}
	doc, err := m.document(token.Service)
	if err != nil {
		return err
	}
	if err := m.sessions.check(ctx, trainer, token.Epoch); err != nil {
		return err
	}
	m.hint(doc.Pool, pull.Version)
	p := &pullCall{
		m:        m,
		token:    token,
		pull:     pull,
		id:       newNonce(),
		deadline: m.now().Add(min(time.Duration(max(pull.WaitMS, 0))*time.Millisecond, maxPullWait)),
	}
	return p.answer(ctx, w)
}

// pullCall is one pull in progress.
type pullCall struct {
	m        *Manager
	token    Token
	pull     Pull
	id       string // names the pull at the owner
	deadline time.Time
}

// answer collects until there are samples to write or the wait is over.
func (p *pullCall) answer(ctx context.Context, w http.ResponseWriter) error {
	for {
		collected, err := p.collect(ctx)
		if err != nil {
			return err
		}
		samples := p.fetch(ctx, collected)
		waiting := p.m.now().Before(p.deadline) && p.token.Delivered() < p.token.Samples && !p.m.draining.Load()
		if len(samples) == 0 && waiting {
			continue
		}
		if err := p.confirm(ctx, samples); err != nil {
			return err
		}
		body, kept, err := p.finish(ctx, collected, samples)
		if err != nil {
			return err
		}
		if len(kept) == 0 && len(samples) > 0 && waiting {
			continue
		}
		writeBody(w, body)
		p.record(kept)
		return nil
	}
}

// finish encodes the answer and checks the staleness bound after that, as the last
// step before the write. Samples over the bound are dropped and the rest is encoded
// and checked again.
func (p *pullCall) finish(ctx context.Context, collected *rolloutpb.CollectReply, samples []Sample) ([]byte, []Sample, error) {
	for {
		body, kept, err := p.encode(samples)
		if err != nil {
			return nil, nil, err
		}
		late := p.overBound(collected, kept)
		if len(late) == 0 {
			return body, kept, nil
		}
		p.discardStale(ctx, late)
		samples = without(kept, late)
	}
}

// without returns the samples that are not among dropped.
func without(samples, dropped []Sample) []Sample {
	gone := make(map[int]bool, len(dropped))
	for _, s := range dropped {
		gone[s.ID] = true
	}
	var rest []Sample
	for _, s := range samples {
		if !gone[s.ID] {
			rest = append(rest, s)
		}
	}
	return rest
}

// collect waits at the owner for samples.
func (p *pullCall) collect(ctx context.Context) (*rolloutpb.CollectReply, error) {
	batch := p.pull.Max
	if batch <= 0 || batch > maxBatch {
		batch = maxBatch
	}
	wait := min(max(p.deadline.Sub(p.m.now()), 0), collectSlice)
	var reply *rolloutpb.CollectReply
	err := p.m.atOwner(ctx, keyOf(p.token), func(ctx context.Context, owner rolloutServer) error {
		var err error
		reply, err = owner.Collect(ctx, &rolloutpb.CollectRequest{
			Token:   p.token.Bytes(),
			Pull:    p.id,
			Version: p.pull.Version,
			Max:     int32(batch),
			WaitMs:  wait.Milliseconds(),
		})
		return err
	})
	return reply, err
}

// confirm asks the owner whether this is still the session's newest pull.
func (p *pullCall) confirm(ctx context.Context, samples []Sample) error {
	request := &rolloutpb.ConfirmRequest{Token: p.token.Bytes(), Pull: p.id}
	for _, s := range samples {
		request.Delivered = append(request.Delivered, int32(s.ID))
	}
	err := p.m.atOwner(ctx, keyOf(p.token), func(ctx context.Context, owner rolloutServer) error {
		_, err := owner.Confirm(ctx, request)
		return err
	})
	if err != nil {
		return err
	}
	return p.m.sessions.checkKnown(p.token.Trainer, p.token.Epoch)
}

// encode makes the answer from the samples that may be delivered.
func (p *pullCall) encode(samples []Sample) ([]byte, []Sample, error) {
	var kept []Sample
	var ids []int
	held := p.token
	for _, s := range samples {
		if held.Has(s.ID) || s.ID < 0 || s.ID >= held.Samples {
			p.m.parts.Log.Log(event.RolloutDuplicateBarred, event.F("trainer", held.Trainer), event.F("step", held.Step), event.F("sample", s.ID))
			continue
		}
		held = held.With(s.ID)
		kept = append(kept, s)
		ids = append(ids, s.ID)
	}
	next := p.token.With(ids...)
	batch := Batch{Samples: kept, Token: next.String(), Remaining: next.Samples - next.Delivered()}
	if batch.Samples == nil {
		batch.Samples = []Sample{}
	}
	body, err := encode(batch)
	return body, kept, err
}

// overBound returns the samples that are over the staleness bound now.
func (p *pullCall) overBound(collected *rolloutpb.CollectReply, samples []Sample) []Sample {
	doc, err := p.m.document(p.token.Service)
	if err != nil {
		return nil
	}
	bound := min(int64(collected.Definition.Bound), int64(doc.Samples.StalenessBound))
	newest := max(p.pull.Version, p.m.newest(doc.Pool))
	var late []Sample
	for _, s := range samples {
		if newest-oldestVersion(s.Segments) > bound {
			late = append(late, s)
		}
	}
	return late
}

// discardStale gives samples that went over the bound back to the owner.
func (p *pullCall) discardStale(ctx context.Context, late []Sample) {
	p.m.counters.stale.Add(int64(len(late)))
	lost := make([]*rolloutpb.Ready, 0, len(late))
	for _, s := range late {
		oldest := oldestVersion(s.Segments)
		p.m.parts.Log.Log(event.RolloutSampleStale, event.F("trainer", p.token.Trainer), event.F("step", p.token.Step), event.F("sample", s.ID), event.F("oldest", oldest))
		lost = append(lost, &rolloutpb.Ready{Id: int32(s.ID), Oldest: oldest})
	}
	p.discard(ctx, lost, true)
}

func (p *pullCall) discard(ctx context.Context, lost []*rolloutpb.Ready, stale bool) {
	_ = p.m.atOwner(ctx, keyOf(p.token), func(ctx context.Context, owner rolloutServer) error {
		_, err := owner.Discard(ctx, &rolloutpb.DiscardRequest{
			Trainer: p.token.Trainer,
			Step:    p.token.Step,
			Layout:  p.token.Layout,
			Samples: lost,
			Stale:   stale,
		})
		return err
	})
}

// record counts the delivered samples where they landed.
func (p *pullCall) record(samples []Sample) {
	p.m.counters.delivered.Add(int64(len(samples)))
	for range samples {
		p.m.parts.Recorder.Kept(alarm.VersionTags, p.token.Service)
		p.m.parts.Recorder.Kept(alarm.StalenessBound, p.token.Service)
		p.m.parts.Recorder.Kept(alarm.ExactlyOnce, p.token.Service)
	}
	p.m.sessions.keepToken(p.token)
}
