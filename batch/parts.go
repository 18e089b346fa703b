package batch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// Formats of parts. In the first one a part is a list of items. In the second it is a list of storedItem, so that
// the bodies of an item may go on in the next part; its objects are of another kind, since a submission that
// daemons of both versions have tried to store must not end up with parts of both.
const (
	itemsFormat = iota // has no number in the head
	piecesFormat
	newestPartFormat = piecesFormat
)

// partKey returns the key of a part of the job.
func (j Job) partKey(n int) string {
	kind := "items"
	if j.PartFormat == itemsFormat {
		kind = "parts"
	}
	return fmt.Sprintf("%s-%s/%06d", kind, j.ID, n)
}

const (
	// maxPieceBytes bounds the piece of a body in one entry of a part.
	maxPieceBytes = 128 << 10
	// maxHeadWithPieces is the size of an item without its bodies up to which the first pieces stand beside it.
	maxHeadWithPieces = 32 << 10
	// maxBodyBytes bounds the size that an entry may claim for a body.
	maxBodyBytes = 64 << 20
)

// storedItem is one entry of a part: an item with the first pieces of its bodies, or the next pieces.
type storedItem struct {
	Item

	// Continued means that the entry has only further pieces of the bodies of the item before it.
	Continued bool `json:"continued,omitempty"`
	// BodyBytes and ScorerBodyBytes are the sizes of the whole bodies of an item that is continued.
	BodyBytes       int `json:"body_bytes,omitempty"`
	ScorerBodyBytes int `json:"scorer_body_bytes,omitempty"`
}

// storedItems returns the entries that hold an item, each of which fits into one object.
func storedItems(item Item) iter.Seq[storedItem] {
	return func(yield func(storedItem) bool) {
		body := item.Body
		var scorerBody []byte
		first := storedItem{Item: item}
		if item.Scorer != nil {
			scorer := *item.Scorer
			scorerBody, first.Scorer = scorer.Body, &scorer
		}
		pieceBytes := maxPieceBytes
		if item.headSize() > maxHeadWithPieces {
			pieceBytes = 0
		}
		first.Body, body = cut(body, pieceBytes)
		if first.Scorer != nil {
			first.Scorer.Body, scorerBody = cut(scorerBody, pieceBytes)
		}
		if len(body)+len(scorerBody) > 0 {
			first.BodyBytes, first.ScorerBodyBytes = len(item.Body), len(first.scorerBody())+len(scorerBody)
		}
		if !yield(first) {
			return
		}
		for len(body)+len(scorerBody) > 0 {
			next := storedItem{Continued: true}
			next.Body, body = cut(body, maxPieceBytes)
			if len(scorerBody) > 0 {
				next.Scorer = &Scorer{}
				next.Scorer.Body, scorerBody = cut(scorerBody, maxPieceBytes)
			}
			if !yield(next) {
				return
			}
		}
	}
}

// cut returns the first size bytes of a body, and the rest.
func cut(body []byte, size int) (piece, rest []byte) {
	size = min(size, len(body))
	return body[:size:size], body[size:]
}

func (s *storedItem) scorerBody() []byte {
	if s.Scorer == nil {
		return nil
	}
	return s.Scorer.Body
}

// parts encodes the items, one part at a time: a batch may take most of the memory that the process has. What counts
// for the size of a part is its encoding in the store. Failure: with a size guessed from the bodies, items with large
// scoring requests, with many escapes or larger than one object were refused by the store.
func (j Job) parts() iter.Seq2[int, []byte] {
	return func(yield func(n int, value []byte) bool) {
		n, size := 0, 0
		var part bytes.Buffer
		for _, item := range j.Items {
			for entry := range storedItems(item) {
				text := encodeJSON(entry)
				entrySize := objectapi.EncodedSize(text)
				if size > 0 && size+entrySize > maxObjectBytes {
					part.WriteByte(']')
					if !yield(n, part.Bytes()) {
						return
					}
					part = bytes.Buffer{} // the value is the caller's now
					n, size = n+1, 0
				}
				if size == 0 {
					part.WriteByte('[')
				} else {
					part.WriteByte(',')
				}
				part.Write(text)
				size += entrySize
			}
		}
		part.WriteByte(']')
		yield(n, part.Bytes())
	}
}

// itemReader puts items together from the entries of successive parts.
type itemReader struct {
	pending *Item // the last item, which the next entry may continue
}

// read decodes a part and calls f for each item that is complete by then, until f returns false.
func (r *itemReader) read(value []byte, f func(*Item) bool) (more bool, err error) {
	var entries []storedItem
	if err := json.Unmarshal(value, &entries); err != nil {
		return false, err
	}
	for i := range entries {
		entry := &entries[i]
		if entry.Continued {
			if err := r.extend(entry); err != nil {
				return false, err
			}
			continue
		}
		if !r.end(f) {
			return false, nil
		}
		if r.pending, err = entry.first(); err != nil {
			return false, err
		}
	}
	return true, nil
}

// end calls f for the last item, which no further entry continues.
func (r *itemReader) end(f func(*Item) bool) (more bool) {
	item := r.pending
	r.pending = nil
	return item == nil || f(item)
}

// first returns the item that an entry begins, with room for the pieces that follow.
func (s *storedItem) first() (*Item, error) {
	if max(s.BodyBytes, s.ScorerBodyBytes) > maxBodyBytes || min(s.BodyBytes, s.ScorerBodyBytes) < 0 {
		return nil, fault.New(fault.Invalid, "the size of a body is out of range", "remove the batch")
	}
	item := s.Item // a copy: a pointer into the part would keep all of it
	if s.BodyBytes > len(item.Body) {
		item.Body = append(make([]byte, 0, s.BodyBytes), item.Body...)
	}
	if item.Scorer != nil && s.ScorerBodyBytes > len(item.Scorer.Body) {
		item.Scorer.Body = append(make([]byte, 0, s.ScorerBodyBytes), item.Scorer.Body...)
	}
	return &item, nil
}

func (r *itemReader) extend(entry *storedItem) error {
	if r.pending == nil || entry.Scorer != nil && r.pending.Scorer == nil {
		return fault.New(fault.Invalid, "an entry continues no item", "remove the batch")
	}
	r.pending.Body = append(r.pending.Body, entry.Body...)
	if entry.Scorer != nil {
		r.pending.Scorer.Body = append(r.pending.Scorer.Body, entry.Scorer.Body...)
	}
	return nil
}
