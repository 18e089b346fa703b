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
	MaxDelay time.Duration    // maximum time until a document is in force on all live daemons
	Interval time.Duration    // between two checks
	Now      func() time.Time // clock; nil means time.Now
}

// inForceOwnerKey is the rendezvous hashing key that selects the daemon that checks the
// region.
const inForceOwnerKey = "alarm/in_force"

// InForceWatch records whether documents come into force in time and never revert. Each
// daemon checks its own documents for reverts. One daemon per region, selected only to
// distribute load, checks that documents are in force on all daemons in time.
type InForceWatch struct {
	config         InForceConfig
	view           fleet.View
	admin          fleet.DocumentAdmin
	docs           fleet.Documents
	recorder       Recorder
	log            *event.Logger
	highestVersion map[string]int64 // highest version by service on this daemon
}

// NewInForceWatch returns an InForceWatch. Run starts it.
func NewInForceWatch(config InForceConfig, view fleet.View, admin fleet.DocumentAdmin, docs fleet.Documents, recorder Recorder, log *event.Logger) *InForceWatch {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &InForceWatch{
		config: config, view: view, admin: admin, docs: docs, recorder: recorder, log: log,
		highestVersion: map[string]int64{},
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

// Check checks the documents of this daemon for reverts once. On the daemon that checks the
// region, it also checks that all documents are in force in time.
func (w *InForceWatch) Check(ctx context.Context) {
	w.checkReverts()
	owners := w.view.Owners(inForceOwnerKey, 1)
	if len(owners) == 0 || owners[0].ID != w.view.Self().ID {
		return
	}
	services, err := w.admin.Status(ctx)
	if err != nil {
		w.log.Log(event.AlarmInForceUnknown, event.Err(err))
		return
	}
	for _, service := range services {
		w.checkInForce(service)
	}
}

func (w *InForceWatch) checkInForce(service fleet.ServiceStatus) {
	overdue := false
	for _, lagging := range service.Lagging {
		elapsed := w.config.Now().Sub(lagging.Since)
		if elapsed <= w.config.MaxDelay {
			continue
		}
		overdue = true
		w.recorder.Broken(InForce, Evidence{
			Service: service.Service,
			Subject: lagging.Member,
			Detail: fmt.Sprintf("version %d accepted %v ago, %d in force",
				service.Version, elapsed.Round(time.Second), lagging.Version),
		})
	}
	if !overdue {
		w.recorder.Kept(InForce, service.Service)
	}
}

// checkReverts records a violation for each document whose version has decreased on this
// daemon.
func (w *InForceWatch) checkReverts() {
	for _, current := range w.docs.All() {
		service := current.Document.Service
		if current.Version < w.highestVersion[service] {
			w.recorder.Broken(InForce, Evidence{
				Service: service,
				Subject: w.view.Self().ID,
				Detail:  fmt.Sprintf("version went back from %d to %d", w.highestVersion[service], current.Version),
			})
			continue
		}
		w.highestVersion[service] = current.Version
	}
}
