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

// step is the owner's index of one step: the phase and the location of each sample. It
// holds no completions.
type step struct {
	m          *Manager
	key        stepKey
	definition *rolloutpb.Definition
	ctx        context.Context
	cancel     context.CancelFunc

	mu              sync.Mutex
	changed         chan struct{} // closed and replaced at each change
	samples         []sampleState
	groups          []groupState
	newestPull      string          // ID of the newest pull
	supersededPulls map[string]bool // IDs of pulls that a newer pull superseded
	lastUsed        time.Time       // time of the trainer's last call
	lastPullAt      time.Time       // time of the last pull, zero before the first
	runsInProgress  int             // groups in progress
	trainerVersion  int64           // newest weight version that the trainer named
	complete        bool            // set once all samples were generated, never reset
	lateReportedAt  time.Time       // time of the last report that the step is late
}

// sampleState is one sample in the index.
type sampleState struct {
	group      int
	phase      phase
	running    bool   // part of a run in progress
	regenerate bool   // the runner must not reuse a payload that it holds
	runner     string // drpc address of the daemon that holds the payload
	oldest     int64  // oldest weight version in it
}

// phase is the progress of a sample on its way to the trainer.
type phase int

const (
	wanted    phase = iota // to be generated, for the first time or again
	ready                  // generated and held by a runner
	delivered              // marked as delivered in the trainer's token
)

// groupState is one group in the index.
type groupState struct {
	notBefore time.Time // end of the backoff after a failed run
	failures  int
}

func newStep(m *Manager, key stepKey, d *rolloutpb.Definition) *step {
	ctx, cancel := context.WithCancel(m.baseCtx)
	s := &step{
		m:               m,
		key:             key,
		definition:      d,
		ctx:             ctx,
		cancel:          cancel,
		changed:         make(chan struct{}),
		samples:         make([]sampleState, sampleCount(d)),
		groups:          make([]groupState, len(d.Groups)),
		supersededPulls: map[string]bool{},
		lastUsed:        m.now(),
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
	s.lastUsed = s.m.now()
}

func (s *step) idleSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastUsed
}

// stop ends the owner's work on the step.
func (s *step) stop() {
	s.cancel()
	s.m.deps.Log.Log(event.RolloutStepExpired, event.F("trainer", s.key.trainer), event.F("step", s.key.step))
}

// notifyChanged wakes all goroutines that wait for a change. The caller holds mu.
func (s *step) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// document returns the service's active document, or nil if there is none.
func (s *step) document() *document.Document {
	doc, err := s.m.document(s.definition.Service)
	if err != nil {
		return nil
	}
	return doc
}

// bound returns the staleness bound: the smaller of the step's and the document's.
func (s *step) bound(doc *document.Document) int64 {
	return min(int64(s.definition.Bound), int64(doc.Samples.StalenessBound))
}

// awaitReady waits for ready samples that the token does not mark as delivered. It
// returns none when ctx ends.
func (s *step) awaitReady(ctx context.Context, t Token, r *rolloutpb.CollectRequest) ([]*rolloutpb.Ready, error) {
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

// beginPull makes r the newest pull and applies the trainer's token. It returns
// fault.Fenced if a newer pull superseded r before.
func (s *step) beginPull(t Token, r *rolloutpb.CollectRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.supersededPulls[r.Pull] {
		return supersededPullError()
	}
	if s.newestPull != r.Pull && s.newestPull != "" {
		s.supersededPulls[s.newestPull] = true
	}
	s.newestPull = r.Pull
	s.lastUsed = s.m.now()
	s.lastPullAt = s.lastUsed
	s.trainerVersion = max(s.trainerVersion, r.Version)
	s.applyToken(t)
	s.notifyChanged()
	return nil
}

// applyToken marks as delivered the samples that the token marks, and releases their
// payloads. Delivered samples that the token does not mark, because it is older, become
// wanted again. The caller holds mu.
func (s *step) applyToken(t Token) {
	released := map[string][]int32{}
	for id := range s.samples {
		sample := &s.samples[id]
		switch {
		case t.IsDelivered(id) && sample.phase == ready:
			released[sample.runner] = append(released[sample.runner], int32(id))
			sample.phase = delivered
		case t.IsDelivered(id):
			sample.phase = delivered
		case sample.phase == delivered:
			sample.phase = wanted
		}
	}
	for runner, ids := range released {
		go s.release(runner, ids)
	}
}

// release notifies a runner that the trainer has these samples.
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

// readySamples returns at most r.Max ready samples and a channel that is closed at the
// next change. Samples with the oldest versions come first, because they reach the
// staleness bound first.
func (s *step) readySamples(r *rolloutpb.CollectRequest) ([]*rolloutpb.Ready, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newestPull != r.Pull {
		return nil, nil, supersededPullError()
	}
	s.requeueStale()
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

// requeueStale marks ready samples that exceed the staleness bound as wanted again. The
// caller holds mu.
func (s *step) requeueStale() {
	doc := s.document()
	if doc == nil {
		return
	}
	newest := max(s.trainerVersion, s.m.newestVersion(doc.Pool))
	bound := s.bound(doc)
	for id := range s.samples {
		sample := &s.samples[id]
		if sample.phase == ready && newest-sample.oldest > bound {
			sample.phase = wanted
			sample.regenerate = true
			s.m.counters.staleDropped.Add(1)
		}
	}
}

// confirmPull returns fault.Fenced for a pull that a newer pull superseded.
func (s *step) confirmPull(pull string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.supersededPulls[pull] || (s.newestPull != pull && s.newestPull != "") {
		return supersededPullError()
	}
	return nil
}

// discard marks samples that could not be delivered as wanted again. If they are not
// stale, their runner lost them or sent incomplete version tags: it becomes a suspect and
// is tried last for suspectTTL.
func (s *step) discard(discarded []*rolloutpb.Ready, stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range discarded {
		if r.Id < 0 || int(r.Id) >= len(s.samples) {
			continue
		}
		sample := &s.samples[r.Id]
		if sample.phase != ready {
			continue
		}
		sample.phase = wanted
		sample.regenerate = stale
		if !stale {
			s.m.suspects.add(sample.runner)
		}
	}
	s.notifyChanged()
}

func (s *step) recordFinished(runner string, e *rolloutpb.RunEvent) {
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
	sample.regenerate = false
	sample.runner = runner
	sample.oldest = e.Oldest
	s.notifyChanged()
	s.checkComplete()
}

// checkComplete records, once, that all samples are generated. The caller holds mu.
func (s *step) checkComplete() {
	if s.complete {
		return
	}
	for _, sample := range s.samples {
		if sample.phase == wanted {
			return
		}
	}
	s.complete = true
	s.m.deps.Log.Log(event.RolloutStepComplete, event.F("trainer", s.key.trainer), event.F("step", s.key.step),
		event.F("after", s.age().String()))
	if s.lateReportedAt.IsZero() {
		s.m.deps.Recorder.Kept(alarm.StepsInTime, s.definition.Service)
	}
}

func (s *step) age() time.Duration {
	return s.m.now().Sub(time.UnixMilli(s.definition.OpenedMs))
}
