package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// The operations of a random interleaving.
const (
	opPull     = iota // pull and take the answer
	opLose            // pull and lose the answer
	opKill            // kill the daemon that owns the step; a new one joins
	opPublish         // publish a version
	opRestore         // go back to an older token of the chain
	opSession         // open a new session with the trainer's token
	operations        // count
)

// chainState is a trainer with the states that it can be restored to.
type chainState struct {
	token string
	got   map[int]Sample
}

func TestAnyInterleavingDeliversEachSampleOnceAChain(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 25
	properties := gopter.NewProperties(parameters)
	properties.Property("each sample once a token chain, none missing", prop.ForAll(
		func(ops []int, seed uint64) string { return interleave(t, ops, seed) },
		gen.SliceOfN(8, gen.IntRange(0, operations-1)),
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

// interleave runs the operations and returns what was broken, "" for nothing.
func interleave(t *testing.T, ops []int, seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 3, nil)
	defer func() {
		for _, d := range c.daemons {
			d.stop()
		}
	}()
	trainer := c.openTest(c.daemons[0], 1, 2, 3)
	history := []chainState{snapshot(trainer)}
	version := int64(1)
	for i, op := range ops {
		d := c.alive(random)
		switch op {
		case opPull, opLose:
			b, f, ok := d.pull(Pull{Token: trainer.token, Version: version, Max: 1 + random.IntN(3), WaitMS: 5000})
			if !ok {
				return fmt.Sprintf("pull: %+v", f)
			}
			if op == opPull {
				trainer.take(b)
				history = append(history, snapshot(trainer))
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
	trainer.pullAll(c.alive(random))
	return trainer.broken(6)
}

func snapshot(tr *trainerClient) chainState {
	return chainState{token: tr.token, got: copySamples(tr.got)}
}

func copySamples(samples map[int]Sample) map[int]Sample {
	copied := make(map[int]Sample, len(samples))
	for id, s := range samples {
		copied[id] = s
	}
	return copied
}

// alive returns a random daemon that was not killed.
func (c *cluster) alive(random *rand.Rand) *testDaemon {
	var alive []*testDaemon
	for _, d := range c.daemons {
		if !d.gone {
			alive = append(alive, d)
		}
	}
	return alive[random.IntN(len(alive))]
}

// broken returns how the chain differs from each sample once.
func (tr *trainerClient) broken(samples int) string {
	if len(tr.twice) > 0 || len(tr.got) != samples {
		return fmt.Sprintf("delivered %d of %d, twice: %v", len(tr.got), samples, tr.twice)
	}
	return ""
}
