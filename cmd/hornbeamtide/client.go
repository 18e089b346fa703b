package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/daemon"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Bounds of a call to a daemon.
const (
	callTimeout = 15 * time.Second
	maxAnswer   = 64 << 20 // bytes
)

// answer is a daemon's response.
type answer struct {
	body    []byte
	version int64 // X-Version, 0 when absent
}

// call sends one request to the daemon. Error responses become errors of their kind.
func (r *remote) call(method, path, body string, header http.Header) (answer, error) {
	request, err := http.NewRequest(method, "http://"+r.Address+path, strings.NewReader(body))
	if err != nil {
		return answer{}, fault.Wrap(err, fault.Invalid, "the address can't be used", "write --address HOST:PORT")
	}
	for name := range header {
		request.Header.Set(name, header.Get(name))
	}
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return answer{}, fault.Wrap(err, fault.Unavailable, "no answer from "+r.Address, "name another daemon with --address")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer{}, fault.Wrap(err, fault.Unavailable, "the answer of "+r.Address+" was cut", "try again")
	}
	version, _ := strconv.ParseInt(response.Header.Get(daemon.HeaderVersion), 10, 64)
	if response.StatusCode >= http.StatusBadRequest {
		return answer{version: version}, errorOf(response, content)
	}
	return answer{body: content, version: version}, nil
}

func errorOf(response *http.Response, content []byte) error {
	var body fault.Body
	if err := json.Unmarshal(content, &body); err != nil || body.Kind == "" {
		return fault.New(fault.Unavailable, fmt.Sprintf("the daemon answered %s", response.Status), "check that the address is a daemon's")
	}
	message := strings.TrimSuffix(body.Message, "; "+body.Remedy)
	return fault.New(body.Kind, message, body.Remedy, fault.WithOutcome(body.Outcome))
}

// getJSON reads one JSON answer into value.
func (r *remote) getJSON(path string, value any) error {
	got, err := r.call(http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	return decode(got.body, value)
}

// decode reads a JSON answer.
func decode(content []byte, value any) error {
	if err := json.Unmarshal(content, value); err != nil {
		return fault.Wrap(err, fault.Unavailable, "the answer is not JSON", "use the same version for daemon and tool")
	}
	return nil
}

// printJSON prints value for programs.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
