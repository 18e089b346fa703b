package connlimit

import "sync"

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
	smallBodyParts = 8 // one part of the budget is kept for small bodies
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

	mu      sync.Mutex
	used    usage
	refused int64
}

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
	budget *Budget
	alone  int64
	held   int64
}

// Holder returns a holder without any bytes. As the only holder of a large body it may take
// up to alone bytes, even if the budget is smaller.
func (b *Budget) Holder(alone int64) *Holder { return &Holder{budget: b, alone: alone} }

// Take takes size more bytes. It reports false and takes nothing if the budget is used up.
func (h *Holder) Take(size int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !admits(b.limit, b.used, h.held, h.held+size, h.alone) {
		b.refused++
		return false
	}
	b.used = b.used.add(h.held, h.held+size)
	h.held += size
	return true
}

// Held returns the number of bytes held.
func (h *Holder) Held() int64 { return h.held }

// Release returns all bytes to the budget. It may be called more than once.
func (h *Holder) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = b.used.add(h.held, 0)
	h.held = 0
}
