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

// Sizes of an answer on its way to the caller, bytes.
const (
	maxHeldAnswer  = 1 << 20 // an answer up to this size is passed on only when it is whole
	copyBufferSize = 32 << 10
)

// exchangePlain sends the call to a plain service and passes the answer on.
func (m *Manager) exchangePlain(ctx context.Context, w http.ResponseWriter, a attempt) (bool, error) {
	request, err := a.call.outgoing(a.lease.Replica.Address, a.id)
	if err != nil {
		return false, err
	}
	response, err := m.parts.Backends.Plain(a.lease.Replica.Address).Do(ctx, request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if err := checkAnswer(response, a.id); err != nil {
		return false, err
	}
	reportLoad(a.lease, response.Header)
	if isEventStream(response) {
		return true, m.passOn(w, a, response, nil)
	}
	held, whole, err := hold(response.Body)
	if err != nil {
		return false, fault.Wrap(err, cutKind(err), "read the answer of "+a.lease.Replica.ID,
			"look up whether the request took effect", fault.WithOutcome(fault.Unknown))
	}
	if whole {
		response.Body = http.NoBody
	}
	return true, m.passOn(w, a, response, held)
}

// checkAnswer refuses an answer that says the request was not started or that
// belongs to another request.
func checkAnswer(response *http.Response, id string) error {
	header := response.Header
	if response.StatusCode == http.StatusServiceUnavailable && header.Get(backend.HeaderNotStarted) == "true" {
		return notStarted(header.Get(backend.HeaderLeaving) == "true")
	}
	if echoed := header.Get(backend.HeaderRequestID); echoed != "" && echoed != id {
		return broken(fault.Mismatched, "the answer belongs to request "+echoed)
	}
	return nil
}

// reportLoad passes on the load that a plain service reports of itself.
func reportLoad(lease routing.Lease, header http.Header) {
	running, err := strconv.Atoi(header.Get(backend.HeaderRunning))
	if err != nil || lease.Load == nil {
		return
	}
	waiting, _ := strconv.Atoi(header.Get(backend.HeaderWaiting))
	lease.Load(backend.Load{Running: running, Waiting: waiting})
}

func notStarted(leaving bool) error {
	if leaving {
		return fault.New(fault.Draining, "the backend server is leaving", "retry", fault.WithOutcome(fault.NotRun))
	}
	return fault.New(fault.Overloaded, "the backend server is overloaded", "retry later", fault.WithOutcome(fault.NotRun))
}

func isEventStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// hold reads the answer up to maxHeldAnswer bytes; whole reports that it ended.
func hold(body io.Reader) (held []byte, whole bool, err error) {
	held, err = io.ReadAll(io.LimitReader(body, maxHeldAnswer))
	return held, len(held) < maxHeldAnswer, err
}

// passOn writes status, headers, the held bytes and the rest of the body. When the
// rest breaks off, the caller's connection is aborted, since a plain HTTP answer
// can't say otherwise that it is not whole.
func (m *Manager) passOn(w http.ResponseWriter, a attempt, response *http.Response, held []byte) error {
	copyHeader(w.Header(), endToEnd(response.Header))
	if response.ContentLength >= 0 {
		w.Header().Set("Content-Length", response.Header.Get("Content-Length"))
	}
	w.WriteHeader(response.StatusCode)
	if _, err := w.Write(held); err != nil {
		return fault.Wrap(err, fault.Canceled, "write to caller", "", fault.WithOutcome(fault.Unknown))
	}
	if err := copyFlushed(w, response.Body); err != nil {
		return m.noteCut(a, err)
	}
	m.noteWhole(a, 0)
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

// cutAnswer is the error of an answer that broke off in its middle; the caller's
// connection is ended.
type cutAnswer struct{ cause error }

func (c *cutAnswer) Error() string { return c.cause.Error() }
func (c *cutAnswer) Unwrap() error { return c.cause }

func (m *Manager) noteCut(a attempt, err error) error {
	m.count(func(c *Counters) { c.Cut++; c.countOutcome(fault.Unknown) })
	if !fault.Is(err, fault.Canceled) && !fault.Is(err, fault.Deadline) {
		m.parts.Recorder.Broken(alarm.WholeAnswers, alarm.Evidence{
			Service: a.call.document.Service,
			Subject: a.id,
			Detail:  "answer of " + a.lease.Replica.ID + " broke off: " + err.Error(),
			At:      m.now(),
		})
	}
	return &cutAnswer{cause: fault.Wrap(err, cutKind(err), "the answer broke off", "", fault.WithOutcome(fault.Unknown))}
}

// cutKind is the kind of a read error, which need not be one of package fault.
func cutKind(err error) fault.Kind {
	if kind := fault.KindOf(err); kind != fault.Internal {
		return kind
	}
	return fault.Truncated
}

// serverError reports an answer of a failing server to routing; the caller has it.
func serverError(status int) error {
	if status < http.StatusInternalServerError {
		return nil
	}
	return fault.New(fault.Unavailable, "the backend server answered "+http.StatusText(status), "",
		fault.WithOutcome(fault.Failed))
}
