package rollout

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// defineStep starts a step that its trainer opened. A step that is already open is left
// as it is.
func (m *Manager) defineStep(ctx context.Context, d *rolloutpb.Definition) error {
	if d == nil {
		return invalidStep("it has no definition")
	}
	if err := m.checkNotDraining(); err != nil {
		return err
	}
	if err := m.sessions.check(ctx, d.Trainer, d.Epoch); err != nil {
		return err
	}
	s, started := m.startStep(d)
	if !started {
		s.touch()
		return nil
	}
	m.deps.Log.Log(event.RolloutStepOpened, event.F("trainer", d.Trainer), event.F("step", d.Step), event.F("samples", sampleCount(d)))
	go m.storeDefinition(d)
	m.replicate(ctx, d)
	return nil
}

// startStep returns the owned step of the definition and whether this call started it.
func (m *Manager) startStep(d *rolloutpb.Definition) (*step, bool) {
	key := keyOfDefinition(d)
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.steps[key]; ok {
		return s, false
	}
	s := newStep(m, key, d)
	m.steps[key] = s
	s.start()
	return s, true
}

// ownedStep returns the token's step. A daemon that does not own the step yet rebuilds it
// from its definition; runners report the samples that they still hold without
// generating them again.
func (m *Manager) ownedStep(ctx context.Context, t Token) (*step, error) {
	if err := m.checkNotDraining(); err != nil {
		return nil, err
	}
	key := keyOfToken(t)
	m.mu.Lock()
	s, ok := m.steps[key]
	m.mu.Unlock()
	if ok {
		return s, nil
	}
	d, err := m.findDefinition(ctx, key)
	if err != nil {
		return nil, err
	}
	if sampleCount(d) != t.Samples {
		return nil, invalidToken("its sample count does not match the step")
	}
	s, started := m.startStep(d)
	if started {
		m.counters.rebuilt.Add(1)
		m.deps.Log.Log(event.RolloutStepRebuilt, event.F("trainer", d.Trainer), event.F("step", d.Step), event.F("delivered", t.DeliveredCount()))
		m.storeCopy(d)
	}
	return s, nil
}

// collect waits until samples are ready that the token does not mark as delivered. The
// response is empty if the wait time ended.
func (m *Manager) collect(ctx context.Context, r *rolloutpb.CollectRequest) (*rolloutpb.CollectReply, error) {
	token, err := parseTokenBytes(r.Token)
	if err != nil {
		return nil, err
	}
	if err := m.sessions.check(ctx, token.Trainer, token.Epoch); err != nil {
		return nil, err
	}
	s, err := m.ownedStep(ctx, token)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, milliseconds(r.WaitMs))
	defer cancel()
	ready, err := s.awaitReady(ctx, token, r)
	if err != nil {
		return nil, err
	}
	return &rolloutpb.CollectReply{Ready: ready, Definition: withoutGroups(s.definition)}, nil
}

// confirm returns fault.Fenced for a pull that a newer pull or session superseded.
func (m *Manager) confirm(ctx context.Context, r *rolloutpb.ConfirmRequest) error {
	token, err := parseTokenBytes(r.Token)
	if err != nil {
		return err
	}
	if err := m.sessions.check(ctx, token.Trainer, token.Epoch); err != nil {
		return err
	}
	s, err := m.ownedStep(ctx, token)
	if err != nil {
		return err
	}
	return s.confirmPull(r.Pull)
}

// discard marks samples that could not be delivered as wanted again.
func (m *Manager) discard(r *rolloutpb.DiscardRequest) {
	m.mu.Lock()
	s, ok := m.steps[stepKey{trainer: r.Trainer, step: r.Step, layout: r.Layout}]
	m.mu.Unlock()
	if ok {
		s.discard(r.Samples, r.Stale)
	}
}

func supersededPullError() error {
	return fault.New(fault.Fenced, "a newer pull of the session is in progress", "use the newer pull's response", fault.WithOutcome(fault.NotRun))
}
