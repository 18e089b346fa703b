package rollout

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// defineStep starts a step that its trainer opened, or finds it again.
func (m *Manager) defineStep(ctx context.Context, d *rolloutpb.Definition) error {
	if d == nil {
		return invalidStep("it has no definition")
	}
	if err := m.refuseDraining(); err != nil {
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
	m.parts.Log.Log(event.RolloutStepOpened, event.F("trainer", d.Trainer), event.F("step", d.Step), event.F("samples", sampleCount(d)))
	go m.storeDefinition(d)
	m.replicate(ctx, d)
	return nil
}

// startStep returns the owned step of the definition and whether it was started now.
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

// ownedStep returns the token's step. A daemon that does not own it yet rebuilds it
// from its definition; the samples that runners still hold are found again by them.
func (m *Manager) ownedStep(ctx context.Context, t Token) (*step, error) {
	if err := m.refuseDraining(); err != nil {
		return nil, err
	}
	key := keyOf(t)
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
		return nil, invalidToken("its sample count is not the step's")
	}
	s, started := m.startStep(d)
	if started {
		m.counters.rebuilt.Add(1)
		m.parts.Log.Log(event.RolloutStepRebuilt, event.F("trainer", d.Trainer), event.F("step", d.Step), event.F("delivered", t.Delivered()))
		m.keep(d)
	}
	return s, nil
}

// collect waits until samples are ready that the token does not hold. An empty reply
// means that the wait ended.
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
	ready, err := s.await(ctx, token, r)
	if err != nil {
		return nil, err
	}
	return &rolloutpb.CollectReply{Ready: ready, Definition: withoutGroups(s.definition)}, nil
}

// confirm refuses the answer of a pull that a newer pull or session ended.
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

// discard makes samples wanted again that could not be delivered.
func (m *Manager) discard(r *rolloutpb.DiscardRequest) {
	m.mu.Lock()
	s, ok := m.steps[stepKey{trainer: r.Trainer, step: r.Step, layout: r.Layout}]
	m.mu.Unlock()
	if ok {
		s.discard(r.Samples, r.Stale)
	}
}

func supersededPull() error {
	return fault.New(fault.Fenced, "a newer pull of the session is in progress", "use the newer pull's answer", fault.WithOutcome(fault.NotRun))
}
