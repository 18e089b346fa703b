package claims

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Counters holds counts since the start of the daemon.
type Counters struct {
	Granted              int64 `json:"granted"`     // granted claims of this daemon's requests
	Repeated             int64 `json:"repeated"`    // claims whose key was granted before
	FingerprintConflicts int64 `json:"conflicting"` // claims whose key was granted for another request
	Refused              int64 `json:"refused"`     // claims refused because the journal could not be written
	Appends              int64 `json:"appends"`     // journal entries written
	AppendedClaims       int64 `json:"appended"`    // claims in these entries
	AppendConflicts      int64 `json:"conflicts"`   // appends that conflicted with another daemon's write
	AppendFailures       int64 `json:"failures"`    // appends that the object API did not confirm
	JournalLoads         int64 `json:"loads"`       // journals read
	Compactions          int64 `json:"compactions"` // segments written
}

func (m *Manager) count(change func(*Counters)) {
	m.mu.Lock()
	change(&m.counters)
	m.mu.Unlock()
}

func (m *Manager) countResult(err error) {
	m.count(func(c *Counters) {
		switch {
		case err == nil:
			c.Granted++
		case fault.Is(err, fault.Claimed):
			c.Repeated++
		case fault.Is(err, fault.Conflict):
			c.FingerprintConflicts++
		default:
			c.Refused++
		}
	})
}

// Counters returns the counts so far.
func (m *Manager) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}

// ShardState is the state of one shard that this daemon has used recently.
type ShardState struct {
	Service  string    `json:"service"`
	Shard    int       `json:"shard"`
	Waiting  int       `json:"waiting"` // claims that wait for a batch
	LastUsed time.Time `json:"last_used"`
}

// State is the state dump of the package.
type State struct {
	Counters Counters     `json:"counters"`
	Shards   []ShardState `json:"shards"` // ordered by service and shard
}

// Dump returns the state of the Manager.
func (m *Manager) Dump() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := State{Counters: m.counters}
	for _, s := range m.shards {
		state.Shards = append(state.Shards, s.dump())
	}
	slices.SortFunc(state.Shards, func(a, b ShardState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
	return state
}

func (s *shard) dump() ShardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ShardState{Service: s.service, Shard: s.number, Waiting: len(s.waiting), LastUsed: s.lastUsed}
}
