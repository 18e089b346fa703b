package dispatch

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/routing"
)

// Buffer sizes for responses, in bytes.
const (
	maxBufferedResponse = 1 << 20 // a smaller response is forwarded only after it has been read completely
	copyBufferSize      = 32 << 10
)

// exchangePlain sends the call to a plain service and forwards the response.
func (m *Manager) exchangePlain(ctx context.Context, w http.ResponseWriter, a attempt) (bool, error) {
	request, err := a.call.newBackendRequest(a.lease.Replica.Address, a.id)
	if err != nil {
		return false, err
	}
	response, err := m.deps.Backends.Plain(a.lease.Replica.Address).Do(ctx, request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if err := checkResponse(response, a.id); err != nil {
		return false, err
	}
	reportLoad(a.lease, response.Header)
	if isEventStream(response) {
		return true, m.forwardResponse(w, a, response, nil)
	}
	buffered, complete, err := bufferResponse(response.Body)
	if err != nil {
		return false, fault.Wrap(err, readErrorKind(err), "read the response of "+a.lease.Replica.ID,
			"check whether the request took effect", fault.WithOutcome(fault.Unknown))
	}
	if complete {
		response.Body = http.NoBody
	}
	return true, m.forwardResponse(w, a, response, buffered)
}

// checkResponse returns an error if the response belongs to another request or states that
// the server did not start the request.
func checkResponse(response *http.Response, id string) error {
	header := response.Header
	if response.StatusCode == http.StatusServiceUnavailable && header.Get(backend.HeaderNotStarted) == "true" {
		return notStartedError(header.Get(backend.HeaderLeaving) == "true")
	}
	if echoed := header.Get(backend.HeaderRequestID); echoed != "" && echoed != id {
		return backendError(fault.Mismatched, "response belongs to request "+echoed)
	}
	return nil
}

// reportLoad reports the load in a plain service's response headers to the lease.
func reportLoad(lease routing.Lease, header http.Header) {
	running, err := strconv.Atoi(header.Get(backend.HeaderRunning))
	if err != nil || lease.ReportLoad == nil {
		return
	}
	waiting, _ := strconv.Atoi(header.Get(backend.HeaderWaiting))
	lease.ReportLoad(backend.Load{Running: running, Waiting: waiting})
}

func notStartedError(leaving bool) error {
	if leaving {
		return fault.New(fault.Draining, "the backend server is leaving", "retry", fault.WithOutcome(fault.NotRun))
	}
	return fault.New(fault.Overloaded, "the backend server is overloaded", "retry later", fault.WithOutcome(fault.NotRun))
}

func isEventStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// bufferResponse reads up to maxBufferedResponse bytes of the body. complete means that the
// body has ended.
func bufferResponse(body io.Reader) (buffered []byte, complete bool, err error) {
	buffered, err = io.ReadAll(io.LimitReader(body, maxBufferedResponse))
	return buffered, len(buffered) < maxBufferedResponse, err
}

// forwardResponse writes the status, the headers, the buffered bytes and the rest of the
// body. If reading the rest fails, the caller's connection is aborted: a plain HTTP
// response has no other way to signal that it is truncated.
func (m *Manager) forwardResponse(w http.ResponseWriter, a attempt, response *http.Response, buffered []byte) error {
	copyHeader(w.Header(), endToEndHeaders(response.Header))
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", response.Header.Get("Content-Length"))
	}
	w.WriteHeader(response.StatusCode)
	if _, err := w.Write(buffered); err != nil {
		return fault.Wrap(err, fault.Canceled, "write to caller", "", fault.WithOutcome(fault.Unknown))
	}
	if err := copyFlushed(w, response.Body); err != nil {
		return m.recordTruncated(a, err)
	}
	m.recordComplete(a, 0)
	return serverError(response.StatusCode)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if name != headerRequestID {
			to[name] = values
		}
	}
}

func copyFlushed(w http.ResponseWriter, body io.Reader) error {
	if body == http.NoBody {
		return nil
	}
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return fault.Wrap(err, fault.Canceled, "write to caller", "", fault.WithOutcome(fault.Unknown))
			}
			_ = controller.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// truncatedError is the error for a response that ended early after part of it had been
// forwarded. The caller's connection is aborted.
type truncatedError struct{ cause error }

func (e *truncatedError) Error() string { return e.cause.Error() }
func (e *truncatedError) Unwrap() error { return e.cause }

func (m *Manager) recordTruncated(a attempt, err error) error {
	m.count(func(c *Counters) { c.Truncated++; c.countOutcome(fault.Unknown) })
	if !fault.Is(err, fault.Canceled) && !fault.Is(err, fault.Deadline) {
		m.deps.Recorder.Broken(alarm.CompleteResponses, alarm.Evidence{
			Service: a.call.document.Service,
			Subject: a.id,
			Detail:  "response of " + a.lease.Replica.ID + " ended early: " + err.Error(),
			At:      m.now(),
		})
	}
	return &truncatedError{cause: fault.Wrap(err, readErrorKind(err), "the response ended early", "", fault.WithOutcome(fault.Unknown))}
}

// readErrorKind returns the kind of a read error, or fault.Truncated if the error has none.
func readErrorKind(err error) fault.Kind {
	if kind := fault.KindOf(err); kind != fault.Internal {
		return kind
	}
	return fault.Truncated
}

// serverError returns an error for routing if the status is 5xx. The caller has already
// received the response.
func serverError(status int) error {
	if status < http.StatusInternalServerError {
		return nil
	}
	return fault.New(fault.Unavailable, "the backend server responded with "+http.StatusText(status), "",
		fault.WithOutcome(fault.Failed))
}
