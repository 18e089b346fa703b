package batch

import (
	"github.com/hornbeamtide/hornbeamtide/connlimit"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

const (
	// maxTokenBytes is more than the text of a token takes on average over a completion, and
	// minTextLimit is allowed to any item: single tokens may be longer.
	maxTokenBytes = 256
	minTextLimit  = 16 << 10
	// eventMemory is the memory of an event beside its text.
	eventMemory = 32
	// maxTextBytes bounds the completion of any item: its result has to fit into one object.
	maxTextBytes = objectapi.MaxValueBytes / 2
)

// textLimit returns the memory that an item's completion may take: what its tokens may produce, and
// never more than fits into one object of results. Load pattern: a replica that sends well-formed events
// without end.
func textLimit(item *Item) int64 {
	limit := int64(maxTextBytes)
	const perToken = maxTokenBytes + eventMemory // an event has at least one token
	if item.MaxTokens > 0 && item.MaxTokens < limit/perToken {
		limit = max(item.MaxTokens*perToken, minTextLimit)
	}
	return limit
}

// textMemory returns the memory that the text of a completion takes.
func textMemory(events []string) int64 {
	size := int64(0)
	for _, e := range events {
		size += int64(len(e)) + eventMemory
	}
	return size
}

var (
	// errTextTooLong means that a replica sent more than the item may produce.
	errTextTooLong = fault.New(fault.Truncated, "the replica sent more text than the item may produce", "generate it on another replica")
	// errTextMemory means that the completions of this daemon take all the memory that they may.
	errTextMemory = fault.New(fault.Overloaded, "the memory for completions is used up", "start the completion over later")
)

// admitText takes the memory of the next event of a completion, and before the first one that of the text
// from which the completion resumes. After an error the completion starts over.
func (s *completionStream) admitText(next string) error {
	total := s.textSize + int64(len(next)) + eventMemory
	switch {
	case total > s.textLimit:
		return errTextTooLong
	case total > s.text.Held() && !s.text.Take(total-s.text.Held()):
		return errTextMemory
	}
	s.textSize = total
	return nil
}

// textError returns the error of a completion that outgrew its limit. It is the replica's fault if the
// item may not produce so much. Otherwise the item may be at fault: its result fits into no object of
// the store. It then fails after the attempts of its route.
func (r *run) textError(item *Item) error {
	if textLimit(item) < maxTextBytes || r.recordItemFailure(item.ID) < r.maxAttempts(item) {
		return errTextTooLong
	}
	r.log.Log(event.BatchResultTooLarge, event.F("batch", r.job.ID), event.F("item", item.ID), event.F("bytes", maxTextBytes))
	return errItemFailed
}

// textHolder returns the holder of the memory of an item's completion.
func (r *run) textHolder(item *Item) *connlimit.Holder {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.textHolders[item.ID] == nil {
		r.textHolders[item.ID] = r.texts.Holder(maxTextBytes)
	}
	return r.textHolders[item.ID]
}

// releaseTexts releases the memory of all completions of the run.
func (r *run) releaseTexts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, holder := range r.textHolders {
		holder.Release()
	}
}
