// Package caller is a fake caller. It sends requests through daemons and checks that
// each response is complete and belongs to its request.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
	"github.com/hornbeamtide/hornbeamtide/standin/trainer"
)

// OK is the outcome of a request with a complete response. The other outcomes are those
// of package fault.
const OK fault.Outcome = "ok"

// Request is one request to a daemon.
type Request struct {
	Daemon    string // HTTP host:port; if empty, the client's balancer selects one
	Service   string
	Method    string // plain requests only
	Path      string // plain requests only, starts with "/"
	Body      []byte // plain requests only
	Prompt    string // generate requests only
	MaxTokens int    // generate requests only
	Seed      int64  // generate requests only
	ID        string
	Key       string // non-empty for a non-idempotent request
	PrefixKey string
	Team      string
	Priority  string
	Deadline  time.Duration
}

// Result holds the outcome and the measurements of a request.
type Result struct {
	Outcome   fault.Outcome
	Kind      fault.Kind    // kind of the error; empty if the connection to the daemon broke
	Detail    string        // message of the error
	Mismatch  string        // why a seemingly complete response does not match the request; empty if it matches
	FirstByte time.Duration // time until the first chunk
	Duration  time.Duration
	Attempts  int
	Replica   string
	Tokens    int
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	balancer *balancer
}

// NewClient returns a client with its own connection pool. Requests that name no daemon
// go to the given ones in round-robin order, as through the platform's load balancer.
func NewClient(daemons ...string) *Client {
	return &Client{
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		balancer: &balancer{daemons: daemons, unhealthyUntil: map[string]time.Time{}},
	}
}

// Plain sends a request to a plain service and checks that the response echoes it.
func (c *Client) Plain(ctx context.Context, r Request) Result {
	started := time.Now()
	response, result := c.send(ctx, r, r.Method, r.Path, r.Body)
	if response == nil {
		result.Duration = time.Since(started)
		return result
	}
	defer response.Body.Close()
	var echo fakeplain.Response
	if err := json.NewDecoder(response.Body).Decode(&echo); err != nil {
		result.Outcome, result.Detail = fault.Unknown, err.Error()
	} else if echo.Path != r.Path || echo.Checksum != fakeplain.Checksum(r.Body) {
		result.Mismatch = fmt.Sprintf("response is for %s %s", echo.Method, echo.Path)
	}
	result.Duration = time.Since(started)
	return result
}

// Generate sends a generate request and checks the streamed completion.
func (c *Client) Generate(ctx context.Context, r Request) Result {
	started := time.Now()
	body, _ := json.Marshal(generateBody{Prompt: r.Prompt, MaxTokens: r.MaxTokens, Seed: r.Seed})
	response, result := c.send(ctx, r, http.MethodPost, "/generate", body)
	if response == nil {
		result.Duration = time.Since(started)
		return result
	}
	defer response.Body.Close()
	var chunks []backend.Chunk
	text := strings.Builder{}
	err := readEvents(response.Body, func(chunk backend.Chunk) {
		if len(chunks) == 0 {
			result.FirstByte = time.Since(started)
		}
		chunks = append(chunks, chunk)
		text.WriteString(chunk.Text)
		result.Tokens += chunk.Tokens
	})
	result.Duration = time.Since(started)
	if err != nil {
		result.Outcome, result.Kind, result.Detail = fault.OutcomeOf(err), fault.KindOf(err), err.Error()
		return result
	}
	if text.String() != fakeengine.CompletionText(r.Prompt, trainer.Segments(chunks)) {
		result.Mismatch = "completion does not match prompt and weight versions"
	}
	return result
}

type generateBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
}

// send returns the response if its status is 2xx, or nil and the result of the failed
// request. If the balancer's daemon refuses the connection, send marks it unhealthy and
// tries the next one.
func (c *Client) send(ctx context.Context, r Request, method, path string, body []byte) (*http.Response, Result) {
	if r.Daemon != "" {
		response, result, _ := c.sendTo(ctx, r.Daemon, r, method, path, body)
		return response, result
	}
	for {
		daemon, allUnhealthy := c.balancer.next()
		response, result, refused := c.sendTo(ctx, daemon, r, method, path, body)
		if !refused || allUnhealthy {
			return response, result
		}
		c.balancer.markUnhealthy(daemon)
	}
}

// sendTo also reports whether the daemon refused the connection.
func (c *Client) sendTo(ctx context.Context, daemon string, r Request, method, path string, body []byte) (*http.Response, Result, bool) {
	result := Result{Outcome: fault.Unknown}
	url := "http://" + daemon + "/v1/services/" + r.Service + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		result.Detail = err.Error()
		return nil, result, false
	}
	request.GetBody = nil
	setHeaders(request.Header, r)
	response, err := c.http.Do(request)
	if err != nil {
		result.Detail = err.Error()
		return nil, result, errors.Is(err, syscall.ECONNREFUSED)
	}
	result.Attempts, _ = strconv.Atoi(response.Header.Get("X-Attempts"))
	result.Replica = response.Header.Get("X-Replica")
	if response.StatusCode/100 == 2 {
		result.Outcome = OK
		return response, result, false
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	var e fault.Body
	if json.Unmarshal(content, &e) == nil && e.Outcome != "" {
		result.Outcome, result.Kind, result.Detail = e.Outcome, e.Kind, e.Message
		return nil, result, false
	}
	result.Outcome, result.Detail = fault.Failed, fmt.Sprintf("status %d: %.100s", response.StatusCode, content)
	return nil, result, false
}

func setHeaders(h http.Header, r Request) {
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set("X-Request-Id", r.ID)
	set("X-Team", r.Team)
	set("X-Priority", r.Priority)
	set("X-Prefix-Key", r.PrefixKey)
	set(fakeplain.HeaderRequestKey, r.Key)
	if r.Key != "" {
		h.Set("X-Idempotency", "non-idempotent")
	}
	if r.Deadline > 0 {
		h.Set("X-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
}

// readEvents passes the chunks of a stream to handle. It returns nil only if the stream
// ends with its end marker.
func readEvents(body io.Reader, handle func(backend.Chunk)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	isError := false
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "event:") {
			isError = strings.TrimSpace(line[len("event:"):]) == "error"
			continue
		}
		data, found := strings.CutPrefix(line, "data:")
		if !found {
			continue
		}
		if isError {
			return streamError(data)
		}
		var chunk backend.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		handle(chunk)
		if chunk.End {
			_, _ = io.Copy(io.Discard, body)
			return nil
		}
	}
	return fault.New(fault.Truncated, "the stream ended without its end marker", "", fault.WithOutcome(fault.Unknown))
}

func streamError(data string) error {
	var e fault.Body
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return err
	}
	return fault.New(e.Kind, e.Message, "", fault.WithOutcome(e.Outcome))
}
