package edge

import (
	"context"
	"io"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Standby is the process on instances with a data disk. It keeps nothing there: what must
// last is in the platform's store, so that a lost, full or emptied disk costs nothing.
type Standby struct{ log *event.Logger }

// NewStandby returns a Standby.
func NewStandby(settings Settings, output io.Writer) *Standby {
	return &Standby{log: newLogger(settings, output)}
}

// Run waits until ctx ends.
func (s *Standby) Run(ctx context.Context) error {
	s.log.Log(event.EdgeStarted)
	<-ctx.Done()
	s.log.Log(event.EdgeStopped)
	return nil
}
