package rollout

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// ownerAPI is the part of the drpc service that the daemon serving a trainer's call uses
// on the step's owner, which may be the daemon itself.
type ownerAPI interface {
	Define(context.Context, *rolloutpb.DefineRequest) (*rolloutpb.Reply, error)
	Collect(context.Context, *rolloutpb.CollectRequest) (*rolloutpb.CollectReply, error)
	Confirm(context.Context, *rolloutpb.ConfirmRequest) (*rolloutpb.Reply, error)
	Discard(context.Context, *rolloutpb.DiscardRequest) (*rolloutpb.Reply, error)
}

// remoteOwner is an owner on another daemon.
type remoteOwner struct {
	rolloutpb.DRPCRolloutClient
}

// service implements the drpc service of a Manager.
type service struct {
	m *Manager
}

// Define starts a step on this daemon as its owner.
func (s *service) Define(ctx context.Context, r *rolloutpb.DefineRequest) (*rolloutpb.Reply, error) {
	return &rolloutpb.Reply{}, s.m.defineStep(ctx, r.Definition)
}

// Keep stores a copy of a definition.
func (s *service) Keep(_ context.Context, r *rolloutpb.DefineRequest) (*rolloutpb.Reply, error) {
	s.m.storeCopy(r.Definition)
	return &rolloutpb.Reply{}, nil
}

// Lookup returns this daemon's copy of a definition, if any.
func (s *service) Lookup(_ context.Context, r *rolloutpb.LookupRequest) (*rolloutpb.LookupReply, error) {
	key := stepKey{trainer: r.Trainer, step: r.Step, layout: r.Layout}
	return &rolloutpb.LookupReply{Definition: s.m.localDefinition(key)}, nil
}

// Collect waits for ready samples that the token does not mark as delivered.
func (s *service) Collect(ctx context.Context, r *rolloutpb.CollectRequest) (*rolloutpb.CollectReply, error) {
	return s.m.collect(ctx, r)
}

// Confirm returns fault.Fenced for a pull that a newer pull or session superseded.
func (s *service) Confirm(ctx context.Context, r *rolloutpb.ConfirmRequest) (*rolloutpb.Reply, error) {
	return &rolloutpb.Reply{}, s.m.confirm(ctx, r)
}

// Discard marks samples that could not be delivered as wanted again.
func (s *service) Discard(_ context.Context, r *rolloutpb.DiscardRequest) (*rolloutpb.Reply, error) {
	s.m.discard(r)
	return &rolloutpb.Reply{}, nil
}

// Run runs one group and streams its events.
func (s *service) Run(r *rolloutpb.RunRequest, stream rolloutpb.DRPCRollout_RunStream) error {
	return s.m.runner.run(stream.Context(), r, stream.Send)
}

// Fetch streams the requested payloads that this daemon holds.
func (s *service) Fetch(r *rolloutpb.FetchRequest, stream rolloutpb.DRPCRollout_FetchStream) error {
	for _, payload := range s.m.runner.payloads(r) {
		if err := stream.Send(payload); err != nil {
			return err
		}
	}
	return nil
}

// Release drops payloads that the trainer has.
func (s *service) Release(_ context.Context, r *rolloutpb.FetchRequest) (*rolloutpb.Reply, error) {
	s.m.runner.release(r)
	return &rolloutpb.Reply{}, nil
}

// Adopt stores finished samples of a draining runner.
func (s *service) Adopt(_ context.Context, r *rolloutpb.AdoptRequest) (*rolloutpb.Reply, error) {
	return &rolloutpb.Reply{}, s.m.runner.adopt(r)
}

// Fence records a trainer's newest epoch.
func (s *service) Fence(_ context.Context, r *rolloutpb.FenceRequest) (*rolloutpb.Reply, error) {
	s.m.sessions.raiseEpoch(r.Trainer, r.Epoch)
	return &rolloutpb.Reply{}, nil
}

// milliseconds converts a millisecond count of a message to a duration.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
