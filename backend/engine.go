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
	maxDiscardBytes = 64 << 10               // read from an unwanted body to keep its connection
	maxStatusBytes  = 64 << 10               // of a status answer
	notStartedRetry = 100 * time.Millisecond // wait before a server that refused is tried again
)

type engine struct{ server *server }

// Generate implements Engine.
func (e engine) Generate(ctx context.Context, r GenerateRequest) (Stream, error) {
	request, err := e.post("/generate", r)
	if err != nil {
		return nil, err
	}
	request.Header.Set(HeaderRequestID, r.RequestID)
	request.Header.Set("Accept", "text/event-stream")
	c, err := e.server.send(ctx, request)
	if err != nil {
		return nil, err
	}
	if err := c.refusal(r.RequestID); err != nil {
		return nil, err
	}
	if c.response.StatusCode != http.StatusOK {
		return nil, c.statusFailure()
	}
	return newStream(c, r.RequestID), nil
}

// Status implements Engine. A server is reported as unavailable only after a fresh
// connection failed too.
func (e engine) Status(ctx context.Context) (EngineStatus, error) {
	status, err := e.status(ctx)
	if err != nil && ctx.Err() == nil {
		e.server.transport.CloseIdleConnections()
		status, err = e.status(ctx)
	}
	return status, err
}

func (e engine) status(ctx context.Context) (EngineStatus, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, e.statusLimit(ctx), errStalled)
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, "http://"+e.server.address+"/status", nil)
	if err != nil {
		return EngineStatus{}, invalid(err)
	}
	sendOnce(request)
	c, err := e.server.send(ctx, request)
	if err != nil {
		return EngineStatus{}, err
	}
	if c.response.StatusCode != http.StatusOK {
		return EngineStatus{}, c.statusFailure()
	}
	defer c.release()
	body, err := io.ReadAll(io.LimitReader(c.response.Body, maxStatusBytes))
	if err != nil {
		return EngineStatus{}, c.readFailure(err)
	}
	var status EngineStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return EngineStatus{}, fault.Wrap(err, fault.Unavailable, "status of backend server "+e.server.address, "look whether it is a model engine")
	}
	return status, nil
}

// statusLimit bounds one attempt such that ctx leaves time for a second one.
func (e engine) statusLimit(ctx context.Context) time.Duration {
	limit := e.server.timeouts.Progress
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline)/2)
	}
	return limit
}

// Stage implements Engine. It blocks until the engine has staged the version, so only
// ctx bounds it.
func (e engine) Stage(ctx context.Context, o Order) error { return e.order(ctx, "/weights/stage", o) }

// Activate implements Engine.
func (e engine) Activate(ctx context.Context, o Order) error {
	return e.order(ctx, "/weights/activate", o)
}

func (e engine) order(ctx context.Context, path string, o Order) error {
	request, err := e.post(path, o)
	if err != nil {
		return err
	}
	request.Header.Set(HeaderFence, strconv.FormatInt(o.Fence, 10))
	c, err := e.server.sendWithin(ctx, request, noLimit)
	if err != nil {
		return err
	}
	if c.response.StatusCode == http.StatusConflict {
		c.discard()
		return fault.New(fault.Fenced, "backend server "+e.server.address+" has seen a newer fencing number",
			"step down: a newer lease holder exists", fault.WithOutcome(fault.NotRun))
	}
	if err := c.refusal(""); err != nil {
		return err
	}
	if c.response.StatusCode/100 != 2 {
		return c.statusFailure()
	}
	c.discard()
	return nil
}

func (e engine) post(path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, invalid(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+e.server.address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, invalid(err)
	}
	request.Header.Set("Content-Type", "application/json")
	sendOnce(request)
	return request, nil
}

func invalid(err error) error {
	return fault.Wrap(err, fault.Invalid, "request to a backend server", "look at the server's address in the instance list", fault.WithOutcome(fault.NotRun))
}

// statusFailure types a response with an error status and ends the call.
func (c *call) statusFailure() error {
	text, _ := io.ReadAll(io.LimitReader(c.response.Body, 256))
	code := c.response.StatusCode
	c.discard()
	message := "backend server " + c.server.address + " answered " + strconv.Itoa(code) + " " + strings.TrimSpace(string(text))
	switch {
	case code == http.StatusTooManyRequests:
		return fault.New(fault.Overloaded, message, "try later", fault.WithOutcome(fault.Unknown), fault.WithRetryAfter(notStartedRetry))
	case code == http.StatusServiceUnavailable, code == http.StatusBadGateway, code == http.StatusGatewayTimeout:
		return fault.New(fault.Unavailable, message, "look at the server's log", fault.WithOutcome(fault.Unknown))
	case code/100 == 4:
		return fault.New(fault.Invalid, message, "correct the request", fault.WithOutcome(fault.Failed))
	}
	return fault.New(fault.Unavailable, message, "look at the server's log", fault.WithOutcome(fault.Failed))
}

// discard reads a short rest of the body, so that the connection is reused, and ends the call.
func (c *call) discard() {
	g := c.guard(c.ctx)
	_, _ = io.CopyN(io.Discard, c.response.Body, maxDiscardBytes)
	g.stop()
	c.release()
}
