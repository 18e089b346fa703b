package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/event"
)

// drain stops accepting work, hands over the daemon's roles and waits for the requests
// in flight. It returns the number of requests aborted at the end of the drain time.
func (d *Daemon) drain(ctx context.Context) int {
	d.gate.set(StateDrainNotice)
	d.log.Log(event.DaemonDraining, event.F("drain_time", d.settings.Daemon.DrainTime.String()))
	sleep(ctx, d.settings.Daemon.DrainNotice)
	d.gate.set(StateDraining)
	drainStart := time.Now()

	drainCtx, cancel := context.WithTimeout(ctx, d.settings.Daemon.DrainTime)
	defer cancel()
	var handover sync.WaitGroup
	for _, m := range d.namedModules() {
		switch module := m.module.(type) {
		case drainer:
			handover.Go(func() { module.Drain(drainCtx) })
		case queueCloser:
			module.Drain()
		}
	}
	handover.Wait()
	return d.waitForRequests(ctx, drainStart)
}

// waitForRequests waits for the requests in flight until drainTime after drainStart. It
// returns the number of requests that are left.
func (d *Daemon) waitForRequests(ctx context.Context, drainStart time.Time) int {
	limit := d.drainTime()
	waitCtx, cancel := context.WithDeadline(ctx, drainStart.Add(limit))
	defer cancel()
	aborted := d.gate.wait(waitCtx)
	if aborted > 0 {
		d.recordAborted(aborted, limit)
	}
	return aborted
}

// drainTime returns the longest of daemon.drain_time and the drain_time of each document.
func (d *Daemon) drainTime() time.Duration {
	limit := d.settings.Daemon.DrainTime
	for _, doc := range d.modules.Documents.All() {
		limit = max(limit, doc.Document.Servers.DrainTime)
	}
	return limit
}

func (d *Daemon) recordAborted(aborted int, limit time.Duration) {
	d.log.Log(event.DaemonDrainTimeExceeded, event.F("requests", aborted))
	d.modules.Alarms.Broken(alarm.PlannedStop, alarm.Evidence{
		Subject: d.settings.Daemon.ID,
		Detail:  fmt.Sprintf("%d requests in flight were aborted after %v", aborted, limit),
	})
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
