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
	maxResponseSamples = 256              // most samples in one response
	maxPullWait        = 10 * time.Minute // longest wait of a pull for its first sample
	collectInterval    = time.Second      // longest wait of one collect call at the owner
	ownerTimeout       = 3 * time.Second  // timeout of one call to a candidate owner
	ownerCandidates    = 3                // daemons tried as a step's owner, before this daemon itself
)

// OpenSession opens a new session of the trainer, which ends its older ones.
func (m *Manager) OpenSession(ctx context.Context, trainer string, request OpenSessionRequest) (Session, error) {
	if _, err := m.document(request.Service); err != nil {
		return Session{}, err
	}
	carried, err := carriedToken(trainer, request)
	if err != nil {
		return Session{}, err
	}
	record, err := m.sessions.open(ctx, trainer, request.Service)
	if err != nil {
		return Session{}, err
	}
	m.deps.Log.Log(event.RolloutSessionOpened, event.F("trainer", trainer), event.F("epoch", record.Epoch))
	session := Session{Trainer: trainer, Service: request.Service, Epoch: record.Epoch}
	if carried == nil {
		carried = storedToken(record, request.Service)
	}
	if carried != nil {
		session.Token = carried.WithEpoch(record.Epoch).String()
	}
	return session, nil
}

// carriedToken parses the older token that a trainer carries over into its new session,
// nil if there is none.
func carriedToken(trainer string, request OpenSessionRequest) (*Token, error) {
	if request.Token == "" {
		return nil, nil
	}
	token, err := ParseToken(request.Token)
	if err != nil {
		return nil, err
	}
	if token.Trainer != trainer || token.Service != request.Service {
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
	return fault.New(fault.Invalid, "the token belongs to another trainer or service", tokenRemedy, fault.WithOutcome(fault.NotRun))
}

// OpenStep opens a step. It is idempotent: a step that is already open with the same
// groups stays as it is.
func (m *Manager) OpenStep(ctx context.Context, trainer string, request OpenStepRequest) (Step, error) {
	doc, err := m.document(request.Service)
	if err != nil {
		return Step{}, err
	}
	if err := m.sessions.check(ctx, trainer, request.Epoch); err != nil {
		return Step{}, err
	}
	definition, err := newDefinition(trainer, request, doc, m.now())
	if err != nil {
		return Step{}, err
	}
	key := keyOfDefinition(definition)
	token := NewToken(trainer, request.Service, request.Step, request.Epoch, key.layout, sampleCount(definition))
	err = m.callOwner(ctx, key, func(ctx context.Context, owner ownerAPI) error {
		_, err := owner.Define(ctx, &rolloutpb.DefineRequest{Definition: definition})
		return err
	})
	if err != nil {
		return Step{}, err
	}
	return Step{Token: token.String(), Samples: token.Samples}, nil
}

// callOwner calls f with the step's owner. If a candidate owner is not reachable, it
// tries the next one in rendezvous order, and finally this daemon itself. An error that
// the owner itself returned ends the search.
func (m *Manager) callOwner(ctx context.Context, key stepKey, f func(context.Context, ownerAPI) error) error {
	for _, member := range m.suspects.suspectsLast(m.deps.View.Owners(key.placement(), ownerCandidates)) {
		if m.isSelf(member.PeerAddress) {
			break
		}
		client, err := m.client(ctx, member.PeerAddress)
		if err == nil {
			callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
			err = f(callCtx, remoteOwner{client})
			cancel()
		}
		if err == nil || isOwnerError(err) || ctx.Err() != nil {
			return err
		}
		m.suspects.add(member.PeerAddress)
		m.deps.Log.Log(event.RolloutOwnerUnreachable, event.F("owner", member.ID), event.Err(err))
	}
	return f(ctx, &service{m: m})
}

// isOwnerError reports whether err was returned by the owner itself, rather than caused
// by a failed call or a draining daemon.
func isOwnerError(err error) bool {
	switch fault.KindOf(err) {
	case fault.Internal, fault.Unavailable, fault.Draining, fault.Canceled, fault.Deadline, fault.Truncated:
		return false
	}
	return true
}

// pull serves one pull. It collects samples that the token does not mark as delivered,
// has the owner confirm the pull, and checks the staleness bound as the last step before
// it writes the response.
func (m *Manager) pull(ctx context.Context, trainer string, request PullRequest, w http.ResponseWriter) error {
	token, err := ParseToken(request.Token)
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
	m.hintVersion(doc.Pool, request.Version)
	p := &pullCall{
		m:        m,
		token:    token,
		request:  request,
		pullID:   newNonce(),
		deadline: m.now().Add(min(time.Duration(max(request.WaitMS, 0))*time.Millisecond, maxPullWait)),
	}
	return p.serve(ctx, w)
}

// pullCall is one pull in progress.
type pullCall struct {
	m        *Manager
	token    Token
	request  PullRequest
	pullID   string // identifies the pull at the owner
	deadline time.Time
}

// serve collects until there are samples to write or the wait time is over.
func (p *pullCall) serve(ctx context.Context, w http.ResponseWriter) error {
	for {
		reply, err := p.collect(ctx)
		if err != nil {
			return err
		}
		samples := p.fetch(ctx, reply)
		waiting := p.m.now().Before(p.deadline) && p.token.DeliveredCount() < p.token.Samples && !p.m.draining.Load()
		if len(samples) == 0 && waiting {
			continue
		}
		if err := p.confirm(ctx, samples); err != nil {
			return err
		}
		body, delivered, err := p.encodeWithinBound(ctx, reply, samples)
		if err != nil {
			return err
		}
		if len(delivered) == 0 && len(samples) > 0 && waiting {
			continue
		}
		writeBody(w, body)
		p.recordDelivered(delivered)
		return nil
	}
}

// encodeWithinBound encodes the response and then checks the staleness bound, as the
// last step before the write. It drops samples that exceed the bound, then encodes and
// checks the rest again.
func (p *pullCall) encodeWithinBound(ctx context.Context, reply *rolloutpb.CollectReply, samples []Sample) ([]byte, []Sample, error) {
	for {
		body, encoded, err := p.encode(samples)
		if err != nil {
			return nil, nil, err
		}
		stale := p.samplesOverBound(reply, encoded)
		if len(stale) == 0 {
			return body, encoded, nil
		}
		p.discardStale(ctx, stale)
		samples = without(encoded, stale)
	}
}

// without returns the samples that are not in dropped.
func without(samples, dropped []Sample) []Sample {
	droppedIDs := make(map[int]bool, len(dropped))
	for _, s := range dropped {
		droppedIDs[s.ID] = true
	}
	var rest []Sample
	for _, s := range samples {
		if !droppedIDs[s.ID] {
			rest = append(rest, s)
		}
	}
	return rest
}

// collect asks the owner for ready samples and waits at most collectInterval.
func (p *pullCall) collect(ctx context.Context) (*rolloutpb.CollectReply, error) {
	limit := p.request.Max
	if limit <= 0 || limit > maxResponseSamples {
		limit = maxResponseSamples
	}
	wait := min(max(p.deadline.Sub(p.m.now()), 0), collectInterval)
	var reply *rolloutpb.CollectReply
	err := p.m.callOwner(ctx, keyOfToken(p.token), func(ctx context.Context, owner ownerAPI) error {
		var err error
		reply, err = owner.Collect(ctx, &rolloutpb.CollectRequest{
			Token:   p.token.Bytes(),
			Pull:    p.pullID,
			Version: p.request.Version,
			Max:     int32(limit),
			WaitMs:  wait.Milliseconds(),
		})
		return err
	})
	return reply, err
}

// confirm checks with the owner that this is still the session's newest pull.
func (p *pullCall) confirm(ctx context.Context, samples []Sample) error {
	request := &rolloutpb.ConfirmRequest{Token: p.token.Bytes(), Pull: p.pullID}
	for _, s := range samples {
		request.Delivered = append(request.Delivered, int32(s.ID))
	}
	err := p.m.callOwner(ctx, keyOfToken(p.token), func(ctx context.Context, owner ownerAPI) error {
		_, err := owner.Confirm(ctx, request)
		return err
	})
	if err != nil {
		return err
	}
	return p.m.sessions.checkKnown(p.token.Trainer, p.token.Epoch)
}

// encode encodes the response. It leaves out samples that the token already marks as
// delivered, and returns the samples that it includes.
func (p *pullCall) encode(samples []Sample) ([]byte, []Sample, error) {
	var accepted []Sample
	var ids []int
	token := p.token
	for _, s := range samples {
		if token.IsDelivered(s.ID) || s.ID < 0 || s.ID >= token.Samples {
			p.m.deps.Log.Log(event.RolloutDuplicateBlocked, event.F("trainer", token.Trainer), event.F("step", token.Step), event.F("sample", s.ID))
			continue
		}
		token = token.WithDelivered(s.ID)
		accepted = append(accepted, s)
		ids = append(ids, s.ID)
	}
	next := p.token.WithDelivered(ids...)
	response := PullResponse{Samples: accepted, Token: next.String(), Remaining: next.Samples - next.DeliveredCount()}
	if response.Samples == nil {
		response.Samples = []Sample{}
	}
	body, err := encode(response)
	return body, accepted, err
}

// samplesOverBound returns the samples that exceed the staleness bound now.
func (p *pullCall) samplesOverBound(reply *rolloutpb.CollectReply, samples []Sample) []Sample {
	doc, err := p.m.document(p.token.Service)
	if err != nil {
		return nil
	}
	bound := min(int64(reply.Definition.Bound), int64(doc.Samples.StalenessBound))
	newest := max(p.request.Version, p.m.newestVersion(doc.Pool))
	var stale []Sample
	for _, s := range samples {
		if newest-oldestVersion(s.Segments) > bound {
			stale = append(stale, s)
		}
	}
	return stale
}

// discardStale returns to the owner the samples that exceed the bound.
func (p *pullCall) discardStale(ctx context.Context, stale []Sample) {
	p.m.counters.staleDropped.Add(int64(len(stale)))
	refs := make([]*rolloutpb.Ready, 0, len(stale))
	for _, s := range stale {
		oldest := oldestVersion(s.Segments)
		p.m.deps.Log.Log(event.RolloutSampleStale, event.F("trainer", p.token.Trainer), event.F("step", p.token.Step), event.F("sample", s.ID), event.F("oldest", oldest))
		refs = append(refs, &rolloutpb.Ready{Id: int32(s.ID), Oldest: oldest})
	}
	p.returnToOwner(ctx, refs, true)
}

func (p *pullCall) returnToOwner(ctx context.Context, discarded []*rolloutpb.Ready, stale bool) {
	_ = p.m.callOwner(ctx, keyOfToken(p.token), func(ctx context.Context, owner ownerAPI) error {
		_, err := owner.Discard(ctx, &rolloutpb.DiscardRequest{
			Trainer: p.token.Trainer,
			Step:    p.token.Step,
			Layout:  p.token.LayoutHash,
			Samples: discarded,
			Stale:   stale,
		})
		return err
	})
}

// recordDelivered counts the delivered samples and stores the token that the trainer
// presented.
func (p *pullCall) recordDelivered(samples []Sample) {
	p.m.counters.delivered.Add(int64(len(samples)))
	for range samples {
		p.m.deps.Recorder.Kept(alarm.VersionTags, p.token.Service)
		p.m.deps.Recorder.Kept(alarm.StalenessBound, p.token.Service)
		p.m.deps.Recorder.Kept(alarm.ExactlyOnce, p.token.Service)
	}
	p.m.sessions.storeTokenAsync(p.token)
}
