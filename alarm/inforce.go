package alarm

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

// InForceConfig configures an InForceWatch.
type InForceConfig struct {
	Limit    time.Duration    // a document is in force on all live daemons within this
	Interval time.Duration    // between two checks
	Now      func() time.Time // clock, nil for time.Now
}

// watchKey places the watch of a region on one of its daemons.
const watchKey = "alarm/in_force"

// InForceWatch records whether the documents come into force in time and never
// revert. One daemon of a region watches; which one is only a matter of load.
type InForceWatch struct {
	config   InForceConfig
	view     fleet.View
	admin    fleet.Admin
	docs     fleet.Documents
	recorder Recorder
	log      *event.Logger
	highest  map[string]int64 // version by service, as seen on this daemon
}

// NewInForceWatch returns a watch that Run starts.
func NewInForceWatch(config InForceConfig, view fleet.View, admin fleet.Admin, docs fleet.Documents, recorder Recorder, log *event.Logger) *InForceWatch {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &InForceWatch{
		config: config, view: view, admin: admin, docs: docs, recorder: recorder, log: log,
		highest: map[string]int64{},
	}
}

// Run checks until ctx ends.
func (w *InForceWatch) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.Check(ctx)
		}
	}
}

// Check looks once at the documents of this daemon and, on the daemon that watches
// the region, at where they are in force.
func (w *InForceWatch) Check(ctx context.Context) {
	w.checkOrder()
	owners := w.view.Owners(watchKey, 1)
	if len(owners) == 0 || owners[0].ID != w.view.Self().ID {
		return
	}
	services, err := w.admin.Status(ctx)
	if err != nil {
		w.log.Log(event.AlarmStatusFailed, event.Err(err))
		return
	}
	for _, service := range services {
		w.checkService(service)
	}
}

func (w *InForceWatch) checkService(service fleet.ServiceStatus) {
	late := false
	for _, behind := range service.Behind {
		waited := w.config.Now().Sub(behind.Since)
		if waited <= w.config.Limit {
			continue
		}
		late = true
		w.recorder.Broken(InForce, Evidence{
			Service: service.Service,
			Subject: behind.Member,
			Detail: fmt.Sprintf("version %d accepted %v ago, %d in force",
				service.Version, waited.Round(time.Second), behind.Version),
		})
	}
	if !late {
		w.recorder.Kept(InForce, service.Service)
	}
}

// checkOrder records a document whose version went back on this daemon.
func (w *InForceWatch) checkOrder() {
	for _, held := range w.docs.All() {
		service := held.Document.Service
		if held.Version < w.highest[service] {
			w.recorder.Broken(InForce, Evidence{
				Service: service,
				Subject: w.view.Self().ID,
				Detail:  fmt.Sprintf("version went back from %d to %d", w.highest[service], held.Version),
			})
			continue
		}
		w.highest[service] = held.Version
	}
}
