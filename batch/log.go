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
	// gatherTime is how long results of whole groups wait for others: each write is priced.
	gatherTime = 15 * time.Millisecond
	// looseTime is how long a result waits whose group is not whole.
	looseTime = 1500 * time.Millisecond
	// chunkBytes bounds the results in one object.
	chunkBytes = objectapi.MaxValueBytes / 2
	retryPause = 150 * time.Millisecond
)

// resultLog is the log of one batch: chunk n is created only if it does not exist, and
// only after chunk n-1 was confirmed. Of two writers one wins each chunk, the other takes
// over what stands there; so a position never shows two results.
type resultLog struct {
	id    string
	store objectapi.ObjectStore
	log   *event.Logger

	mu        sync.Mutex
	confirmed []Result
	listed    map[string]bool // items in confirmed
	chunks    int             // confirmed ones
	contested time.Time       // until then another daemon may write to the log too
	pending   []Result        // not in a chunk yet
	waiting   map[string]bool // items in pending
	due       time.Time       // when pending is written at the latest
	changed   chan struct{}   // closed when confirmed grew
	wake      chan struct{}   // pending or due changed
}

func newResultLog(id string, store objectapi.ObjectStore, log *event.Logger) *resultLog {
	return &resultLog{
		id: id, store: store, log: log,
		listed: map[string]bool{}, waiting: map[string]bool{},
		changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// load reads what the store has of the log beyond what is known.
func (l *resultLog) load(ctx context.Context) error {
	_, err := l.loadWithTexts(ctx)
	return err
}

// loadWithTexts is load; it also returns the texts that were saved while they grew, of items
// that have no result.
func (l *resultLog) loadWithTexts(ctx context.Context) (map[string]*Text, error) {
	snapshot, err := l.store.List(ctx, resultsKind(l.id)+"/")
	if err != nil {
		return nil, err
	}
	var saved []byte
	for _, o := range snapshot.Objects {
		if o.Key == textsKey(l.id) {
			saved = o.Value
		} else if err := l.confirmObject(o); err != nil {
			return nil, err
		}
	}
	if saved == nil {
		return nil, nil
	}
	return decodeTexts(saved, l.has), nil
}

// confirmObject takes over the next chunk as it stands in the store; earlier ones are known.
func (l *resultLog) confirmObject(o objectapi.Object) error {
	var results []Result
	if err := json.Unmarshal(o.Value, &results); err != nil {
		return fault.Wrap(err, fault.Internal, "chunk "+o.Key+" can't be read", "report this defect")
	}
	l.confirm(o.Key, results)
	return nil
}

// confirm appends a chunk that the store holds, unless it is known: the writer and a reader
// of the store may both come with it.
func (l *resultLog) confirm(key string, results []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != chunkKey(l.id, l.chunks) {
		return
	}
	l.chunks++
	for _, r := range results {
		l.confirmed = append(l.confirmed, r)
		l.listed[r.ID] = true
	}
	left := l.pending[:0]
	for _, r := range l.pending {
		if !l.listed[r.ID] {
			left = append(left, r)
		} else {
			delete(l.waiting, r.ID)
		}
	}
	l.pending = left
	close(l.changed)
	l.changed = make(chan struct{})
}

// contestTime is how long after a take-over, or after another daemon's chunk, a second
// writer may be at work.
const contestTime = 8 * time.Second

// contest notes that another daemon may write to the log.
func (l *resultLog) contest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contested = time.Now().Add(contestTime)
}

func (l *resultLog) isContested() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.contested)
}

// add appends a result unless the item has one. urgent says that its group is whole.
func (l *resultLog) add(r Result, urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed[r.ID] || l.waiting[r.ID] {
		return
	}
	l.pending = append(l.pending, r)
	l.waiting[r.ID] = true
	wait := looseTime
	if urgent {
		wait = gatherTime
	}
	if due := time.Now().Add(wait); len(l.pending) == 1 || due.Before(l.due) {
		l.due = due
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// has reports whether the item has a result, confirmed or not.
func (l *resultLog) has(item string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed[item] || l.waiting[item]
}

// isListed reports whether the store has the item's result.
func (l *resultLog) isListed(item string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed[item]
}

// size returns how many results are confirmed.
func (l *resultLog) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.confirmed)
}

// maxPageBytes bounds the outputs of one page.
const maxPageBytes = 900 << 10

// page returns the confirmed results from a position on and the channel that is closed
// when there are more.
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

// settleTime is how long the writing of a chunk goes on after its batch ended.
const settleTime = 5 * time.Second

// write stores results as they come until ctx ends, and settles the chunk in hand then.
// written is told of each chunk that stands, with the number of results so far.
func (l *resultLog) write(ctx context.Context, written func(key string, results []Result, listed int, took time.Duration)) {
	for {
		wait, any := l.untilDue()
		if !any {
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
		l.writeChunk(ctx, written)
		if ctx.Err() != nil {
			return
		}
	}
}

func (l *resultLog) untilDue() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.due), len(l.pending) > 0
}

// writeChunk writes one chunk and settles it: until it is known whether the chunk stands,
// nothing else is written in its place.
func (l *resultLog) writeChunk(ctx context.Context, written func(key string, results []Result, listed int, took time.Duration)) {
	ctx, cancel := lingering(ctx, settleTime)
	defer cancel()
	key, chunk, value := l.nextChunk()
	begun := time.Now()
	for ctx.Err() == nil {
		_, err := l.store.Create(ctx, key, value)
		switch {
		case err == nil:
			l.confirm(key, chunk)
			written(key, chunk, l.size(), time.Since(begun))
			return
		case fault.Is(err, fault.Conflict):
			if l.takeOver(ctx, key, value) {
				return
			}
		case fault.Is(err, fault.Invalid):
			l.log.Log(event.BatchChunkRefused, event.F("batch", l.id), event.F("chunk", key), event.Err(err))
			return
		}
		clock.Sleep(ctx, retryPause)
	}
}

// lingering returns a context that ends a time after its parent.
func lingering(parent context.Context, after time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() { time.AfterFunc(after, cancel) })
	return ctx, func() { stop(); cancel() }
}

// nextChunk takes pending results for one object. They stay pending until it is confirmed.
func (l *resultLog) nextChunk() (key string, chunk []Result, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := 0
	for _, r := range l.pending {
		size += 2*len(r.Output) + 300
		if size > chunkBytes && len(chunk) > 0 {
			break
		}
		chunk = append(chunk, r)
	}
	value, err := json.Marshal(chunk)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return chunkKey(l.id, l.chunks), chunk, value
}

// takeOver reads the chunk that stands in the place of this daemon's: an earlier try of
// its own, or another daemon's.
func (l *resultLog) takeOver(ctx context.Context, key string, own []byte) bool {
	o, err := l.store.Get(ctx, key)
	if err != nil {
		return false
	}
	if !bytes.Equal(o.Value, own) {
		l.contest()
		l.log.Log(event.BatchChunkLost, event.F("batch", l.id), event.F("chunk", key))
	}
	return l.confirmObject(o) == nil
}
