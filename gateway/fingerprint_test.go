package gateway

import (
	"net/http"
	"testing"
)

// A request that comes again has another ID, deadline and address; anything else makes it another
// request.
func TestFingerprintOfRepeatedRequest(t *testing.T) {
	request := func() *Request {
		return &Request{ID: "a", Method: "POST", Host: "h", Target: "/records/7?page=2", Body: []byte("body"), Caller: "10.0.0.1"}
	}
	original := request().fingerprint()
	again := request()
	again.ID, again.Caller, again.Header = "b", "10.0.0.2", http.Header{"Deadline-Ms": {"700"}}
	if again.fingerprint() != original {
		t.Error("the repeated request has another fingerprint")
	}
	for name, change := range map[string]func(*Request){
		"method": func(r *Request) { r.Method = "PUT" },
		"host":   func(r *Request) { r.Host = "other" },
		"path":   func(r *Request) { r.Target = "/records/8?page=2" },
		"query":  func(r *Request) { r.Target = "/records/7?page=3" },
		"body":   func(r *Request) { r.Body = []byte("bodx") },
		"border": func(r *Request) { r.Host, r.Target = "h/records", "/7?page=2" },
	} {
		other := request()
		change(other)
		if other.fingerprint() == original {
			t.Errorf("a request with another %s has the same fingerprint", name)
		}
	}
}
