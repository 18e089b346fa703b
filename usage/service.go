package usage

import (
	"context"

	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/usage/usagepb"
)

// service implements the drpc service for other daemons.
type service struct{ m *Manager }

// WallClock implements usagepb.DRPCUsageServer.
func (s service) WallClock(context.Context, *usagepb.WallClockRequest) (*usagepb.WallClockAnswer, error) {
	return &usagepb.WallClockAnswer{UnixNs: s.m.Clock.wall().UnixNano()}, nil
}

// Update implements usagepb.DRPCUsageServer.
func (s service) Update(_ context.Context, request *usagepb.UpdateRequest) (*usagepb.UpdateAnswer, error) {
	complete := s.m.merge(request.Table)
	return &usagepb.UpdateAnswer{Incarnation: s.m.Incarnation, Complete: complete}, nil
}

// Read implements usagepb.DRPCUsageServer.
func (s service) Read(_ context.Context, request *usagepb.ReadRequest) (*usagepb.ReadAnswer, error) {
	if request.AllWindows {
		return &usagepb.ReadAnswer{Table: s.m.encodeRecent()}, nil
	}
	var encoder tableEncoder
	s.m.encode(request.Window, &encoder)
	return &usagepb.ReadAnswer{Table: encoder.table()}, nil
}

// drpcCalls implements calls over drpc.
type drpcCalls struct{ conns peer.ConnProvider }

func (c drpcCalls) update(ctx context.Context, address string, request *usagepb.UpdateRequest) (*usagepb.UpdateAnswer, error) {
	conn, err := c.conns.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return usagepb.NewDRPCUsageClient(conn).Update(ctx, request)
}

func (c drpcCalls) read(ctx context.Context, address string, request *usagepb.ReadRequest) (*usagepb.ReadAnswer, error) {
	conn, err := c.conns.Conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return usagepb.NewDRPCUsageClient(conn).Read(ctx, request)
}
