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
	"github.com/hornbeamtide/hornbeamtide/httpclient"
)

// Limits of a call to a daemon.
const (
	callTimeout      = 15 * time.Second
	maxResponseBytes = 64 << 20
)

// daemonResponse is a successful response of a daemon.
type daemonResponse struct {
	body    []byte
	version int64 // X-Version header, 0 if absent
}

// call sends a request to the daemon. It converts an error response to a fault with the
// kind, remedy and outcome of the response.
func (r *remoteOptions) call(method, path, body string, header http.Header) (daemonResponse, error) {
	request, err := http.NewRequest(method, "http://"+r.Address+path, strings.NewReader(body))
	if err != nil {
		return daemonResponse{}, fault.Wrap(err, fault.Invalid, "the address is invalid", "write --address HOST:PORT")
	}
	for name := range header {
		request.Header.Set(name, header.Get(name))
	}
	response, err := httpclient.NewClient(callTimeout).Do(request)
	if err != nil {
		return daemonResponse{}, fault.Wrap(err, fault.Unavailable, "no response from "+r.Address, "name another daemon with --address")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return daemonResponse{}, fault.Wrap(err, fault.Unavailable, "the response from "+r.Address+" was truncated", "try again")
	}
	version, _ := strconv.ParseInt(response.Header.Get(daemon.HeaderVersion), 10, 64)
	if response.StatusCode >= http.StatusBadRequest {
		return daemonResponse{version: version}, responseError(response, content)
	}
	return daemonResponse{body: content, version: version}, nil
}

// responseError converts an error response to a fault. If the body is not a fault.Body, the
// response probably does not come from a daemon.
func responseError(response *http.Response, content []byte) error {
	var body fault.Body
	if err := json.Unmarshal(content, &body); err != nil || body.Kind == "" {
		return fault.New(fault.Unavailable, fmt.Sprintf("the daemon returned status %s", response.Status), "check that the address is the HTTP address of a daemon")
	}
	message := strings.TrimSuffix(body.Message, "; "+body.Remedy)
	return fault.New(body.Kind, message, body.Remedy, fault.WithOutcome(body.Outcome))
}

// getJSON sends a GET request and decodes the JSON response into value.
func (r *remoteOptions) getJSON(path string, value any) error {
	response, err := r.call(http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	return decode(response.body, value)
}

func decode(content []byte, value any) error {
	if err := json.Unmarshal(content, value); err != nil {
		return fault.Wrap(err, fault.Unavailable, "the response is not valid JSON", "use the same version of hornbeamtide for the daemon and this command")
	}
	return nil
}

// printJSON prints value as indented JSON.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
