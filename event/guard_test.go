package event

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// Guards against the end of the process by a panic in a goroutine of a single request.
func TestGuardReportsPanic(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(NewLogrus(&out, "info", "json"))
	if log.Guard("sound", func() {}) {
		t.Error("work that returned is reported as panicked")
	}
	if !log.Guard("faulty", func() { panic(errors.New("broken invariant")) }) {
		t.Error("a panic is not reported")
	}
	if text := out.String(); !strings.Contains(text, "faulty") || !strings.Contains(text, "broken invariant") || !strings.Contains(text, "guard_test.go") {
		t.Errorf("the log names neither work, cause nor stack: %s", text)
	}
	var none *Logger
	if !none.Guard("faulty", func() { panic("x") }) {
		t.Error("a panic is not reported without a logger")
	}
}

// Guards against a process that ends because it logs a failure without a cause, as on paths where
// a context ended before the first attempt.
func TestErrOfNoErrorIsEmpty(t *testing.T) {
	if got := Err(nil); got.Key != "error" || got.Value != "" {
		t.Errorf("field %+v", got)
	}
}
