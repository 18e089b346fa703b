package edge

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/platform"
)

// retireInterval is the pause between two looks at instances that are to be emptied.
const retireInterval = 700 * time.Millisecond

// retirement is the status of an instance that is to be emptied.
type retirement struct {
	State string `json:"State"`
}

// retire reports instances with a disk as emptied at once: nothing that must last is kept
// on them. The first daemon in line does it; the others step in later.
func (d *Daemon) retire(ctx context.Context) error {
	seen := map[int64]time.Time{}
	done := map[int64]bool{}
	for ctx.Err() == nil {
		for _, o := range d.Mirror.Objects(platform.RetirementKind) {
			if seen[o.Version].IsZero() {
				seen[o.Version] = time.Now()
			}
			wait := time.Duration(d.rankFor(o.Key)) * 2 * time.Second
			if done[o.Version] || time.Since(seen[o.Version]) < wait {
				continue
			}
			if err := d.Store.SetStatus(ctx, o.Key, retirement{State: "completed"}); err == nil || fault.Is(err, fault.NotFound) {
				done[o.Version] = true
				d.log.Log(event.EdgeRetired, event.F("instance", o.Key))
			}
		}
		clock.Sleep(ctx, retireInterval)
	}
	return nil
}

// rankFor is this daemon's place in line for a duty.
func (d *Daemon) rankFor(duty string) int {
	own, rank := xxhash.Sum64String(duty+"\x00"+d.settings.ID), 0
	for id := range d.members() {
		if xxhash.Sum64String(duty+"\x00"+id) > own {
			rank++
		}
	}
	return rank
}
