package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// faultCode marks a drpc error whose message is a fault.Body in JSON.
const faultCode = 4001

const remedyPeer = "check that the other daemon runs and is reachable; the call can be tried on another one"

// faultHandler sends the errors of handlers as fault bodies.
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

// decodeError returns what a failed call means. An error that the handler returned
// keeps its kind; io.EOF ends a stream; everything else is a peer that did not answer.
func decodeError(ctx context.Context, err error, address string, silent bool) error {
	if remote, ok := remoteError(err); ok {
		return remote
	}
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case silent:
		return fault.Wrap(err, fault.Unavailable, "connection to "+address+" was silent", remedyPeer)
	case ctx.Err() != nil && errors.Is(err, ctx.Err()):
		return err
	}
	return fault.Wrap(err, fault.Unavailable, "no answer from "+address, remedyPeer)
}

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
