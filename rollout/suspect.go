package rollout

import (
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// suspectTTL is how long a daemon that did not respond stays a suspect.
const suspectTTL = 5 * time.Second

// suspects holds the daemons that recently did not respond. They are tried last, so that
// calls do not all wait for them until the membership list drops them.
type suspects struct {
	m     *Manager
	mu    sync.Mutex
	until map[string]time.Time // by drpc address
}

func newSuspects(m *Manager) *suspects {
	return &suspects{m: m, until: map[string]time.Time{}}
}

// add marks a daemon as suspect, except this daemon itself.
func (s *suspects) add(address string) {
	if s.m.isSelf(address) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.m.now()
	for other, until := range s.until {
		if now.After(until) {
			delete(s.until, other)
		}
	}
	s.until[address] = now.Add(suspectTTL)
}

// suspectsLast returns the members in their given order, but suspects after the others.
func (s *suspects) suspectsLast(members []fleet.Member) []fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.m.now()
	var responsive, suspected []fleet.Member
	for _, member := range members {
		if now.Before(s.until[member.PeerAddress]) {
			suspected = append(suspected, member)
			continue
		}
		responsive = append(responsive, member)
	}
	return append(responsive, suspected...)
}
