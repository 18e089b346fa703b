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

// retireInterval is the interval between two checks for retirement requests.
const retireInterval = 700 * time.Millisecond

// retirementStatus is the status of a retirement, the platform's request to empty an
// instance.
type retirementStatus struct {
	State string `json:"State"`
}

// reportRetirements reports each retirement of an instance with a disk as completed at once,
// because these instances hold no persistent data. The daemon of rank 0 reports it; the daemon
// of each further rank waits 2 s longer and acts as a backup.
func (d *Daemon) reportRetirements(ctx context.Context) error {
	firstSeen := map[int64]time.Time{}
	reported := map[int64]bool{}
	for ctx.Err() == nil {
		for _, o := range d.Mirror.Objects(platform.RetirementKind) {
			if firstSeen[o.Version].IsZero() {
				firstSeen[o.Version] = time.Now()
			}
			wait := time.Duration(d.dutyRank(o.Key)) * 2 * time.Second
			if reported[o.Version] || time.Since(firstSeen[o.Version]) < wait {
				continue
			}
			if err := d.Store.SetStatus(ctx, o.Key, retirementStatus{State: "completed"}); err == nil || fault.Is(err, fault.NotFound) {
				reported[o.Version] = true
				d.log.Log(event.EdgeInstanceRetired, event.F("instance", o.Key))
			}
		}
		clock.Sleep(ctx, retireInterval)
	}
	return nil
}

// dutyRank returns this daemon's rank for a duty by rendezvous hashing. The daemon of rank 0
// performs the duty; the others are backups in the order of their ranks.
func (d *Daemon) dutyRank(duty string) int {
	own, rank := xxhash.Sum64String(duty+"\x00"+d.settings.ID), 0
	for id := range d.members() {
		if xxhash.Sum64String(duty+"\x00"+id) > own {
			rank++
		}
	}
	return rank
}
