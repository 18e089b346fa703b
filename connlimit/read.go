package connlimit

import (
	"errors"
	"io"
	"sync"
)

const (
	// Sizes of the parts in which a body is read. Parts are charged to a budget before they are filled,
	// so that a peer that announces a large body and sends none takes little.
	firstUnknownPart = 4 << 10 // of a body of unknown length
	maxFirstPart     = 64 << 10
	// MaxPart is the size of the largest part.
	MaxPart = 1 << 20
)

// Errors of ReadAll.
var (
	ErrUsedUp  = errors.New("the memory for messages is used up")
	ErrTooLong = errors.New("the message is over its size limit")
)

// joining is held while the parts of a body are joined. Only one body of the process is joined at a time:
// its copy is not charged to a budget.
var joining sync.Mutex

// ReadAll reads a complete body of the given size, -1 if it is unknown, of less than limit bytes, 0 for no
// limit.
func (h *Holder) ReadAll(reader io.Reader, size, limit int64) ([]byte, error) {
	parts, complete, err := h.ReadParts(reader, size, limit)
	switch {
	case err != nil:
		return nil, err
	case complete:
		return join(parts), nil
	case limit > 0 && totalLength(parts) >= limit:
		return nil, ErrTooLong
	}
	return nil, ErrUsedUp
}

func totalLength(parts [][]byte) int64 {
	total := int64(0)
	for _, part := range parts {
		total += int64(len(part))
	}
	return total
}

// ReadParts reads a body of the given size, -1 if it is unknown, until its end, until limit bytes were
// read (0 for no limit) or until the budget is used up. complete reports that the body has ended.
func (h *Holder) ReadParts(reader io.Reader, size, limit int64) (parts [][]byte, complete bool, err error) {
	next := int64(firstUnknownPart)
	if size > 0 {
		next = min(size+1, maxFirstPart) // one more byte, so that the end of a short body needs no second part
	}
	for total := int64(0); ; next = min(2*next, MaxPart) {
		if limit > 0 {
			next = min(next, limit-total)
		}
		if next <= 0 || !h.Take(next) {
			return parts, false, nil
		}
		part := make([]byte, 0, next)
		for len(part) < cap(part) {
			n, err := reader.Read(part[len(part):cap(part)])
			part = part[:len(part)+n]
			total += int64(n)
			if err == io.EOF {
				return append(parts, part), true, nil
			}
			if err != nil {
				return nil, false, err
			}
		}
		parts = append(parts, part)
	}
}

// join returns the parts as one slice and frees them.
func join(parts [][]byte) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	joining.Lock()
	defer joining.Unlock()
	body := make([]byte, 0, totalLength(parts))
	for i, part := range parts {
		body = append(body, part...)
		parts[i] = nil // the garbage collector may free the part before the next one is copied
	}
	return body
}
