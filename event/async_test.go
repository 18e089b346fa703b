package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
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
	if dropped := w.Dropped(); dropped < lines-asyncLines-2 {
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
