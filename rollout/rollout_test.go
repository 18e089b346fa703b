package rollout

import "testing"

func TestStepIsDeliveredOnceThroughAnyDaemon(t *testing.T) {
	c := newCluster(t, 3, nil)
	session := c.daemons[0].session("")
	step := c.daemons[1].step(openStep(session.Epoch, 1, 4, 4))
	if step.Samples != 16 {
		t.Fatalf("step has %d samples", step.Samples)
	}
	trainer := newTrainer(c, step.Token)
	trainer.pullAll(c.daemons[2])
	trainer.check(16)
}
