package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// streamBuffer is the maximum number of bytes of a stream that are forwarded at once.
const streamBuffer = 16 << 10

// writeStream forwards events as they arrive. A stream whose first byte was sent is never
// restarted; if it is truncated, the connection to the caller is closed so that the caller
// can resume the stream.
func (p *pendingRequest) writeStream(ctx context.Context, w http.ResponseWriter, lease *placement.Lease, resp *upstream.Response) (bool, error) {
	copyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.Status)
	controller := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	var position eventPosition
	for {
		n, err := resp.Body.Read(buffer)
		position.advance(buffer[:n])
		if errors.Is(err, io.EOF) && position.withinEvent() && isEventStream(resp.Header) {
			err = io.ErrUnexpectedEOF
		}
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				lease.Done(placement.Inconclusive, resp.Load, 0)
				panic(http.ErrAbortHandler)
			}
			_ = controller.Flush() // a broken connection fails the next write
		}
		switch {
		case errors.Is(err, io.EOF):
			lease.Done(placement.Answered, resp.Load, 0)
			p.recordSurvival()
			p.servedBy, p.status = lease.ID, resp.Status
			return true, nil
		case err != nil:
			lease.Done(p.failureOutcome(ctx, lease.ID, err), resp.Load, 0)
			if errors.Is(ctx.Err(), context.Canceled) {
				panic(http.ErrAbortHandler) // the caller disconnected
			}
			p.log.Log(event.GatewayStreamBroke, event.F("request", p.request.ID), event.F("replica", lease.ID), event.F("cause", fmt.Sprint(err)))
			panic(http.ErrAbortHandler)
		}
	}
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// eventPosition is the position in a stream of events. A response without a length ends with its
// connection, also when the replica stops within an event.
type eventPosition struct {
	inLine  bool // the current line has text
	inEvent bool // a line of the current event has ended
}

func (p *eventPosition) advance(text []byte) {
	for _, b := range text {
		switch b {
		case '\r':
		case '\n':
			p.inEvent, p.inLine = p.inLine, false // a blank line ends the event
		default:
			p.inLine = true
		}
	}
}

func (p *eventPosition) withinEvent() bool { return p.inLine || p.inEvent }
