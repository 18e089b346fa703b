package fault

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"
)

func TestWrapKeepsCauseAndNamesRemedy(t *testing.T) {
	inner := New(Unavailable, "no answer", "check the server", WithOutcome(NotRun))
	err := Wrap(inner, Overloaded, "queue full", "retry later", WithRetryAfter(time.Second))
	if got, want := err.Error(), "queue full: no answer; retry later"; got != want {
		t.Errorf("message %q, want %q", got, want)
	}
	if KindOf(err) != Overloaded || OutcomeOf(err) != NotRun || RetryAfterOf(err) != time.Second {
		t.Errorf("kind %v outcome %v retry after %v", KindOf(err), OutcomeOf(err), RetryAfterOf(err))
	}
	if !errors.Is(Wrap(io.EOF, Truncated, "stream", ""), io.EOF) {
		t.Error("errors.Is does not find the cause")
	}
}

func TestKindOfForeignErrors(t *testing.T) {
	table := []struct {
		err  error
		want Kind
	}{
		{nil, ""},
		{context.Canceled, Canceled},
		{context.DeadlineExceeded, Deadline},
		{io.EOF, Internal},
	}
	for _, row := range table {
		if got := KindOf(row.err); got != row.want {
			t.Errorf("KindOf(%v) = %q, want %q", row.err, got, row.want)
		}
	}
	if OutcomeOf(io.EOF) != Unknown {
		t.Error("an error without an outcome must have outcome Unknown")
	}
}

// Guards against a nil pointer dereference where a failure has no cause.
func TestWrapWithoutCauseReturnsError(t *testing.T) {
	err := Wrap(nil, Unavailable, "not stored", "store it again", WithOutcome(NotRun))
	if err == nil || err.Error() != "not stored; store it again" || KindOf(err) != Unavailable || OutcomeOf(err) != NotRun {
		t.Errorf("error %v, kind %v, outcome %v", err, KindOf(err), OutcomeOf(err))
	}
}
