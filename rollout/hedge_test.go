package rollout

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/dispatch"
)

// stragglerGenerator is a generator whose first attempt of sample 0 stalls until it is
// canceled or released.
type stragglerGenerator struct {
	c        *cluster
	release  chan struct{}
	progress int // tokens of the first attempt before it stalls

	mu       sync.Mutex
	attempts int      // of sample 0
	excluded []string // replicas that the second attempt excludes
	firstErr error    // error of the first attempt
}

func (s *stragglerGenerator) generate(ctx context.Context, _ int, r dispatch.SampleRequest) (dispatch.Completion, error) {
	completion := s.c.gen.newCompletion(r, "fast", segmentOf(1))
	if !strings.Contains(r.RequestID, "/0-") {
		return completion, nil
	}
	s.mu.Lock()
	s.attempts++
	first := s.attempts == 1
	if s.attempts == 2 {
		s.excluded = r.Exclude
	}
	s.mu.Unlock()
	if !first {
		return completion, nil
	}
	r.OnProgress("slow", 0)
	for tokens := range s.progress {
		r.OnProgress("slow", tokens+1)
	}
	completion.Replica = "slow"
	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case <-s.release:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstErr = err
	return completion, err
}

func TestStragglerIsHedgedOnAnotherReplicaAndDeliveredOnce(t *testing.T) {
	c := newCluster(t, 1, nil)
	s := &stragglerGenerator{c: c, release: make(chan struct{}), progress: 4}
	c.gen.setHook(s.generate)
	trainer := c.openTestStep(c.daemons[0], 1, 1, 4)
	trainer.pullAll(c.daemons[0])
	trainer.check(4)
	if trainer.got[0].Replica != "fast" {
		t.Errorf("the straggler's sample came from %s", trainer.got[0].Replica)
	}
	waitFor(t, "the first attempt canceled", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.firstErr != nil
	})
	if s.attempts != 2 || len(s.excluded) != 1 || s.excluded[0] != "slow" {
		t.Errorf("%d attempts, the hedge excluded %v", s.attempts, s.excluded)
	}
}

func TestHedgeAndFirstAttemptBothFinish(t *testing.T) {
	c := newCluster(t, 1, nil)
	s := &stragglerGenerator{c: c, release: make(chan struct{}), progress: 4}
	c.gen.setHook(func(ctx context.Context, call int, r dispatch.SampleRequest) (dispatch.Completion, error) {
		completion, err := s.generate(context.WithoutCancel(ctx), call, r)
		if len(r.Exclude) > 0 {
			close(s.release) // both attempts complete
		}
		return completion, err
	})
	trainer := c.openTestStep(c.daemons[0], 1, 1, 4)
	trainer.pullAll(c.daemons[0])
	trainer.check(4)
	if len(trainer.duplicates) > 0 || c.daemons[0].manager.counters.generated.Load() != 4 {
		t.Errorf("generated %d of 4", c.daemons[0].manager.counters.generated.Load())
	}
}

func TestHedgesStayWithinTheBudget(t *testing.T) {
	for name, configure := range map[string]func(*cluster, *Config){
		"zero budget": func(c *cluster, _ *Config) { c.doc.Samples.HedgeBudget = 0 },
		"no hedges":   func(c *cluster, _ *Config) { c.doc.Samples.Hedges = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, nil)
			configure(c, nil)
			s := &stragglerGenerator{c: c, release: make(chan struct{}), progress: 4}
			c.gen.setHook(s.generate)
			trainer := c.openTestStep(c.daemons[0], 1, 1, 4)
			c.waitHeld(3)
			time.AfterFunc(4*minAttemptAge, func() { close(s.release) })
			trainer.pullAll(c.daemons[0])
			trainer.check(4)
			if s.attempts != 1 {
				t.Errorf("%d attempts", s.attempts)
			}
		})
	}
}

func TestHedgeBudgetIsAShareOfTheSamples(t *testing.T) {
	doc := newCluster(t, 0, nil).doc
	doc.Samples.HedgeBudget = 5
	s := newGenerationStats()
	s.add(doc.Service, sampleTiming{tokens: 1000, total: time.Second})
	granted := 0
	for range 200 {
		s.addHedgeCredit(doc, 1)
		if s.spendHedgeCredit(doc) {
			granted++
		}
	}
	if granted > 10 || granted < 9 {
		t.Errorf("%d hedges for 200 samples at 5 percent", granted)
	}
	s.addHedgeCredit(doc, 100)
	s.addWasted(doc.Service, 51)
	if s.spendHedgeCredit(doc) {
		t.Error("a hedge was granted after 5.1 percent of the tokens were wasted")
	}
}

func TestStragglerWithLittleProgressIsMovedWithoutAHedge(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.doc.Samples.HedgeBudget = 0
	for range minRecentSamples {
		c.daemons[0].manager.runner.stats.add(testService, sampleTiming{tokens: 16, total: time.Millisecond})
	}
	s := &stragglerGenerator{c: c, release: make(chan struct{}), progress: minSlowChunks}
	c.gen.setHook(s.generate)
	request := openStep(c.daemons[0].session("").Epoch, 1, 1, 4)
	request.Groups[0].MaxTokens = 16
	trainer := newTrainer(c, c.daemons[0].step(request).Token)
	trainer.pullAll(c.daemons[0])
	trainer.check(4)
	counters := c.daemons[0].manager.Counters()
	if counters["moved"] != 1 || counters["hedged"] != 0 || s.attempts != 2 || s.excluded[0] != "slow" {
		t.Errorf("moved %d, hedged %d, %d attempts, excluded %v", counters["moved"], counters["hedged"], s.attempts, s.excluded)
	}
}
