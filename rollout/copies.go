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
	definitionCopies = 3               // daemons that hold a step's definition, including the owner
	lookupCandidates = 8               // daemons asked for a definition
	storeTimeout     = 5 * time.Second // limit for all attempts to store a definition
	storeRetryDelay  = 500 * time.Millisecond
	definitionTTL    = 6 * time.Hour // older definitions are deleted when their trainer opens a step
)

// storeCopy stores a copy of a definition on this daemon.
func (m *Manager) storeCopy(d *rolloutpb.Definition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copies[keyOfDefinition(d)] = &definitionCopy{definition: d, lastUsed: m.now()}
}

// localDefinition returns this daemon's copy of a definition, or nil.
func (m *Manager) localDefinition(key stepKey) *rolloutpb.Definition {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.steps[key]; ok {
		return s.definition
	}
	if c, ok := m.copies[key]; ok {
		c.lastUsed = m.now()
		return c.definition
	}
	return nil
}

// copyHolders returns the daemons that hold copies of a step's definition: the first
// ones in rendezvous order, spread over as many failure domains as possible.
func (m *Manager) copyHolders(key stepKey) []fleet.Member {
	ranked := m.deps.View.Owners(key.placement(), len(m.deps.View.Members()))
	var holders, rest []fleet.Member
	domains := map[string]bool{}
	for _, member := range ranked {
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

// replicate stores the definition on this daemon and on the other copy holders. It returns
// when each call to them has succeeded or failed.
func (m *Manager) replicate(ctx context.Context, d *rolloutpb.Definition) {
	m.storeCopy(d)
	var wg sync.WaitGroup
	for _, member := range m.copyHolders(keyOfDefinition(d)) {
		if m.isSelf(member.PeerAddress) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.callMember(ctx, member, func(ctx context.Context, client rolloutpb.DRPCRolloutClient) {
				_, _ = client.Keep(ctx, &rolloutpb.DefineRequest{Definition: d})
			})
		}()
	}
	wg.Wait()
}

// storeDefinition writes the definition to the object API, with retries for at most
// storeTimeout. It only logs a failure, because copies on other daemons remain.
func (m *Manager) storeDefinition(d *rolloutpb.Definition) {
	ctx, cancel := context.WithTimeout(m.baseCtx, storeTimeout)
	defer cancel()
	value, err := proto.Marshal(d)
	if err != nil {
		return
	}
	key := keyOfDefinition(d)
	for {
		err = m.storeOnce(ctx, key, value)
		if err == nil {
			m.deleteExpired(ctx, d.Trainer)
			return
		}
		select {
		case <-ctx.Done():
			m.deps.Log.Log(event.RolloutDefinitionNotStored, event.F("trainer", d.Trainer), event.F("step", d.Step), event.Err(err))
			return
		case <-time.After(storeRetryDelay):
		}
	}
}

// storeOnce creates the object, or replaces it if it has another layout.
func (m *Manager) storeOnce(ctx context.Context, key stepKey, value []byte) error {
	current, err := m.deps.ObjectStore.Get(ctx, key.object())
	if fault.Is(err, fault.NotFound) {
		_, err = m.deps.ObjectStore.Create(ctx, key.object(), value)
		return err
	}
	if err != nil {
		return err
	}
	var stored rolloutpb.Definition
	if proto.Unmarshal(current.Value, &stored) == nil && keyOfDefinition(&stored) == key {
		return nil
	}
	_, err = m.deps.ObjectStore.Update(ctx, key.object(), value, current.Version)
	return err
}

// deleteExpired deletes the trainer's definitions that are older than definitionTTL.
func (m *Manager) deleteExpired(ctx context.Context, trainer string) {
	found, err := m.deps.ObjectStore.List(ctx, "steps/"+trainer+"/")
	if err != nil {
		return
	}
	cutoff := m.now().Add(-definitionTTL).UnixMilli()
	for _, object := range found.Objects {
		var d rolloutpb.Definition
		if proto.Unmarshal(object.Value, &d) == nil && d.OpenedMs < cutoff {
			_ = m.deps.ObjectStore.Delete(ctx, object.Key, object.Version)
		}
	}
}

// findDefinition returns a step's definition from this daemon, another daemon or the
// object API, in this order. Error: fault.NotFound with outcome not run.
func (m *Manager) findDefinition(ctx context.Context, key stepKey) (*rolloutpb.Definition, error) {
	if d := m.localDefinition(key); d != nil {
		return d, nil
	}
	if d := m.lookupRemote(ctx, key); d != nil {
		return d, nil
	}
	readCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	object, err := m.deps.ObjectStore.Get(readCtx, key.object())
	if d := decodeDefinition(object, key); err == nil && d != nil {
		return d, nil
	}
	return nil, fault.New(fault.NotFound, "neither a daemon nor the object API holds the step's prompts", "open the step again with the same groups, then pull with the token",
		fault.WithOutcome(fault.NotRun))
}

func decodeDefinition(object objectapi.Object, key stepKey) *rolloutpb.Definition {
	var d rolloutpb.Definition
	if len(object.Value) == 0 || proto.Unmarshal(object.Value, &d) != nil || keyOfDefinition(&d) != key {
		return nil
	}
	return &d
}

// lookupRemote asks the daemons that rank first for the step concurrently and returns
// the first copy found, or nil.
func (m *Manager) lookupRemote(ctx context.Context, key stepKey) *rolloutpb.Definition {
	request := &rolloutpb.LookupRequest{Trainer: key.trainer, Step: key.step, Layout: key.layout}
	members := m.deps.View.Owners(key.placement(), lookupCandidates)
	replies := make(chan *rolloutpb.Definition, len(members))
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	pending := 0
	for _, member := range members {
		if m.isSelf(member.PeerAddress) {
			continue
		}
		pending++
		go func() {
			var found *rolloutpb.Definition
			m.callMember(ctx, member, func(ctx context.Context, client rolloutpb.DRPCRolloutClient) {
				if reply, err := client.Lookup(ctx, request); err == nil {
					found = reply.Definition
				}
			})
			replies <- found
		}()
	}
	for range pending {
		if d := <-replies; d != nil && keyOfDefinition(d) == key {
			return d
		}
	}
	return nil
}
