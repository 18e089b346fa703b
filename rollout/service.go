package rollout

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// rolloutServer is the part of the drpc service that a front calls on an owner, which
// may be this daemon itself.
type rolloutServer interface {
	Define(context.Context, *rolloutpb.DefineRequest) (*rolloutpb.Reply, error)
	Collect(context.Context, *rolloutpb.CollectRequest) (*rolloutpb.CollectReply, error)
	Confirm(context.Context, *rolloutpb.ConfirmRequest) (*rolloutpb.Reply, error)
	Discard(context.Context, *rolloutpb.DiscardRequest) (*rolloutpb.Reply, error)
}

// remoteServer is an owner on another daemon.
type remoteServer struct {
	rolloutpb.DRPCRolloutClient
}

// service is the drpc side of a Manager.
type service struct {
	m *Manager
}

// Define starts a step at its owner.
func (s *service) Define(ctx context.Context, r *rolloutpb.DefineRequest) (*rolloutpb.Reply, error) {
	return &rolloutpb.Reply{}, s.m.defineStep(ctx, r.Definition)
}

// Keep stores a copy of a definition.
func (s *service) Keep(_ context.Context, r *rolloutpb.DefineRequest) (*rolloutpb.Reply, error) {
	s.m.keep(r.Definition)
	return &rolloutpb.Reply{}, nil
}

// Lookup returns a copy of a definition.
func (s *service) Lookup(_ context.Context, r *rolloutpb.LookupRequest) (*rolloutpb.LookupReply, error) {
	key := stepKey{trainer: r.Trainer, step: r.Step, layout: r.Layout}
	return &rolloutpb.LookupReply{Definition: s.m.lookupLocal(key)}, nil
}

// Collect waits for samples that the token does not hold.
func (s *service) Collect(ctx context.Context, r *rolloutpb.CollectRequest) (*rolloutpb.CollectReply, error) {
	return s.m.collect(ctx, r)
}

// Confirm says whether a pull may be answered.
func (s *service) Confirm(ctx context.Context, r *rolloutpb.ConfirmRequest) (*rolloutpb.Reply, error) {
	return &rolloutpb.Reply{}, s.m.confirm(ctx, r)
}

// Discard takes back samples that can't be delivered.
func (s *service) Discard(_ context.Context, r *rolloutpb.DiscardRequest) (*rolloutpb.Reply, error) {
	s.m.discard(r)
	return &rolloutpb.Reply{}, nil
}

// Run runs one group.
func (s *service) Run(r *rolloutpb.RunRequest, stream rolloutpb.DRPCRollout_RunStream) error {
	return s.m.runner.run(stream.Context(), r, stream.Send)
}

// Fetch streams payloads.
func (s *service) Fetch(r *rolloutpb.FetchRequest, stream rolloutpb.DRPCRollout_FetchStream) error {
	for _, payload := range s.m.runner.payloads(r) {
		if err := stream.Send(payload); err != nil {
			return err
		}
	}
	return nil
}

// Release frees payloads.
func (s *service) Release(_ context.Context, r *rolloutpb.FetchRequest) (*rolloutpb.Reply, error) {
	s.m.runner.release(r)
	return &rolloutpb.Reply{}, nil
}

// Adopt takes over finished samples.
func (s *service) Adopt(_ context.Context, r *rolloutpb.AdoptRequest) (*rolloutpb.Reply, error) {
	return &rolloutpb.Reply{}, s.m.runner.adopt(r)
}

// Fence takes in a trainer's newest epoch.
func (s *service) Fence(_ context.Context, r *rolloutpb.FenceRequest) (*rolloutpb.Reply, error) {
	s.m.sessions.raise(r.Trainer, r.Epoch)
	return &rolloutpb.Reply{}, nil
}

// milliseconds returns a duration from a count in a message.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
