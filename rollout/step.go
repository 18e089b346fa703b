package rollout

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// step is the owner's index of one step: which sample is where. It holds no texts.
type step struct {
	m          *Manager
	key        stepKey
	definition *rolloutpb.Definition
	ctx        context.Context
	cancel     context.CancelFunc

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	samples  []sampleState
	groups   []groupState
	pull     string          // the newest pull
	ended    map[string]bool // pulls that a newer one ended
	pulled   time.Time       // last call of the trainer
	lastPull time.Time       // last pull, zero before the first
	runs     int             // groups in progress
	version  int64           // newest version that the trainer named
	whole    bool            // was whole once
	lateAt   time.Time       // when it was last reported as late
}

// sampleState is one sample in the index.
type sampleState struct {
	group   int
	phase   phase
	running bool   // part of a run in progress
	again   bool   // a runner must not answer with the payload that it holds
	runner  string // drpc address of the daemon that holds the payload
	oldest  int64  // oldest weight version in it
}

// phase is where a sample is on its way to the trainer.
type phase int

// The phases of a sample.
const (
	wanted phase = iota // not generated, or lost
	ready               // a runner holds it
	taken               // the trainer's token holds it
)

// groupState is one group in the index.
type groupState struct {
	notBefore time.Time // backoff after a run that failed
	failures  int
}

func newStep(m *Manager, key stepKey, d *rolloutpb.Definition) *step {
	ctx, cancel := context.WithCancel(m.life)
	s := &step{
		m:          m,
		key:        key,
		definition: d,
		ctx:        ctx,
		cancel:     cancel,
		changed:    make(chan struct{}),
		samples:    make([]sampleState, sampleCount(d)),
		groups:     make([]groupState, len(d.Groups)),
		ended:      map[string]bool{},
		pulled:     m.now(),
	}
	for i, g := range d.Groups {
		for id := g.First; id < g.First+g.Samples; id++ {
			s.samples[id].group = i
		}
	}
	return s
}

func (s *step) start() { go s.schedule() }

func (s *step) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulled = s.m.now()
}

func (s *step) idleSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pulled
}

// forget ends the owner's work on the step.
func (s *step) forget() {
	s.cancel()
	s.m.parts.Log.Log(event.RolloutStepForgotten, event.F("trainer", s.key.trainer), event.F("step", s.key.step))
}

// notify wakes everyone who waits for a change. The caller holds mu.
func (s *step) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// document returns the step's service document, nil when none is in force.
func (s *step) document() *document.Document {
	doc, err := s.m.document(s.definition.Service)
	if err != nil {
		return nil
	}
	return doc
}

// bound returns the staleness bound in force.
func (s *step) bound(doc *document.Document) int64 {
	return min(int64(s.definition.Bound), int64(doc.Samples.StalenessBound))
}

// await returns ready samples that the token does not hold once there are any, or
// none when ctx ended.
func (s *step) await(ctx context.Context, t Token, r *rolloutpb.CollectRequest) ([]*rolloutpb.Ready, error) {
	if err := s.beginPull(t, r); err != nil {
		return nil, err
	}
	for {
		found, changed, err := s.readySamples(r)
		if err != nil || len(found) > 0 {
			return found, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// beginPull makes r the newest pull and takes over what the trainer's token holds.
func (s *step) beginPull(t Token, r *rolloutpb.CollectRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended[r.Pull] {
		return supersededPull()
	}
	if s.pull != r.Pull && s.pull != "" {
		s.ended[s.pull] = true
	}
	s.pull = r.Pull
	s.pulled = s.m.now()
	s.lastPull = s.pulled
	s.version = max(s.version, r.Version)
	s.takeToken(t)
	s.notify()
	return nil
}

// takeToken marks the samples that the token holds as taken and has their payloads
// released. Samples that an older token no longer holds are wanted again. The caller
// holds mu.
func (s *step) takeToken(t Token) {
	released := map[string][]int32{}
	for id := range s.samples {
		sample := &s.samples[id]
		switch {
		case t.Has(id) && sample.phase == ready:
			released[sample.runner] = append(released[sample.runner], int32(id))
			sample.phase = taken
		case t.Has(id):
			sample.phase = taken
		case sample.phase == taken:
			sample.phase = wanted
		}
	}
	for runner, ids := range released {
		go s.release(runner, ids)
	}
}

// release tells a runner that the trainer has these samples.
func (s *step) release(runner string, ids []int32) {
	request := &rolloutpb.FetchRequest{Trainer: s.key.trainer, Step: s.key.step, Layout: s.key.layout, Ids: ids}
	if s.m.isSelf(runner) {
		s.m.runner.release(request)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, peerTimeout)
	defer cancel()
	client, err := s.m.client(ctx, runner)
	if err == nil {
		_, _ = client.Release(ctx, request)
	}
}

// readySamples returns the ready samples, those with the oldest versions first since
// they reach the bound first, and a channel that is closed at the next change.
func (s *step) readySamples(r *rolloutpb.CollectRequest) ([]*rolloutpb.Ready, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pull != r.Pull {
		return nil, nil, supersededPull()
	}
	s.dropStale()
	var found []*rolloutpb.Ready
	for id, sample := range s.samples {
		if sample.phase == ready {
			found = append(found, &rolloutpb.Ready{Id: int32(id), Runner: sample.runner, Oldest: sample.oldest})
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Oldest < found[j].Oldest })
	if r.Max > 0 && len(found) > int(r.Max) {
		found = found[:r.Max]
	}
	return found, s.changed, nil
}

// dropStale makes ready samples wanted again that are over the bound already. The
// caller holds mu.
func (s *step) dropStale() {
	doc := s.document()
	if doc == nil {
		return
	}
	newest := max(s.version, s.m.newest(doc.Pool))
	bound := s.bound(doc)
	for id := range s.samples {
		sample := &s.samples[id]
		if sample.phase == ready && newest-sample.oldest > bound {
			sample.phase = wanted
			sample.again = true
			s.m.counters.stale.Add(1)
		}
	}
}

// confirmPull refuses a pull that a newer one ended.
func (s *step) confirmPull(pull string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended[pull] || (s.pull != pull && s.pull != "") {
		return supersededPull()
	}
	return nil
}

// discard makes samples wanted again that are over the bound or that their runner does
// not hold. Such a runner is asked last for a while.
func (s *step) discard(lost []*rolloutpb.Ready, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range lost {
		if r.Id < 0 || int(r.Id) >= len(s.samples) {
			continue
		}
		sample := &s.samples[r.Id]
		if sample.phase != ready {
			continue
		}
		sample.phase = wanted
		sample.again = stale
		if !stale {
			s.m.suspects.add(sample.runner)
		}
	}
	s.notify()
}

// finished records a sample that a runner holds.
func (s *step) finished(runner string, e *rolloutpb.RunEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Id < 0 || int(e.Id) >= len(s.samples) {
		return
	}
	sample := &s.samples[e.Id]
	sample.running = false
	if sample.phase != wanted {
		return
	}
	sample.phase = ready
	sample.again = false
	sample.runner = runner
	sample.oldest = e.Oldest
	s.notify()
	s.checkWhole()
}

// checkWhole records once that all samples were generated. The caller holds mu.
func (s *step) checkWhole() {
	if s.whole {
		return
	}
	for _, sample := range s.samples {
		if sample.phase == wanted {
			return
		}
	}
	s.whole = true
	s.m.parts.Log.Log(event.RolloutStepWhole, event.F("trainer", s.key.trainer), event.F("step", s.key.step),
		event.F("after", s.age().String()))
	if s.lateAt.IsZero() {
		s.m.parts.Recorder.Kept(alarm.TrainerIdle, s.definition.Service)
	}
}

func (s *step) age() time.Duration {
	return s.m.now().Sub(time.UnixMilli(s.definition.OpenedMs))
}
