package rollout

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// groupRun is one run of a group on behalf of an owner.
type groupRun struct {
	runner     *runner
	key        groupKey
	request    *rolloutpb.RunRequest
	definition *rolloutpb.Definition // the step's definition with only this group
	group      *rolloutpb.Group
	regenerate map[int32]bool
	jobs       []*job
}

// newGroupRun returns the run for a request, or nil unless it has exactly one group.
func newGroupRun(r *runner, request *rolloutpb.RunRequest) *groupRun {
	d := request.Definition
	if d == nil || len(d.Groups) != 1 {
		return nil
	}
	g := &groupRun{
		runner:     r,
		key:        groupKey{step: stepKey{trainer: d.Trainer, step: d.Step, layout: request.Layout}, id: d.Groups[0].Id},
		request:    request,
		definition: d,
		group:      d.Groups[0],
		regenerate: map[int32]bool{},
	}
	for _, id := range request.Again {
		g.regenerate[id] = true
	}
	return g
}

// sendEvents sends the events of the jobs, and heartbeats in between, until all jobs
// are finished or ctx ends.
func (g *groupRun) sendEvents(ctx context.Context, jobs []*job, send func(*rolloutpb.RunEvent) error) error {
	defer func() {
		for _, j := range jobs {
			j.detach()
		}
	}()
	done := make(chan *job, len(jobs))
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, j := range jobs {
		go j.notifyDone(watchCtx, done)
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for remaining := len(jobs); remaining > 0; {
		var e *rolloutpb.RunEvent
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeat.C:
			e = &rolloutpb.RunEvent{Heartbeat: true}
		case j := <-done:
			remaining--
			if e = j.event(); e == nil {
				continue
			}
		}
		if err := send(e); err != nil {
			return err
		}
	}
	return nil
}

// finishedTimings returns the timings of the group's finished samples.
func (g *groupRun) finishedTimings() []sampleTiming {
	var timings []sampleTiming
	for _, j := range g.jobs {
		if t, ok := j.finishedTiming(); ok {
			timings = append(timings, t)
		}
	}
	return timings
}
