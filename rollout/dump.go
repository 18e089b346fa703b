package rollout

import "sort"

// State is the package's part of the state dump.
type State struct {
	Steps    []StepState `json:"steps"`    // owned here
	Groups   []string    `json:"groups"`   // run here, in progress
	Payloads int         `json:"payloads"` // finished samples held here
	Copies   int         `json:"copies"`   // step definitions held for other owners
}

// StepState is one owned step in the state dump.
type StepState struct {
	Trainer string `json:"trainer"`
	Step    int64  `json:"step"`
	Samples int    `json:"samples"`
	Wanted  int    `json:"wanted"`  // not generated yet, or again
	Running int    `json:"running"` // of the wanted, part of a run in progress
	Ready   int    `json:"ready"`   // a runner holds them
	Taken   int    `json:"taken"`   // the trainer's token holds them
	Age     string `json:"age"`
}

// Dump returns the state of steps, groups and payloads.
func (m *Manager) Dump() any {
	state := State{Groups: m.runner.groupNames(), Payloads: m.runner.held(), Copies: m.copyCount()}
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
	return len(m.kept)
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
		case taken:
			state.Taken++
		}
	}
	return state
}
