package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/clock"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// groupFlushDelay is how long results of complete groups wait to share a write, since each
	// write to the store has a price.
	groupFlushDelay = 15 * time.Millisecond
	// partialGroupFlushDelay is how long a result of an incomplete group waits to share a write.
	partialGroupFlushDelay = 1500 * time.Millisecond
	chunkRetryDelay        = 150 * time.Millisecond
	// chunkRefusedDelay is the delay after a chunk that the store does not accept at all.
	chunkRefusedDelay = 2 * time.Second
)

// resultLog is the results log of one batch. Chunk n is written with create-if-absent, and only
// after chunk n-1 was confirmed. If two daemons write the log, one of them creates each chunk
// and the other adopts it, so a position never has two results.
type resultLog struct {
	id    string
	store objectapi.ObjectStore
	log   *event.Logger

	mu             sync.Mutex
	confirmed      []Result
	confirmedIDs   map[string]bool // IDs of the items in confirmed
	chunks         int             // number of confirmed chunks
	contestedUntil time.Time       // another daemon may write to the log until then
	unsettled      bool            // a write was sent and it is not known whether it took effect
	pending        []Result        // results not yet in a confirmed chunk
	pendingIDs     map[string]bool // IDs of the items in pending
	flushAt        time.Time       // latest time to write pending
	changed        chan struct{}   // closed and replaced when confirmed grows
	wake           chan struct{}   // signals that pending or flushAt changed
}

func newResultLog(id string, store objectapi.ObjectStore, log *event.Logger) *resultLog {
	return &resultLog{
		id: id, store: store, log: log,
		confirmedIDs: map[string]bool{}, pendingIDs: map[string]bool{},
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// load reads the chunks that are in the store but not yet confirmed here.
func (l *resultLog) load(ctx context.Context) error {
	_, err := l.loadWithCompletions(ctx)
	return err
}

// loadWithCompletions does the same as load and also returns the saved completions of items
// without a result.
func (l *resultLog) loadWithCompletions(ctx context.Context) (map[string]*Completion, error) {
	snapshot, err := l.store.List(ctx, resultsKind(l.id)+"/")
	if err != nil {
		return nil, err
	}
	var saved []byte
	for _, o := range snapshot.Objects {
		if o.Key == completionsKey(l.id) {
			saved = o.Value
		} else {
			l.confirmObject(o)
		}
	}
	if saved == nil {
		return nil, nil
	}
	return decodeCompletions(saved, l.hasResult), nil
}

// confirmObject confirms a stored chunk. Chunks that are already confirmed are ignored. One that can't be
// decoded counts as empty, at each daemon alike: its items are listed by later chunks. Otherwise the log
// would end before it.
func (l *resultLog) confirmObject(o objectapi.Object) {
	var results []Result
	if err := json.Unmarshal(o.Value, &results); err != nil {
		results = nil
		if l.isNext(o.Key) {
			l.log.Log(event.BatchChunkUnreadable, event.F("batch", l.id), event.F("chunk", o.Key), event.Err(err))
		}
	}
	l.confirm(o.Key, results)
}

// isNext reports whether a chunk follows those that are confirmed.
func (l *resultLog) isNext(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return key == chunkKey(l.id, l.chunks)
}

// confirm appends a chunk that the store holds. Both the writer and a reader of the store may
// report the same chunk; it is appended once.
func (l *resultLog) confirm(key string, results []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != chunkKey(l.id, l.chunks) {
		return
	}
	l.chunks++
	l.unsettled = false
	for _, r := range results {
		l.confirmed = append(l.confirmed, r)
		l.confirmedIDs[r.ID] = true
	}
	remaining := l.pending[:0]
	for _, r := range l.pending {
		if !l.confirmedIDs[r.ID] {
			remaining = append(remaining, r)
		} else {
			delete(l.pendingIDs, r.ID)
		}
	}
	l.pending = remaining
	close(l.changed)
	l.changed = make(chan struct{})
}

// contestedPeriod is how long a second writer may be active after a takeover or after a chunk
// of another daemon was found.
const contestedPeriod = 8 * time.Second

// markContested records that another daemon may write to the log.
func (l *resultLog) markContested() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contestedUntil = time.Now().Add(contestedPeriod)
}

// isSettled reports whether no write of this daemon may still take effect.
func (l *resultLog) isSettled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unsettled
}

func (l *resultLog) setUnsettled(unsettled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsettled = unsettled
}

func (l *resultLog) isContested() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.contestedUntil)
}

// add appends a result unless the item has one. groupComplete shortens the delay of the write.
func (l *resultLog) add(r Result, groupComplete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmedIDs[r.ID] || l.pendingIDs[r.ID] {
		return
	}
	l.pending = append(l.pending, r)
	l.pendingIDs[r.ID] = true
	delay := partialGroupFlushDelay
	if groupComplete {
		delay = groupFlushDelay
	}
	if flushAt := time.Now().Add(delay); len(l.pending) == 1 || flushAt.Before(l.flushAt) {
		l.flushAt = flushAt
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// hasResult reports whether the item has a result, confirmed or pending.
func (l *resultLog) hasResult(item string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedIDs[item] || l.pendingIDs[item]
}

// isConfirmed reports whether the store has the item's result.
func (l *resultLog) isConfirmed(item string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedIDs[item]
}

// confirmedCount returns the number of confirmed results.
func (l *resultLog) confirmedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.confirmed)
}

// maxPageBytes bounds the outputs of one page.
const maxPageBytes = 900 << 10

// page returns the confirmed results from a position on, and a channel that is closed when
// more results are confirmed.
func (l *resultLog) page(after int) ([]Result, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var results []Result
	size := 0
	for i := max(after, 0); i < len(l.confirmed); i++ {
		size += len(l.confirmed[i].Output) + 200
		if size > maxPageBytes && len(results) > 0 {
			break
		}
		results = append(results, l.confirmed[i])
	}
	return results, l.changed
}

// finalWriteTimeout bounds how long the write of a chunk continues after its batch has ended.
const finalWriteTimeout = 5 * time.Second

// write stores pending results until ctx ends, then completes the write of the chunk in flight.
// onWritten is called for each chunk that this daemon created, with the number of results
// confirmed so far.
func (l *resultLog) write(ctx context.Context, onWritten func(key string, results []Result, confirmedCount int, took time.Duration)) {
	for {
		wait, hasPending := l.untilFlush()
		if !hasPending {
			select {
			case <-ctx.Done():
				return
			case <-l.wake:
			}
			continue
		}
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
				return
			case <-l.wake:
			case <-timer.C:
			}
			timer.Stop()
			continue
		}
		l.writeChunk(ctx, onWritten)
		if ctx.Err() != nil {
			return
		}
	}
}

func (l *resultLog) untilFlush() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.flushAt), len(l.pending) > 0
}

// writeChunk writes one chunk and retries until it is known whether the chunk was stored.
// Until then no other value is written under its key.
func (l *resultLog) writeChunk(ctx context.Context, onWritten func(key string, results []Result, confirmedCount int, took time.Duration)) {
	ctx, cancel := withDelayedCancel(ctx, finalWriteTimeout)
	defer cancel()
	key, chunk, value := l.nextChunk()
	start := time.Now()
	for ctx.Err() == nil {
		l.setUnsettled(true)
		_, err := l.store.Create(ctx, key, value)
		switch {
		case err == nil:
			l.confirm(key, chunk)
			onWritten(key, chunk, l.confirmedCount(), time.Since(start))
			return
		case fault.Is(err, fault.Conflict):
			if l.adoptChunk(ctx, key, value) {
				return
			}
		case fault.Is(err, fault.Invalid):
			l.setUnsettled(false)
			l.log.Log(event.BatchChunkRefused, event.F("batch", l.id), event.F("chunk", key), event.Err(err))
			clock.Sleep(ctx, chunkRefusedDelay)
			return
		}
		clock.Sleep(ctx, chunkRetryDelay)
	}
}

// withDelayedCancel returns a context that is canceled a fixed delay after its parent.
func withDelayedCancel(parent context.Context, delay time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() { time.AfterFunc(delay, cancel) })
	return ctx, func() { stop(); cancel() }
}

// nextChunk encodes pending results for one object. They stay pending until the chunk is confirmed. A
// result that fits into no object is listed as errored: the log would otherwise end before it.
func (l *resultLog) nextChunk() (key string, chunk []Result, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var encoded [][]byte
	size := 0
	for i, r := range l.pending {
		text := encodeJSON(r)
		resultSize := objectapi.EncodedSize(text)
		if resultSize > maxObjectBytes {
			l.log.Log(event.BatchResultTooLarge, event.F("batch", l.id), event.F("item", r.ID), event.F("bytes", resultSize))
			r = Result{ID: r.ID, State: Errored}
			l.pending[i], text = r, encodeJSON(r)
			resultSize = objectapi.EncodedSize(text)
		}
		size += resultSize
		if size > maxObjectBytes && len(chunk) > 0 {
			break
		}
		chunk, encoded = append(chunk, r), append(encoded, text)
	}
	value = append(append([]byte{'['}, bytes.Join(encoded, []byte{','})...), ']')
	return chunkKey(l.id, l.chunks), chunk, value
}

// adoptChunk reads and confirms the chunk that exists under a key that this daemon tried to
// create: it was written by an earlier attempt of its own or by another daemon.
func (l *resultLog) adoptChunk(ctx context.Context, key string, own []byte) bool {
	o, err := l.store.Get(ctx, key)
	if err != nil {
		return false
	}
	if !bytes.Equal(o.Value, own) {
		l.markContested()
		l.log.Log(event.BatchChunkConflict, event.F("batch", l.id), event.F("chunk", key))
	}
	l.confirmObject(o)
	return true
}
