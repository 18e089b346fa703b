package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// transport is a connection that counts bytes, records when the last byte arrived and
// sets a deadline for each write.
type transport struct {
	net.Conn
	progress time.Duration
	counts   *counters
	opened   time.Time
	lastRead atomic.Int64 // ns after opened, on the monotonic clock
}

func newTransport(conn net.Conn, progress time.Duration, counts *counters) *transport {
	return &transport{Conn: conn, progress: progress, counts: counts, opened: time.Now()}
}

// Read implements net.Conn.
func (t *transport) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 {
		t.counts.received.Add(int64(n))
		t.lastRead.Store(int64(time.Since(t.opened)))
	}
	return n, err
}

// Write implements net.Conn.
func (t *transport) Write(p []byte) (int, error) {
	_ = t.SetWriteDeadline(time.Now().Add(t.progress))
	n, err := t.Conn.Write(p)
	t.counts.sent.Add(int64(n))
	return n, err
}

// lastReceived returns the time at which the last byte arrived.
func (t *transport) lastReceived() time.Time { return t.opened.Add(time.Duration(t.lastRead.Load())) }

// watchdog calls onStall if no byte arrives from the peer for limit while a call is in
// progress.
type watchdog struct {
	transport *transport
	started   time.Time
	limit     time.Duration
	timer     *time.Timer
	onStall   func()
}

func startWatchdog(t *transport, limit time.Duration, onStall func()) *watchdog {
	w := &watchdog{transport: t, started: time.Now(), limit: limit, onStall: onStall}
	w.timer = time.AfterFunc(limit, w.check)
	return w
}

func (w *watchdog) check() {
	last := w.transport.lastReceived()
	if last.Before(w.started) {
		last = w.started
	}
	remaining := w.limit - time.Since(last)
	if remaining <= 0 {
		w.onStall()
		return
	}
	w.timer.Reset(remaining)
}

func (w *watchdog) stop() { w.timer.Stop() }
