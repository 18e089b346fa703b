package rollout

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

const (
	drainPollInterval = 20 * time.Millisecond // interval between checks for samples in progress
	maxAdoptBytes     = 1 << 20               // a message of payloads is closed once it exceeds this size
	adoptTimeout      = 2 * time.Second       // one call that sends such a message
)

// Drain hands over this daemon's work before it stops. It removes owned steps, which
// the next daemons in rendezvous order take over, lets samples in progress finish until
// ctx ends, and sends finished samples to the next runners in rendezvous order.
func (m *Manager) Drain(ctx context.Context) {
	m.draining.Store(true)
	m.runner.refuseRuns()
	for _, s := range m.ownedSteps() {
		m.removeStep(s)
	}
	m.awaitSamples(ctx)
	for _, r := range m.runner.adoptRequests() {
		m.handOverGroup(ctx, r)
	}
}

// checkNotDraining returns fault.Draining once this daemon drains, because it no longer
// owns steps.
func (m *Manager) checkNotDraining() error {
	if !m.draining.Load() {
		return nil
	}
	return fault.New(fault.Draining, "this daemon is stopping", "call another daemon", fault.WithOutcome(fault.NotRun))
}

func (m *Manager) awaitSamples(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for m.runner.awaitedSamples() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// handOverGroup sends finished samples of a group to the first other daemon in
// rendezvous order that accepts them. Samples that no daemon accepts are generated
// again.
func (m *Manager) handOverGroup(ctx context.Context, r *rolloutpb.AdoptRequest) {
	key := stepKey{trainer: r.Definition.Trainer, step: r.Definition.Step}
	placement := key.placement() + "/" + r.Definition.Groups[0].Id
	for _, member := range m.deps.View.Owners(placement, ownerCandidates) {
		if m.isSelf(member.PeerAddress) {
			continue
		}
		if m.sendAdopt(ctx, member, r) == nil {
			return
		}
	}
}

func (m *Manager) sendAdopt(ctx context.Context, member fleet.Member, r *rolloutpb.AdoptRequest) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	client, err := m.client(ctx, member.PeerAddress)
	if err != nil {
		return err
	}
	_, err = client.Adopt(ctx, r)
	return err
}

// refuseRuns makes the runner refuse further groups.
func (r *runner) refuseRuns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// awaitedSamples returns the number of samples in progress that an owner waits for.
func (r *runner) awaitedSamples() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, j := range r.jobs {
		if j.isAwaited() {
			count++
		}
	}
	return count
}

// adoptRequests returns the held payloads by group, split into messages of about
// maxAdoptBytes.
func (r *runner) adoptRequests() []*rolloutpb.AdoptRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := map[groupKey]*rolloutpb.AdoptRequest{}
	var requests []*rolloutpb.AdoptRequest
	for _, j := range r.jobs {
		if !j.isFinished() {
			continue
		}
		request := current[j.group.key]
		if request == nil || proto.Size(request) > maxAdoptBytes {
			request = &rolloutpb.AdoptRequest{Definition: j.group.definition, Layout: j.group.key.step.layout}
			current[j.group.key] = request
			requests = append(requests, request)
		}
		request.Payloads = append(request.Payloads, payloadFromSample(j.sample))
	}
	return requests
}

// adopt stores finished samples of another runner, except those that this runner
// already has a job for.
func (r *runner) adopt(request *rolloutpb.AdoptRequest) error {
	g := newGroupRun(r, &rolloutpb.RunRequest{Definition: request.Definition, Layout: request.Layout})
	if g == nil {
		return invalidStep("the payloads have no group")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return fault.New(fault.Draining, "this daemon is stopping", "hand over to another daemon", fault.WithOutcome(fault.NotRun))
	}
	for _, payload := range request.Payloads {
		sample := sampleFromPayload(payload)
		key := jobKey{step: g.key.step, id: payload.Id}
		if _, known := r.jobs[key]; known || checkVersionTags(sample.Tokens, sample.Segments) != nil {
			continue
		}
		r.jobs[key] = finishedJob(r.m, g, sample)
	}
	return nil
}

// finishedJob returns a finished job for a sample that another runner generated.
func finishedJob(m *Manager, g *groupRun, sample Sample) *job {
	j := newJob(m, g, int32(sample.ID))
	j.sample = sample
	j.hasSample = true
	j.oldest = oldestVersion(sample.Segments)
	close(j.done)
	return j
}
