package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/event"
)

// drain stops taking work, hands the roles over and waits for the requests in
// progress. It returns the requests that are cut at the end of the drain time.
func (d *Daemon) drain(ctx context.Context) int {
	d.gate.set(Notice)
	d.log.Log(event.DaemonDraining, event.F("drain_time", d.settings.Daemon.DrainTime.String()))
	pause(ctx, d.settings.Daemon.DrainNotice)
	d.gate.set(Draining)
	draining := time.Now()

	limited, cancel := context.WithTimeout(ctx, d.settings.Daemon.DrainTime)
	defer cancel()
	var handover sync.WaitGroup
	for _, part := range d.parts() {
		switch module := part.module.(type) {
		case drainer:
			handover.Go(func() { module.Drain(limited) })
		case refuser:
			module.Drain()
		}
	}
	handover.Wait()
	return d.awaitRequests(ctx, draining)
}

// awaitRequests waits for the requests in progress for as long as the settings and
// the documents in force allow since the drain began.
func (d *Daemon) awaitRequests(ctx context.Context, since time.Time) int {
	limit := d.drainTime()
	limited, cancel := context.WithDeadline(ctx, since.Add(limit))
	defer cancel()
	cut := d.gate.wait(limited)
	if cut > 0 {
		d.recordCut(cut, limit)
	}
	return cut
}

// drainTime returns the longest time that requests in progress may take at a stop:
// the settings' or that of a service.
func (d *Daemon) drainTime() time.Duration {
	limit := d.settings.Daemon.DrainTime
	for _, held := range d.modules.Documents.All() {
		limit = max(limit, held.Document.Servers.DrainTime)
	}
	return limit
}

func (d *Daemon) recordCut(cut int, limit time.Duration) {
	d.log.Log(event.DaemonDrainCut, event.F("requests", cut))
	d.modules.Alarms.Broken(alarm.PlannedStop, alarm.Evidence{
		Subject: d.settings.Daemon.ID,
		Detail:  fmt.Sprintf("%d requests in progress were cut after %v", cut, limit),
	})
}

func pause(ctx context.Context, d time.Duration) {
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
