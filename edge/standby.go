package edge

import (
	"context"
	"io"

	"github.com/hornbeamtide/hornbeamtide/event"
)

// Standby is the process on instances with a data disk. It stores nothing on the disk, since
// persistent data is kept in the platform's store: a lost, full or emptied disk loses no data.
type Standby struct{ log *event.Logger }

// NewStandby returns a Standby that logs to output.
func NewStandby(settings Settings, output io.Writer) *Standby {
	return &Standby{log: newLogger(settings, output)}
}

// Run waits until ctx is done.
func (s *Standby) Run(ctx context.Context) error {
	s.log.Log(event.EdgeStarted)
	<-ctx.Done()
	s.log.Log(event.EdgeStopped)
	return nil
}
