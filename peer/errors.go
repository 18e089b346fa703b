package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strings"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// faultCode marks a drpc error whose message is a fault.Body in JSON.
const faultCode = 4001

const unavailableRemedy = "check that the other daemon is running and reachable, or try the call on another daemon"

// recoveringHandler returns a panic of a handler as an error. Without it, one faulty call would end
// the process and with it all requests of other callers.
type recoveringHandler struct {
	handler drpc.Handler
	log     *event.Logger
}

// HandleRPC implements drpc.Handler.
func (h recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			h.log.Log(event.PeerHandlerPanicked, event.F("call", rpc), event.F("cause", fmt.Sprint(cause)), event.F("stack", string(debug.Stack())))
			err = fault.New(fault.Internal, "the handler of "+rpc+" failed", "report this defect with the log of the called daemon")
		}
	}()
	return h.handler.HandleRPC(stream, rpc)
}

// faultHandler encodes the errors of a handler as fault.Body.
type faultHandler struct{ handler drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h faultHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return encodeError(h.handler.HandleRPC(stream, rpc))
}

func encodeError(err error) error {
	if err == nil {
		return nil
	}
	body, marshalErr := json.Marshal(fault.BodyOf(err))
	if marshalErr != nil {
		return err
	}
	return drpcerr.WithCode(errors.New(string(body)), faultCode)
}

// decodeError converts the error of a call. An error that the remote handler returned
// keeps its kind, io.EOF at the end of a stream and the error of ctx are returned as
// such, and any other error becomes fault.Unavailable.
func decodeError(ctx context.Context, err error, address string, timedOut bool) error {
	if remote, ok := remoteError(err); ok {
		return remote
	}
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case timedOut:
		return fault.Wrap(err, fault.Unavailable, "no data from "+address+" before the timeout", unavailableRemedy)
	case ctx.Err() != nil && errors.Is(err, ctx.Err()):
		return err
	}
	return fault.Wrap(err, fault.Unavailable, "no response from "+address, unavailableRemedy)
}

// remoteError returns the handler's error if err carries one.
func remoteError(err error) (error, bool) {
	if drpcerr.Code(err) != faultCode {
		return nil, false
	}
	var body fault.Body
	if json.Unmarshal([]byte(err.Error()), &body) != nil {
		return nil, false
	}
	wait := time.Duration(body.RetryAfterMS) * time.Millisecond
	message := strings.TrimSuffix(body.Message, "; "+body.Remedy)
	return fault.New(body.Kind, message, body.Remedy, fault.WithOutcome(body.Outcome), fault.WithRetryAfter(wait)), true
}
