package rollout

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// groupRun is one run of a group for one owner.
type groupRun struct {
	r          *runner
	key        groupKey
	request    *rolloutpb.RunRequest
	definition *rolloutpb.Definition // of the step, with this group only
	group      *rolloutpb.Group
	again      map[int32]bool
	siblings   []*job
}

// newGroupRun returns the run of a request, nil when it names no group.
func newGroupRun(r *runner, request *rolloutpb.RunRequest) *groupRun {
	d := request.Definition
	if d == nil || len(d.Groups) != 1 {
		return nil
	}
	g := &groupRun{
		r:          r,
		key:        groupKey{step: stepKey{trainer: d.Trainer, step: d.Step, layout: request.Layout}, id: d.Groups[0].Id},
		request:    request,
		definition: d,
		group:      d.Groups[0],
		again:      map[int32]bool{},
	}
	for _, id := range request.Again {
		g.again[id] = true
	}
	return g
}

// watch sends the events of the jobs until all are finished or ctx ends.
func (g *groupRun) watch(ctx context.Context, jobs []*job, send func(*rolloutpb.RunEvent) error) error {
	defer func() {
		for _, j := range jobs {
			j.detach()
		}
	}()
	done := make(chan *job, len(jobs))
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, j := range jobs {
		go j.report(watching, done)
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for left := len(jobs); left > 0; {
		var e *rolloutpb.RunEvent
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeat.C:
			e = &rolloutpb.RunEvent{Heartbeat: true}
		case j := <-done:
			left--
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

// finished returns the speeds of the group's finished samples.
func (g *groupRun) finished() []finishedSample {
	var found []finishedSample
	for _, j := range g.siblings {
		if f, ok := j.finishedSpeed(); ok {
			found = append(found, f)
		}
	}
	return found
}
