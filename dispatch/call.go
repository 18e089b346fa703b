package dispatch

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Header names of the caller API; see docs/API.md.
const (
	headerRequestID   = "X-Request-Id"
	headerDeadline    = "X-Deadline-Ms"
	headerIdempotency = "X-Idempotency"
	headerRequestKey  = "X-Request-Key"
	headerTeam        = "X-Team"
	headerPriority    = "X-Priority"
	headerPrefixKey   = "X-Prefix-Key"
	headerReplica     = "X-Replica"
	headerAttempts    = "X-Attempts"
)

const (
	servicesRoot    = "/v1/services/"
	maxHeaderChars  = 200              // in a request ID, request key, team or prefix key
	maxBodyBytes    = 8 << 20          // in a request
	maxDeadline     = 24 * time.Hour   // longest that a caller may request
	defaultDeadline = 30 * time.Second // if neither caller nor document sets a deadline
)

// call is one caller request.
type call struct {
	document   *document.Document
	method     string
	path       string // escaped, relative to the service's root, starts with "/"
	query      string // raw
	header     http.Header
	body       []byte
	requestID  string
	deadline   time.Duration // from arrival
	idempotent bool
	key        string // request key, "" for none
	claimed    bool   // this call has claimed the key
	team       string
	priority   backend.Priority
	prefixKey  string
}

// splitTarget returns the service and the escaped path below its root.
func splitTarget(escaped string) (service, path string, ok bool) {
	rest, ok := strings.CutPrefix(escaped, servicesRoot)
	if !ok {
		return "", "", false
	}
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path, service != ""
}

// newCall reads the request's headers and body. Errors are fault.Invalid, or
// fault.Canceled if the body cannot be read, with outcome fault.NotRun.
func newCall(r *http.Request, d *document.Document, path string) (*call, error) {
	c := &call{
		document:  d,
		method:    r.Method,
		path:      path,
		query:     r.URL.RawQuery,
		header:    r.Header,
		team:      d.Team,
		priority:  backend.PriorityInteractive,
		deadline:  d.Requests.Deadline,
		prefixKey: r.Header.Get(headerPrefixKey),
	}
	parsers := []func(*http.Request) error{
		c.readIdentifiers, c.readDeadline, c.readPriority, c.readIdempotency, c.readBody,
	}
	for _, parse := range parsers {
		if err := parse(r); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *call) readIdentifiers(r *http.Request) error {
	fields := []struct {
		name   string
		target *string
	}{
		{headerRequestID, &c.requestID},
		{headerRequestKey, &c.key},
		{headerTeam, &c.team},
		{headerPrefixKey, &c.prefixKey},
	}
	for _, field := range fields {
		value := r.Header.Get(field.name)
		if value == "" {
			continue
		}
		if !validHeaderValue(value) {
			return invalidRequest(field.name+" is too long or not printable",
				"send at most "+strconv.Itoa(maxHeaderChars)+" printable ASCII characters")
		}
		*field.target = value
	}
	if c.requestID == "" {
		c.requestID = newRequestID()
	}
	return nil
}

func validHeaderValue(value string) bool {
	if len(value) > maxHeaderChars {
		return false
	}
	for _, b := range []byte(value) {
		if b < ' ' || b > '~' {
			return false
		}
	}
	return true
}

func (c *call) readDeadline(r *http.Request) error {
	if c.deadline <= 0 {
		c.deadline = defaultDeadline
	}
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return invalidRequest(headerDeadline+" is not a number of milliseconds in the accepted range",
			"send 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10))
	}
	c.deadline = time.Duration(ms) * time.Millisecond
	return nil
}

func (c *call) readPriority(r *http.Request) error {
	switch r.Header.Get(headerPriority) {
	case "", "interactive":
		c.priority = backend.PriorityInteractive
	case "background":
		c.priority = backend.PriorityBackground
	case "sample":
		c.priority = backend.PrioritySample
	default:
		return invalidRequest("unknown "+headerPriority, "send interactive, background or sample")
	}
	return nil
}

func (c *call) readIdempotency(r *http.Request) error {
	switch r.Header.Get(headerIdempotency) {
	case "", "idempotent":
		c.idempotent = true
	case "non-idempotent":
		c.idempotent = false
	default:
		return invalidRequest("unknown "+headerIdempotency, "send idempotent or non-idempotent")
	}
	if matchesAny(c.document.Requests.NonIdempotent, c.method, r.URL.Path, c.document.Service) {
		c.idempotent = false
	}
	return nil
}

// matchesAny compares the decoded path both as sent and cleaned, so that no alternative
// spelling of a non-idempotent path goes unmatched.
func matchesAny(matches []document.Match, method, fullPath, service string) bool {
	decodedPath := "/" + strings.TrimPrefix(strings.TrimPrefix(fullPath, servicesRoot+service), "/")
	cleanedPath := path.Clean(decodedPath)
	for _, match := range matches {
		if match.Method != "*" && match.Method != method {
			continue
		}
		if strings.HasPrefix(decodedPath, match.Path) || strings.HasPrefix(cleanedPath, match.Path) {
			return true
		}
	}
	return false
}

func (c *call) readBody(r *http.Request) error {
	if r.Body == nil {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return invalidRequest("request body too large", "send at most "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	if err != nil {
		return fault.Wrap(err, fault.Canceled, "read request body", "send the complete body",
			fault.WithOutcome(fault.NotRun))
	}
	c.body = body
	return nil
}

// fingerprint distinguishes different requests that carry the same key.
func (c *call) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{c.method, c.path, c.query} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.body)
	return digest.Sum64()
}

// newBackendRequest returns the request for a plain service. A non-idempotent request has
// a body that cannot be replayed and no header that permits a replay, so that no HTTP
// transport resends it.
func (c *call) newBackendRequest(address, attemptID string) (*http.Request, error) {
	target := "http://" + address + c.path
	if c.query != "" {
		target += "?" + c.query
	}
	r, err := http.NewRequest(c.method, target, nil)
	if err != nil {
		return nil, invalidRequest("malformed request target: "+err.Error(), "check method and path")
	}
	r.Header = endToEndHeaders(c.header)
	r.Header.Set(backend.HeaderRequestID, attemptID)
	if c.idempotent {
		setBody(r, c.body)
		return r, nil
	}
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	r.Body = io.NopCloser(bytes.NewReader(c.body))
	r.ContentLength = int64(len(c.body))
	return r, nil
}

func setBody(r *http.Request, body []byte) {
	if len(body) == 0 {
		return
	}
	r.ContentLength = int64(len(body))
	r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	r.Body, _ = r.GetBody()
}

func invalidRequest(message, remedy string) error {
	return fault.New(fault.Invalid, message, remedy, fault.WithOutcome(fault.NotRun))
}
