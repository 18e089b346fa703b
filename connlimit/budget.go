package connlimit

import (
	"sync"
	"time"
)

const (
	bodyMemoryPart, bodyMemoryParts = 3, 8     // of the process's memory
	defaultBodyMemory               = 64 << 20 // if no memory is set
)

// BodyMemory returns the memory that request bodies may take together in a process with the given
// memory, 0 for unknown.
func BodyMemory(processMemory int64) int64 {
	if processMemory <= 0 {
		return defaultBodyMemory
	}
	return processMemory * bodyMemoryPart / bodyMemoryParts
}

const (
	// smallBody is the size up to which a body may use the part of the budget that is kept for small
	// ones. Ordinary requests are smaller.
	smallBody      = 64 << 10
	smallBodyParts = 8  // one part of the budget is kept for small bodies
	lastingParts   = 16 // one part of the budget is kept from holders that last
)

// usage is what bodies take of a budget.
type usage struct {
	small int64 // of bodies up to smallBody
	large int64 // of all others
}

// add returns the usage after a body has grown from one size to another.
func (u usage) add(from, to int64) usage {
	for _, part := range []struct{ size, sign int64 }{{from, -1}, {to, 1}} {
		if part.size <= smallBody {
			u.small += part.sign * part.size
		} else {
			u.large += part.sign * part.size
		}
	}
	return u
}

// admits reports whether a body may grow from one size to another. It answers many clients that send
// large bodies at once, or begin them and do not end them: large bodies leave a part of the budget
// for small ones. The only large body is admitted up to alone bytes, since a single request within the
// configuration's limits must be served by a process of any size.
func admits(limit int64, used usage, from, to, alone int64) bool {
	reserve := limit / smallBodyParts
	next := used.add(from, to)
	withinBudget := next.small+next.large <= limit
	if to <= smallBody {
		return withinBudget || next.small <= reserve
	}
	return (withinBudget && next.large <= limit-reserve) || (next.large == to && to <= alone)
}

// Budget limits the memory of request bodies. Its methods are safe for concurrent use.
type Budget struct {
	limit int64

	mu           sync.Mutex
	used         usage
	refused      int64
	claimed      int64     // bytes that a holder with priority waits for
	claimedUntil time.Time // when it counts as gone
}

// claimPeriod is how long bytes are kept for a holder with priority that was refused. It asks again sooner.
const claimPeriod = 2 * time.Second

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Refused returns the number of times that a body was refused.
func (b *Budget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Used returns the number of bytes held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used.small + b.used.large
}

// Holder holds the bytes of one request. It must be used by one goroutine at a time.
type Holder struct {
	budget   *Budget
	alone    int64
	held     int64
	lasting  bool
	priority bool
}

// Holder returns a holder without any bytes. As the only holder of a large body it may take
// up to alone bytes, even if the budget is smaller.
func (b *Budget) Holder(alone int64) *Holder { return &Holder{budget: b, alone: alone} }

// LastingHolder is like Holder, for bytes that may be held for much longer than a request takes. Load pattern: running
// batches fill the budget; requests with large bodies must not be refused until they end.
func (b *Budget) LastingHolder(alone int64) *Holder {
	return &Holder{budget: b, alone: alone, lasting: true}
}

// PriorityHolder is like LastingHolder. While it waits for bytes that it was refused, they are not given to large bodies
// of other holders. Load pattern: accepted work that another process has lost needs room in a process that takes
// all the new work it has room for.
func (b *Budget) PriorityHolder(alone int64) *Holder {
	return &Holder{budget: b, alone: alone, lasting: true, priority: true}
}

// Take takes size more bytes. It reports false and takes nothing if the budget is used up.
func (h *Holder) Take(size int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.fits(size) {
		b.refused++
		if h.priority {
			b.claimed, b.claimedUntil = size, time.Now().Add(claimPeriod)
		}
		return false
	}
	if h.priority {
		b.claimed = 0
	}
	b.used = b.used.add(h.held, h.held+size)
	h.held += size
	return true
}

// Fits reports whether Take would take size more bytes now. One that would not counts as refused.
func (h *Holder) Fits(size int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	fits := h.fits(size)
	if !fits {
		b.refused++
	}
	return fits
}

// fits is called with the budget's lock held.
func (h *Holder) fits(size int64) bool {
	b := h.budget
	used, limit := b.used, b.limit
	if h.lasting {
		limit -= limit / lastingParts
	}
	if !h.priority && b.claimed > 0 && time.Now().Before(b.claimedUntil) {
		used.large += b.claimed
	}
	return admits(limit, used, h.held, h.held+size, h.alone)
}

// ShrinkTo returns the bytes over size to the budget.
func (h *Holder) ShrinkTo(size int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if size < h.held {
		b.used = b.used.add(h.held, size)
		h.held = size
	}
}

// Transfer returns a new holder with the bytes of this one, which is then empty.
func (h *Holder) Transfer() *Holder {
	moved := *h
	h.held = 0
	return &moved
}

// Held returns the number of bytes held.
func (h *Holder) Held() int64 { return h.held }

// Release returns all bytes to the budget. It may be called more than once.
func (h *Holder) Release() { h.ShrinkTo(0) }
