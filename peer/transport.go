package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// transport counts bytes, remembers when the last one arrived and bounds writes.
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

// heard returns when the last byte arrived.
func (t *transport) heard() time.Time { return t.opened.Add(time.Duration(t.lastRead.Load())) }

// watchdog calls stalled once a call has been in progress for the limit without a
// byte from the peer.
type watchdog struct {
	transport *transport
	started   time.Time
	limit     time.Duration
	timer     *time.Timer
	stalled   func()
}

func startWatchdog(t *transport, limit time.Duration, stalled func()) *watchdog {
	w := &watchdog{transport: t, started: time.Now(), limit: limit, stalled: stalled}
	w.timer = time.AfterFunc(limit, w.check)
	return w
}

func (w *watchdog) check() {
	last := w.transport.heard()
	if last.Before(w.started) {
		last = w.started
	}
	left := w.limit - time.Since(last)
	if left <= 0 {
		w.stalled()
		return
	}
	w.timer.Reset(left)
}

func (w *watchdog) stop() { w.timer.Stop() }
