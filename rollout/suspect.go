package rollout

import (
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// suspectTime is how long a daemon that did not answer is asked last.
const suspectTime = 5 * time.Second

// suspects remembers which daemons did not answer a moment ago, so that not every
// call waits for them again until the members' list leaves them out.
type suspects struct {
	m     *Manager
	mu    sync.Mutex
	until map[string]time.Time // by drpc address
}

func newSuspects(m *Manager) *suspects {
	return &suspects{m: m, until: map[string]time.Time{}}
}

// add makes a daemon a suspect, never this one itself.
func (s *suspects) add(address string) {
	if s.m.isSelf(address) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.m.now()
	for known, until := range s.until {
		if now.After(until) {
			delete(s.until, known)
		}
	}
	s.until[address] = now.Add(suspectTime)
}

// last returns the members in their order, suspects after the others.
func (s *suspects) last(members []fleet.Member) []fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.m.now()
	var trusted, suspected []fleet.Member
	for _, member := range members {
		if now.Before(s.until[member.PeerAddress]) {
			suspected = append(suspected, member)
			continue
		}
		trusted = append(trusted, member)
	}
	return append(trusted, suspected...)
}
