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
	drainPoll    = 20 * time.Millisecond // between two looks at the groups in progress
	adoptBytes   = 1 << 20               // payloads in one message
	adoptTimeout = 2 * time.Second       // one such message
)

// Drain hands this daemon's part over before it stops: owned steps are left to the
// next daemons in line, groups in progress finish until ctx ends, and their finished
// samples go to the runners that are next in line.
func (m *Manager) Drain(ctx context.Context) {
	m.draining.Store(true)
	m.runner.refuse()
	for _, s := range m.ownedSteps() {
		m.forgetStep(s)
	}
	m.awaitGroups(ctx)
	for _, r := range m.runner.handover() {
		m.handOver(ctx, r)
	}
}

// refuseDraining refuses to own steps once this daemon drains.
func (m *Manager) refuseDraining() error {
	if !m.draining.Load() {
		return nil
	}
	return fault.New(fault.Draining, "this daemon is stopping", "call another daemon", fault.WithOutcome(fault.NotRun))
}

func (m *Manager) awaitGroups(ctx context.Context) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for m.runner.inProgress() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// handOver gives finished samples of a group to the first other daemon in line that
// takes them. What none takes is generated again.
func (m *Manager) handOver(ctx context.Context, r *rolloutpb.AdoptRequest) {
	key := stepKey{trainer: r.Definition.Trainer, step: r.Definition.Step}
	placement := key.placement() + "/" + r.Definition.Groups[0].Id
	for _, member := range m.parts.View.Owners(placement, ownerRetries) {
		if m.isSelf(member.PeerAddress) {
			continue
		}
		if m.adoptOn(ctx, member, r) == nil {
			return
		}
	}
}

func (m *Manager) adoptOn(ctx context.Context, member fleet.Member, r *rolloutpb.AdoptRequest) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	client, err := m.client(ctx, member.PeerAddress)
	if err != nil {
		return err
	}
	_, err = client.Adopt(ctx, r)
	return err
}

// refuse makes the runner take no more groups.
func (r *runner) refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drain = true
}

// inProgress returns how many samples an owner waits for.
func (r *runner) inProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, j := range r.jobs {
		if j.awaited() {
			count++
		}
	}
	return count
}

// handover returns the held payloads by group, in messages of bounded size.
func (r *runner) handover() []*rolloutpb.AdoptRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := map[groupKey]*rolloutpb.AdoptRequest{}
	var all []*rolloutpb.AdoptRequest
	for _, j := range r.jobs {
		if !j.finished() {
			continue
		}
		request := open[j.group.key]
		if request == nil || proto.Size(request) > adoptBytes {
			request = &rolloutpb.AdoptRequest{Definition: j.group.definition, Layout: j.group.key.step.layout}
			open[j.group.key] = request
			all = append(all, request)
		}
		request.Payloads = append(request.Payloads, payloadOf(j.sample))
	}
	return all
}

// adopt holds finished samples of another runner, unless they are known here already.
func (r *runner) adopt(request *rolloutpb.AdoptRequest) error {
	g := newGroupRun(r, &rolloutpb.RunRequest{Definition: request.Definition, Layout: request.Layout})
	if g == nil {
		return invalidStep("the payloads name no group")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drain {
		return fault.New(fault.Draining, "this daemon is stopping", "hand over to another", fault.WithOutcome(fault.NotRun))
	}
	for _, payload := range request.Payloads {
		sample := sampleOf(payload)
		key := jobKey{step: g.key.step, id: payload.Id}
		if _, known := r.jobs[key]; known || checkTags(sample.Tokens, sample.Segments) != nil {
			continue
		}
		r.jobs[key] = finishedJob(r.m, g, sample)
	}
	return nil
}

// finishedJob returns the job of a sample that another runner generated.
func finishedJob(m *Manager, g *groupRun, sample Sample) *job {
	j := newJob(m, g, int32(sample.ID))
	j.sample = sample
	j.ok = true
	j.oldest = oldestVersion(sample.Segments)
	close(j.done)
	return j
}
