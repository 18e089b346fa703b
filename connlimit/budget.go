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

// admits reports whether a holder of own bytes may take size more. It answers many clients that send
// large bodies at once. A body that is the only one is admitted up to alone bytes, since a single
// request within the configuration's limits must be served by a process of any size.
func admits(limit, used, own, size, alone int64) bool {
	return used+size <= limit || (used == own && own+size <= alone)
}

// Budget limits the memory of request bodies. Its methods are safe for concurrent use.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	refused int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Refused returns the number of holders that were refused.
func (b *Budget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// Used returns the number of bytes held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holder holds the bytes of one request. It must be used by one goroutine at a time.
type Holder struct {
	budget *Budget
	alone  int64
	held   int64
}

// Holder returns a holder without any bytes. As the only holder of the budget it may take up to
// alone bytes, even if the budget is smaller.
func (b *Budget) Holder(alone int64) *Holder { return &Holder{budget: b, alone: alone} }

// Take takes size more bytes. It reports false and takes nothing if the budget is used up.
func (h *Holder) Take(size int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !admits(b.limit, b.used, h.held, size, h.alone) {
		b.refused++
		return false
	}
	b.used += size
	h.held += size
	return true
}

// Release returns all bytes to the budget. It may be called more than once.
func (h *Holder) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= h.held
	h.held = 0
}
