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
	cut := d.gate.wait(limited)
	if cut > 0 {
		d.recordCut(cut)
	}
	return cut
}

func (d *Daemon) recordCut(cut int) {
	d.log.Log(event.DaemonDrainCut, event.F("requests", cut))
	d.modules.Alarms.Broken(alarm.PlannedStop, alarm.Evidence{
		Subject: d.settings.Daemon.ID,
		Detail:  fmt.Sprintf("%d requests in progress were cut after %v", cut, d.settings.Daemon.DrainTime),
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
