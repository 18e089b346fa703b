package event

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueCapacity is the number of entries that are queued for a slow reader of the log;
// further entries are dropped.
const queueCapacity = 4096

// reservedCapacity is the part of the queue that is reserved for warnings and errors.
const reservedCapacity = queueCapacity / 4

// AsyncWriter writes entries in a separate goroutine, so that logging never blocks on the
// output. Entries are dropped and counted while the queue is full; the count is written to
// the log after the next entry.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out. Call Close to stop it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{queue: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer for routine entries, which can't use the reserved part of the
// queue. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if len(w.queue) >= queueCapacity-reservedCapacity {
		w.dropped.Add(1)
		return len(line), nil
	}
	return urgentWriter{w}.Write(line)
}

// Urgent returns the writer for warnings and errors, which can also use the reserved part
// of the queue.
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

// Dropped returns the number of dropped entries that the log has not reported yet.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeEntry(out, line)
			continue
		default:
		}
		select {
		case line := <-w.queue:
			w.writeEntry(out, line)
		case <-w.closing:
			return
		}
	}
}

// writeEntry writes one entry, then the number of entries dropped since the last report.
func (w *AsyncWriter) writeEntry(out io.Writer, line []byte) {
	_, _ = out.Write(line) // there is no other output to report the error to
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "{\"event\":%d,\"level\":\"warning\",\"msg\":%q,\"dropped\":%d}\n", LogDropped.Number, LogDropped.Text, n)
	}
}

// Close writes the queued entries and waits at most timeout for this. Entries written after
// Close are lost.
func (w *AsyncWriter) Close(timeout time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
