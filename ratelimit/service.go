package ratelimit

import (
	"context"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/ratelimit/ratelimitpb"
)

// Register adds the drpc service through which other daemons ask for permits.
func (m *Manager) Register(mux drpc.Mux) error {
	return ratelimitpb.DRPCRegisterRateLimit(mux, service{m})
}

// callOwner asks the owner at an address for a permit.
func (m *Manager) callOwner(ctx context.Context, address string, request *ratelimitpb.PermitRequest) (*ratelimitpb.PermitAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	conn, err := m.Conns.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return ratelimitpb.NewDRPCRateLimitClient(conn).Permit(ctx, request)
}

// service implements the drpc service for other daemons.
type service struct{ m *Manager }

// Permit implements ratelimitpb.DRPCRateLimitServer.
func (s service) Permit(_ context.Context, request *ratelimitpb.PermitRequest) (*ratelimitpb.PermitAnswer, error) {
	if request.Limit == nil || request.Limit.Replica == "" {
		return nil, fault.New(fault.Invalid, "the request names no replica", "report this defect", fault.WithOutcome(fault.NotRun))
	}
	if s.m.limits.merge(request.Limit) {
		s.m.notify()
	}
	id := request.Limit.Replica
	wait, granted := s.m.permit(id, request.Limit.StartedMs, int(request.Rank), request.Deferrable)
	return &ratelimitpb.PermitAnswer{Granted: granted, WaitMs: wait.Milliseconds() + 1, Limit: s.m.limits.encode(id)}, nil
}
