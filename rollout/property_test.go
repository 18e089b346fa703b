package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Operations of a random interleaving.
const (
	opPull         = iota // pull and receive the response
	opLoseResponse        // pull and lose the response
	opKill                // kill the daemon that owns the step; a new one joins
	opPublish             // publish a version
	opRestore             // restore the trainer to an earlier state
	opSession             // open a new session with the trainer's token
	operationCount        // number of operations
)

// trainerState is a state that a trainer can be restored to.
type trainerState struct {
	token string
	got   map[int]Sample
}

func TestAnyInterleavingDeliversEachSampleOncePerTokenChain(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 25
	properties := gopter.NewProperties(parameters)
	properties.Property("each sample exactly once per token chain", prop.ForAll(
		func(ops []int, seed uint64) string { return runOperations(t, ops, seed) },
		gen.SliceOfN(8, gen.IntRange(0, operationCount-1)),
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

// runOperations runs the operations and returns a description of the failure, "" for none.
func runOperations(t *testing.T, ops []int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 3, nil)
	defer func() {
		for _, d := range c.daemons {
			d.stop()
		}
	}()
	trainer := c.openTestStep(c.daemons[0], 1, 2, 3)
	history := []trainerState{snapshotTrainer(trainer)}
	version := int64(1)
	for i, op := range ops {
		d := c.randomAlive(random)
		switch op {
		case opPull, opLoseResponse:
			response, f, ok := d.pull(PullRequest{Token: trainer.token, Version: version, Max: 1 + random.IntN(3), WaitMS: 5000})
			if !ok {
				return fmt.Sprintf("pull: %+v", f)
			}
			if op == opPull {
				trainer.accept(response)
				history = append(history, snapshotTrainer(trainer))
			}
		case opKill:
			victim := c.owner(1)
			victim.kill()
			victim.remove()
			c.add(fmt.Sprintf("n%d", i), nil)
		case opPublish:
			version++
			c.versions.set(version)
		case opRestore:
			old := history[random.IntN(len(history))]
			trainer.token, trainer.got = old.token, copySamples(old.got)
			trainer.token = d.session(trainer.token).Token
		case opSession:
			trainer.token = d.session(trainer.token).Token
		}
	}
	trainer.version = version
	trainer.pullAll(c.randomAlive(random))
	return trainer.verify(6)
}

func snapshotTrainer(tr *trainerClient) trainerState {
	return trainerState{token: tr.token, got: copySamples(tr.got)}
}

func copySamples(samples map[int]Sample) map[int]Sample {
	copied := make(map[int]Sample, len(samples))
	for id, s := range samples {
		copied[id] = s
	}
	return copied
}

// randomAlive returns a random daemon that was not killed.
func (c *cluster) randomAlive(random *rand.Rand) *testDaemon {
	var alive []*testDaemon
	for _, d := range c.daemons {
		if !d.removed {
			alive = append(alive, d)
		}
	}
	return alive[random.IntN(len(alive))]
}

// verify returns a description of the failure unless the trainer received each sample
// exactly once.
func (tr *trainerClient) verify(samples int) string {
	if len(tr.duplicates) > 0 || len(tr.got) != samples {
		return fmt.Sprintf("delivered %d of %d, twice: %v", len(tr.got), samples, tr.duplicates)
	}
	return ""
}
