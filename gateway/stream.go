package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// streamBuffer is how many bytes of a stream are passed on at once.
const streamBuffer = 16 << 10

// stream passes events on as they come. Once its first byte left, a stream is never
// begun anew; one that breaks off ends its connection, so that the caller may resume it.
func (a *attempt) stream(ctx context.Context, w http.ResponseWriter, lease *placement.Lease, answer *upstream.Answer) (bool, error) {
	copyHeader(w.Header(), answer.Header)
	w.WriteHeader(answer.Status)
	flush := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				lease.Done(placement.Unclear, answer.Load, 0)
				panic(http.ErrAbortHandler)
			}
			_ = flush.Flush() // a broken connection shows at the next write
		}
		switch {
		case errors.Is(err, io.EOF):
			lease.Done(placement.Answered, answer.Load, 0)
			a.server, a.status = lease.ID, answer.Status
			return true, nil
		case err != nil:
			lease.Done(a.broke(ctx, lease.ID), answer.Load, 0)
			if errors.Is(ctx.Err(), context.Canceled) {
				panic(http.ErrAbortHandler) // the caller left
			}
			a.log.Log(event.GatewayStreamBroke, event.F("request", a.request.ID), event.F("replica", lease.ID), event.F("cause", fmt.Sprint(err)))
			panic(http.ErrAbortHandler)
		}
	}
}
