package routing

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

const defaultPollInterval = time.Second

// Run polls the status of the engines until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	interval := s.config.PollInterval
	if interval <= 0 {
		interval = defaultPollInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.pollAll(ctx, interval)
		}
	}
}

func (s *Store) pollAll(ctx context.Context, limit time.Duration) {
	for _, versioned := range s.docs.All() {
		if versioned.Document.Kind != document.Model {
			continue
		}
		for _, server := range s.view.Replicas(versioned.Document.Pool) {
			go s.poll(ctx, server, limit)
		}
	}
}

func (s *Store) poll(ctx context.Context, server fleet.Replica, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	status, err := s.backends.Engine(server.Address).Status(ctx)
	if err == nil {
		s.report(server, status)
	}
}

// report takes an engine's status in.
func (s *Store) report(server fleet.Replica, status backend.EngineStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := s.ensure(server)
	rep.state.Running = status.Running
	rep.state.Waiting = status.Waiting
	rep.state.Version = status.Version
	rep.state.Whole = status.Whole
	rep.state.Reported = time.Now()
	if rep.state.Suspended && status.Whole && status.Version >= rep.resume {
		rep.state.Suspended = false
	}
}
