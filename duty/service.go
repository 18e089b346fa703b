package duty

import (
	"context"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/duty/dutypb"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Register adds the drpc service through which other daemons find out which of them holds the duty.
func (m *Manager) Register(mux drpc.Mux) error { return dutypb.DRPCRegisterDuty(mux, service{m}) }

// queryStatus asks the daemon at an address whether it holds the duty.
func (m *Manager) queryStatus(ctx context.Context, address string) (bool, error) {
	conn, err := m.Conns.Conn(ctx, address)
	if err != nil {
		return false, err
	}
	status, err := dutypb.NewDRPCDutyClient(conn).Status(ctx, &dutypb.StatusRequest{})
	if err != nil {
		return false, err
	}
	return status.Holds, nil
}

// service implements the drpc service for other daemons.
type service struct{ m *Manager }

// Status implements dutypb.DRPCDutyServer. It fails once Run has ended: a daemon that drains answers calls
// for seconds, and the candidates behind it take the lease only if it does not respond.
func (s service) Status(context.Context, *dutypb.StatusRequest) (*dutypb.StatusAnswer, error) {
	if s.m.ended.Load() {
		return nil, fault.New(fault.Unavailable, "this daemon is stopping", "query the next candidate")
	}
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	return &dutypb.StatusAnswer{Holds: s.m.lease.IsHolder(), LastAccepted: s.m.last}, nil
}
