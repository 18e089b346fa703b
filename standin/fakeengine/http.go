package fakeengine

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// keepAliveInterval is the time between keep-alive comments on an idle stream.
const keepAliveInterval = time.Second

// Handler serves the engine's HTTP interface and its control endpoints.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/generate", e.postGenerate)
	r.Get("/status", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.Status()) })
	r.Get("/cache/events", e.getCacheEvents)
	r.Post("/weights/stage", e.postStage)
	r.Post("/weights/activate", e.postActivate)
	r.Post("/control/faults", e.postFaults)
	r.Post("/control/restart", func(w http.ResponseWriter, _ *http.Request) {
		e.Restart()
		w.WriteHeader(http.StatusNoContent)
	})
	r.Get("/control/counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e.Counts()) })
	return r
}

func (e *Engine) postGenerate(w http.ResponseWriter, r *http.Request) {
	var request backend.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.RequestID == "" {
		request.RequestID = r.Header.Get(backend.HeaderRequestID)
	}
	w.Header().Set(backend.HeaderRequestID, request.RequestID)
	s, reason := e.enqueue(request, r.Context().Done())
	if reason != accepted {
		refuse(w, reason)
		return
	}
	e.stream(w, r, s)
}

func refuse(w http.ResponseWriter, reason refusalReason) {
	w.Header().Set(backend.HeaderNotStarted, "true")
	if reason == refusedLeaving {
		w.Header().Set(backend.HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// stream writes the chunks of s as server-sent events. If the engine aborts the request,
// it breaks the connection.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence) {
	e.mu.Lock()
	load := e.load()
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(backend.HeaderRunning, strconv.Itoa(load.Running))
	w.Header().Set(backend.HeaderWaiting, strconv.Itoa(load.Waiting))
	out := http.NewResponseController(w)
	_ = out.Flush()
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case chunk := <-s.chunks:
			if s.truncate && chunk.End {
				return
			}
			encoded, _ := json.Marshal(chunk)
			_, _ = w.Write(append(append([]byte("data: "), encoded...), "\n\n"...))
			_ = out.Flush()
			if chunk.End {
				return
			}
		case <-keepAlive.C:
			_, _ = w.Write([]byte(": waiting\n"))
			_ = out.Flush()
		case <-s.aborted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) postStage(w http.ResponseWriter, r *http.Request) {
	order, ok := decodeOrder(w, r)
	if ok {
		writeOrderResult(w, e.Stage(r.Context(), order))
	}
}

func (e *Engine) postActivate(w http.ResponseWriter, r *http.Request) {
	order, ok := decodeOrder(w, r)
	if ok {
		err := e.Activate(order)
		e.sleepActivateTime()
		writeOrderResult(w, err)
	}
}

func decodeOrder(w http.ResponseWriter, r *http.Request) (backend.Order, bool) {
	var order backend.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Version < 1 {
		http.Error(w, "order without a version", http.StatusBadRequest)
		return order, false
	}
	return order, true
}

func writeOrderResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.Is(err, errFenced):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errNotStaged):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
