package rollout

import "sort"

// State is this package's section of the state dump.
type State struct {
	Steps    []StepState `json:"steps"`    // owned by this daemon
	Groups   []string    `json:"groups"`   // in progress on this daemon
	Payloads int         `json:"payloads"` // finished samples held by this daemon
	Copies   int         `json:"copies"`   // step definitions held for other owners
}

// StepState is one owned step in the state dump.
type StepState struct {
	Trainer   string `json:"trainer"`
	Step      int64  `json:"step"`
	Samples   int    `json:"samples"`
	Wanted    int    `json:"wanted"`  // to be generated, for the first time or again
	Running   int    `json:"running"` // wanted samples that are part of a run in progress
	Ready     int    `json:"ready"`   // held by a runner
	Delivered int    `json:"taken"`   // marked as delivered in the trainer's token
	Age       string `json:"age"`
}

// Dump returns the state of steps, groups and payloads.
func (m *Manager) Dump() any {
	state := State{Groups: m.runner.groupNames(), Payloads: m.runner.heldSamples(), Copies: m.copyCount()}
	for _, s := range m.ownedSteps() {
		state.Steps = append(state.Steps, s.state())
	}
	sort.Slice(state.Steps, func(i, j int) bool {
		a, b := state.Steps[i], state.Steps[j]
		return a.Trainer < b.Trainer || (a.Trainer == b.Trainer && a.Step < b.Step)
	})
	return state
}

func (m *Manager) copyCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.copies)
}

func (r *runner) groupNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.groups))
	for key := range r.groups {
		names = append(names, key.step.placement()+"/"+key.id)
	}
	sort.Strings(names)
	return names
}

func (s *step) state() StepState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := StepState{Trainer: s.key.trainer, Step: s.key.step, Samples: len(s.samples), Age: s.age().String()}
	for _, sample := range s.samples {
		switch sample.phase {
		case wanted:
			state.Wanted++
			if sample.running {
				state.Running++
			}
		case ready:
			state.Ready++
		case delivered:
			state.Delivered++
		}
	}
	return state
}
