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

// gated is an output whose reader does not read until it is opened.
type gated struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gated) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func TestReaderThatNeverReadsHoldsNobodyUp(t *testing.T) {
	out := &gated{open: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = 3 * asyncLines
	begin := time.Now()
	for i := range lines {
		if n, err := fmt.Fprintf(w, "line %d\n", i); n == 0 || err != nil {
			t.Fatal(n, err)
		}
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	if dropped := w.Dropped(); dropped < lines-(asyncLines-urgentLines)-2 {
		t.Errorf("%d lines dropped, the queue holds more than it should", dropped)
	}
	close(out.open)
	w.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.text.String(); !strings.HasPrefix(text, "line 0\n") || !strings.Contains(text, `"dropped":`) {
		t.Errorf("the log begins %.40q and tells no count", text)
	}
}

// flooded is a logger before a reader that does not read.
func flooded(out io.Writer) (*AsyncWriter, *Logger) {
	w := NewAsyncWriter(out)
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{})
	return w, NewLogger(l)
}

func TestErrorsAreKeptOverRoutineLines(t *testing.T) {
	out := &gated{open: make(chan struct{})}
	w, logger := flooded(out)
	for number := range 30 { // many events, each within its rate
		routine := Event{Number: 9000 + number, Level: logrus.InfoLevel, Text: "routine"}
		for range lineBurst {
			logger.Log(routine)
		}
	}
	failure := Event{Number: 9100, Level: logrus.WarnLevel, Text: "failure"}
	for n := range 100 {
		logger.Log(failure, F("n", n))
	}
	close(out.open)
	w.Close(10 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := strings.Count(out.text.String(), `"msg":"failure"`); got != 100 {
		t.Errorf("%d of 100 failures are in the log", got)
	}
	if got := strings.Count(out.text.String(), `"msg":"routine"`); got > asyncLines {
		t.Errorf("%d routine lines were held", got)
	}
}

func TestLinesBeyondTheRateAreCounted(t *testing.T) {
	var out bytes.Buffer
	l := logrus.New()
	l.SetOutput(&out)
	logger := NewLogger(l)
	often := Event{Number: 9000, Level: logrus.InfoLevel, Text: "often"}
	const lines = 3 * lineBurst
	for range lines {
		logger.Log(often)
	}
	logger.Log(Event{Number: 9001, Level: logrus.InfoLevel, Text: "seldom"})
	written := strings.Count(out.String(), "often")
	if written < lineBurst || written > lines/2 || !strings.Contains(out.String(), "seldom") {
		t.Errorf("%d lines written", written)
	}
	if got := logger.Skipped(); got != int64(lines-written) {
		t.Errorf("%d lines counted as left out, %d were", got, lines-written)
	}
	time.Sleep(2 * time.Second / lineRate)
	logger.Log(often)
	var told int64
	for _, found := range regexp.MustCompile(`skipped=(\d+)`).FindAllStringSubmatch(out.String(), -1) {
		n, _ := strconv.ParseInt(found[1], 10, 64) // digits only
		told += n
	}
	if told != logger.Skipped() {
		t.Errorf("the lines tell of %d left out, %d were", told, logger.Skipped())
	}
}
