package event

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = 3 * queueCapacity
	begin := time.Now()
	for i := range lines {
		if n, err := fmt.Fprintf(w, "line %d\n", i); n == 0 || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	if dropped := w.Dropped(); dropped < lines-(queueCapacity-reservedCapacity)-2 {
		t.Errorf("only %d lines dropped: routine lines used the reserved part of the queue", dropped)
	}
	close(out.unblock)
	w.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.text.String(); !strings.HasPrefix(text, "line 0\n") || !strings.Contains(text, `"dropped":`) {
		t.Errorf("log starts with %.40q; want line 0 first and a count of dropped lines", text)
	}
}

// newAsyncLogger returns a logger that writes to out through an AsyncWriter.
func newAsyncLogger(out io.Writer) (*AsyncWriter, *Logger) {
	w := NewAsyncWriter(out)
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{})
	return w, NewLogger(l)
}

func TestWarningsTakePrecedenceOverRoutineEntries(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w, logger := newAsyncLogger(out)
	for number := range 30 { // many events, each within its rate limit
		routine := Event{Number: 9000 + number, Level: logrus.InfoLevel, Text: "routine"}
		for range maxEntryBurst {
			logger.Log(routine)
		}
	}
	failure := Event{Number: 9100, Level: logrus.WarnLevel, Text: "failure"}
	for n := range 100 {
		logger.Log(failure, F("n", n))
	}
	close(out.unblock)
	w.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := strings.Count(out.text.String(), `"msg":"failure"`); got != 100 {
		t.Errorf("log has %d of 100 failures", got)
	}
	if got := strings.Count(out.text.String(), `"msg":"routine"`); got > queueCapacity {
		t.Errorf("%d routine entries were queued", got)
	}
}

func TestEntriesOverTheRateLimitAreCounted(t *testing.T) {
	var out bytes.Buffer
	l := logrus.New()
	l.SetOutput(&out)
	logger := NewLogger(l)
	frequent := Event{Number: 9000, Level: logrus.InfoLevel, Text: "frequent"}
	const entries = 3 * maxEntryBurst
	for range entries {
		logger.Log(frequent)
	}
	logger.Log(Event{Number: 9001, Level: logrus.InfoLevel, Text: "rare"})
	written := strings.Count(out.String(), "frequent")
	if written < maxEntryBurst || written > entries/2 || !strings.Contains(out.String(), "rare") {
		t.Errorf("%d entries written", written)
	}
	if got := logger.Skipped(); got != int64(entries-written) {
		t.Errorf("%d entries counted as skipped, want %d", got, entries-written)
	}
	time.Sleep(2 * time.Second / maxEntriesPerSecond)
	logger.Log(frequent)
	var reported int64
	for _, found := range regexp.MustCompile(`skipped=(\d+)`).FindAllStringSubmatch(out.String(), -1) {
		n, _ := strconv.ParseInt(found[1], 10, 64) // digits only
		reported += n
	}
	if reported != logger.Skipped() {
		t.Errorf("log reports %d skipped entries, want %d", reported, logger.Skipped())
	}
}
