package rollout

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

const (
	definitionCopies = 3               // daemons that hold a step's definition, the owner included
	lookupMembers    = 8               // daemons asked for it
	storeTimeout     = 5 * time.Second // all tries to store it
	storeRetry       = 500 * time.Millisecond
	definitionLife   = 6 * time.Hour // older objects are deleted when their trainer opens a step
)

// keep stores a copy of a definition.
func (m *Manager) keep(d *rolloutpb.Definition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kept[keyOfDefinition(d)] = &keptDefinition{definition: d, used: m.now()}
}

// lookupLocal returns this daemon's copy of a definition, or nil.
func (m *Manager) lookupLocal(key stepKey) *rolloutpb.Definition {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.steps[key]; ok {
		return s.definition
	}
	if k, ok := m.kept[key]; ok {
		k.used = m.now()
		return k.definition
	}
	return nil
}

// copyHolders returns the daemons that hold copies of a step's definition: the first
// in line of rendezvous order, each in another failure domain as far as there are any.
func (m *Manager) copyHolders(key stepKey) []fleet.Member {
	line := m.parts.View.Owners(key.placement(), len(m.parts.View.Members()))
	var holders, rest []fleet.Member
	domains := map[string]bool{}
	for _, member := range line {
		if domains[member.FailureDomain] {
			rest = append(rest, member)
			continue
		}
		domains[member.FailureDomain] = true
		holders = append(holders, member)
	}
	holders = append(holders, rest...)
	return holders[:min(len(holders), definitionCopies)]
}

// replicate gives the definition to the other copy holders and returns when each has
// it or was not reached.
func (m *Manager) replicate(ctx context.Context, d *rolloutpb.Definition) {
	m.keep(d)
	var waiting sync.WaitGroup
	for _, member := range m.copyHolders(keyOfDefinition(d)) {
		if m.isSelf(member.PeerAddress) {
			continue
		}
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			m.callMember(ctx, member, func(ctx context.Context, client rolloutpb.DRPCRolloutClient) {
				_, _ = client.Keep(ctx, &rolloutpb.DefineRequest{Definition: d})
			})
		}()
	}
	waiting.Wait()
}

// storeDefinition writes the definition to the object API. It retries for a while and
// gives up with a log entry, since copies on other daemons remain.
func (m *Manager) storeDefinition(d *rolloutpb.Definition) {
	ctx, cancel := context.WithTimeout(m.life, storeTimeout)
	defer cancel()
	value, err := proto.Marshal(d)
	if err != nil {
		return
	}
	key := keyOfDefinition(d)
	for {
		err = m.storeOnce(ctx, key, value)
		if err == nil {
			m.deleteOld(ctx, d.Trainer)
			return
		}
		select {
		case <-ctx.Done():
			m.parts.Log.Log(event.RolloutDefinitionStore, event.F("trainer", d.Trainer), event.F("step", d.Step), event.Err(err))
			return
		case <-time.After(storeRetry):
		}
	}
}

// storeOnce creates the object, or replaces one of another layout.
func (m *Manager) storeOnce(ctx context.Context, key stepKey, value []byte) error {
	current, err := m.parts.Store.Get(ctx, key.object())
	if fault.Is(err, fault.NotFound) {
		_, err = m.parts.Store.Create(ctx, key.object(), value)
		return err
	}
	if err != nil {
		return err
	}
	var stored rolloutpb.Definition
	if proto.Unmarshal(current.Value, &stored) == nil && keyOfDefinition(&stored) == key {
		return nil
	}
	_, err = m.parts.Store.Update(ctx, key.object(), value, current.Version)
	return err
}

// deleteOld deletes the trainer's definitions that are past their life.
func (m *Manager) deleteOld(ctx context.Context, trainer string) {
	found, err := m.parts.Store.List(ctx, "steps/"+trainer+"/")
	if err != nil {
		return
	}
	oldest := m.now().Add(-definitionLife).UnixMilli()
	for _, object := range found.Objects {
		var d rolloutpb.Definition
		if proto.Unmarshal(object.Value, &d) == nil && d.OpenedMs < oldest {
			_ = m.parts.Store.Delete(ctx, object.Key, object.Version)
		}
	}
}

// findDefinition returns a step's definition from this daemon, another one or the
// object API. Errors: fault.NotFound, not run.
func (m *Manager) findDefinition(ctx context.Context, key stepKey) (*rolloutpb.Definition, error) {
	if d := m.lookupLocal(key); d != nil {
		return d, nil
	}
	if d := m.askDefinition(ctx, key); d != nil {
		return d, nil
	}
	readCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	object, err := m.parts.Store.Get(readCtx, key.object())
	if d := decodeDefinition(object, key); err == nil && d != nil {
		return d, nil
	}
	return nil, fault.New(fault.NotFound, "no daemon and no object holds the step's prompts", "open the step again with the same groups, then pull with the token",
		fault.WithOutcome(fault.NotRun))
}

func decodeDefinition(object objectapi.Object, key stepKey) *rolloutpb.Definition {
	var d rolloutpb.Definition
	if len(object.Value) == 0 || proto.Unmarshal(object.Value, &d) != nil || keyOfDefinition(&d) != key {
		return nil
	}
	return &d
}

// askDefinition asks the daemons that are first in line for the step, all at once.
func (m *Manager) askDefinition(ctx context.Context, key stepKey) *rolloutpb.Definition {
	request := &rolloutpb.LookupRequest{Trainer: key.trainer, Step: key.step, Layout: key.layout}
	asked := m.parts.View.Owners(key.placement(), lookupMembers)
	answers := make(chan *rolloutpb.Definition, len(asked))
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	waiting := 0
	for _, member := range asked {
		if m.isSelf(member.PeerAddress) {
			continue
		}
		waiting++
		go func() {
			var found *rolloutpb.Definition
			m.callMember(ctx, member, func(ctx context.Context, client rolloutpb.DRPCRolloutClient) {
				if reply, err := client.Lookup(ctx, request); err == nil {
					found = reply.Definition
				}
			})
			answers <- found
		}()
	}
	for range waiting {
		if d := <-answers; d != nil && keyOfDefinition(d) == key {
			return d
		}
	}
	return nil
}
