package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	maxDiscardedBodyBytes  = 64 << 10 // read from an unused body so that its connection can be reused
	maxStatusResponseBytes = 64 << 10
	notStartedRetryDelay   = 100 * time.Millisecond // suggested to the caller after a server rejected the request
)

type engine struct{ server *server }

// Generate implements Engine.
func (e engine) Generate(ctx context.Context, r GenerateRequest) (Stream, error) {
	request, err := e.newPostRequest("/generate", r)
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderRequestID, r.RequestID)
	request.Header.Set("Accept", "text/event-stream")
	c, err := e.server.send(ctx, request)
	if err != nil {
		return nil, err
	}
	if err := c.headerError(r.RequestID); err != nil {
		return nil, err
	}
	if c.response.StatusCode != http.StatusOK {
		return nil, c.statusCodeError()
	}
	return newStream(c, r.RequestID), nil
}

// Status implements Engine. It retries a failed request once on a new connection before
// it reports the server as unavailable.
func (e engine) Status(ctx context.Context) (EngineStatus, error) {
	status, err := e.fetchStatus(ctx)
	if err != nil && ctx.Err() == nil {
		e.server.transport.CloseIdleConnections()
		status, err = e.fetchStatus(ctx)
	}
	return status, err
}

func (e engine) fetchStatus(ctx context.Context) (EngineStatus, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, e.statusTimeout(ctx), errStalled)
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, "http://"+e.server.address+"/status", nil)
	if err != nil {
		return EngineStatus{}, invalidRequestError(err)
	}
	preventReplay(request)
	c, err := e.server.send(ctx, request)
	if err != nil {
		return EngineStatus{}, err
	}
	if err := c.headerError(""); err != nil {
		return EngineStatus{}, err
	}
	if c.response.StatusCode != http.StatusOK {
		return EngineStatus{}, c.statusCodeError()
	}
	defer c.release()
	body, err := io.ReadAll(io.LimitReader(c.response.Body, maxStatusResponseBytes))
	if err != nil {
		return EngineStatus{}, c.readError(err)
	}
	var status EngineStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return EngineStatus{}, fault.Wrap(err, fault.Unavailable, "status of backend server "+e.server.address, "check that it is a model engine")
	}
	return status, nil
}

// statusTimeout returns the timeout of one attempt: the progress timeout, but at most half
// of the time until the deadline of ctx, which leaves time for a second attempt.
func (e engine) statusTimeout(ctx context.Context) time.Duration {
	timeout := e.server.timeouts.Progress
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/2)
	}
	return timeout
}

// Stage implements Engine. It blocks until the engine has staged the version; only ctx
// limits the wait.
func (e engine) Stage(ctx context.Context, o Order) error {
	return e.sendOrder(ctx, "/weights/stage", o)
}

// Activate implements Engine.
func (e engine) Activate(ctx context.Context, o Order) error {
	return e.sendOrder(ctx, "/weights/activate", o)
}

func (e engine) sendOrder(ctx context.Context, path string, o Order) error {
	request, err := e.newPostRequest(path, o)
	if err != nil {
		return err
	}
	request.Header.Set(HeaderFencingToken, strconv.FormatInt(o.FencingToken, 10))
	c, err := e.server.sendWithTimeout(ctx, request, noTimeout)
	if err != nil {
		return err
	}
	if c.response.StatusCode == http.StatusConflict {
		c.discard()
		return fault.New(fault.Fenced, "backend server "+e.server.address+" has seen a newer fencing token",
			"step down: another daemon holds a newer lease", fault.WithOutcome(fault.NotRun))
	}
	if err := c.headerError(""); err != nil {
		return err
	}
	if c.response.StatusCode/100 != 2 {
		return c.statusCodeError()
	}
	c.discard()
	return nil
}

func (e engine) newPostRequest(path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, invalidRequestError(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+e.server.address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, invalidRequestError(err)
	}
	request.Header.Set("Content-Type", "application/json")
	preventReplay(request)
	return request, nil
}

func invalidRequestError(err error) error {
	return fault.Wrap(err, fault.Invalid, "request to a backend server can't be built", "check the server's address in the instance list", fault.WithOutcome(fault.NotRun))
}

// statusCodeError returns the error for a response with an error status and ends the call.
func (c *call) statusCodeError() error {
	text, _ := io.ReadAll(io.LimitReader(c.response.Body, 256))
	code := c.response.StatusCode
	c.discard()
	message := "backend server " + c.server.address + " responded with status " + strconv.Itoa(code) + " " + strings.TrimSpace(string(text))
	switch {
	case code == http.StatusTooManyRequests:
		return fault.New(fault.Overloaded, message, "retry later", fault.WithOutcome(fault.Unknown), fault.WithRetryAfter(notStartedRetryDelay))
	case code == http.StatusServiceUnavailable, code == http.StatusBadGateway, code == http.StatusGatewayTimeout:
		return fault.New(fault.Unavailable, message, "check the server's log", fault.WithOutcome(fault.Unknown))
	case code/100 == 4:
		return fault.New(fault.Invalid, message, "correct the request", fault.WithOutcome(fault.Failed))
	}
	return fault.New(fault.Unavailable, message, "check the server's log", fault.WithOutcome(fault.Failed))
}

// discard reads up to maxDiscardedBodyBytes of the body, so that the connection can be
// reused, and ends the call.
func (c *call) discard() {
	timer := c.startProgressTimer(c.ctx)
	_, _ = io.CopyN(io.Discard, c.response.Body, maxDiscardedBodyBytes)
	timer.stop()
	c.release()
}
