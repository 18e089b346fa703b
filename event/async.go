package event

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// asyncLines is how many entries wait for a slow reader of the log; more are dropped.
const asyncLines = 4096

// urgentLines of them are kept for warnings and errors.
const urgentLines = asyncLines / 4

// AsyncWriter hands entries to a writer in a goroutine of its own: whoever logs never
// waits for output. Entries that find the queue full are dropped and counted, and the
// count is written once there is room.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a writer in front of out. Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{queue: make(chan []byte, asyncLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer for routine lines. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if len(w.queue) >= asyncLines-urgentLines {
		w.dropped.Add(1)
		return len(line), nil
	}
	return urgentWriter{w}.Write(line)
}

// Urgent returns the writer for lines that are kept over routine ones: a part of the queue
// is theirs alone.
func (w *AsyncWriter) Urgent() io.Writer { return urgentWriter{w} }

type urgentWriter struct{ *AsyncWriter }

// Write implements io.Writer. It never blocks and never fails.
func (w urgentWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many entries were dropped and not told yet.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.put(out, line)
			continue
		default:
		}
		select {
		case line := <-w.queue:
			w.put(out, line)
		case <-w.closing:
			return
		}
	}
}

// put writes one entry and tells how many were lost before it.
func (w *AsyncWriter) put(out io.Writer, line []byte) {
	_, _ = out.Write(line) // nothing is left to tell it to
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "{\"event\":%d,\"level\":\"warning\",\"msg\":%q,\"dropped\":%d}\n", LogDropped.Number, LogDropped.Text, n)
	}
}

// Close writes what is queued, no longer than limit. What is written after it is lost.
func (w *AsyncWriter) Close(limit time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
