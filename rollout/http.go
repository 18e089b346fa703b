package rollout

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// maxBodyBytes bounds the body of a trainer's request.
const maxBodyBytes = 8 << 20

// Routes registers the trainer API on r, which serves the paths below /v1/trainers.
func (m *Manager) Routes(r chi.Router) {
	r.Post("/{trainer}/sessions", m.serveSession)
	r.Post("/{trainer}/steps", m.serveStep)
	r.Post("/{trainer}/pull", m.servePull)
}

func (m *Manager) serveSession(w http.ResponseWriter, r *http.Request) {
	var request OpenSessionRequest
	trainer, err := readRequest(w, r, &request)
	if err != nil {
		fault.WriteHTTP(w, err)
		return
	}
	session, err := m.OpenSession(r.Context(), trainer, request)
	writeResponse(w, session, err)
}

func (m *Manager) serveStep(w http.ResponseWriter, r *http.Request) {
	var request OpenStepRequest
	trainer, err := readRequest(w, r, &request)
	if err != nil {
		fault.WriteHTTP(w, err)
		return
	}
	step, err := m.OpenStep(r.Context(), trainer, request)
	writeResponse(w, step, err)
}

func (m *Manager) servePull(w http.ResponseWriter, r *http.Request) {
	var request PullRequest
	trainer, err := readRequest(w, r, &request)
	if err != nil {
		fault.WriteHTTP(w, err)
		return
	}
	if err := m.pull(r.Context(), trainer, request, w); err != nil {
		fault.WriteHTTP(w, err)
	}
}

// readRequest returns the trainer named in the path and decodes the JSON request body into
// body.
func readRequest(w http.ResponseWriter, r *http.Request, body any) (trainer string, err error) {
	trainer = chi.URLParam(r, "trainer")
	if trainer == "" || len(trainer) > maxNameBytes {
		return "", fault.New(fault.Invalid, "the trainer's name is empty or too long", "use a name of at most 256 bytes", fault.WithOutcome(fault.NotRun))
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return "", fault.Wrap(err, fault.Invalid, "the request body can't be read", "send the JSON body described in docs/API.md, at most 8 MiB", fault.WithOutcome(fault.NotRun))
	}
	return trainer, nil
}

func writeResponse(w http.ResponseWriter, response any, err error) {
	if err != nil {
		fault.WriteHTTP(w, err)
		return
	}
	body, err := encode(response)
	if err != nil {
		fault.WriteHTTP(w, err)
		return
	}
	writeBody(w, body)
}

func encode(response any) ([]byte, error) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(response); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the response can't be encoded", "report this as a defect")
	}
	return b.Bytes(), nil
}

func writeBody(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
