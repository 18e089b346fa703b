package objectapi

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// retryDelay is the delay between two attempts to find out whether a write took effect.
const retryDelay = 100 * time.Millisecond

// CreateConfirmed creates key. If the response is lost, it finds out whether the write took
// effect before it returns. Values must differ between writers, by a nonce if necessary. It
// returns fault.Conflict if key has another value and fault.Ambiguous if ctx ended before
// that was known.
func CreateConfirmed(ctx context.Context, store ObjectStore, key string, value []byte) (Object, error) {
	return confirmWrite(ctx, store, key, value, 0, func() (Object, error) {
		return store.Create(ctx, key, value)
	})
}

// UpdateConfirmed updates key from the given version. If the response is lost, it finds out
// whether the write took effect before it returns. Errors are those of CreateConfirmed;
// fault.Ambiguous is also returned if a newer version of another writer hides whether this
// write took effect.
func UpdateConfirmed(ctx context.Context, store ObjectStore, key string, value []byte, version int64) (Object, error) {
	return confirmWrite(ctx, store, key, value, version, func() (Object, error) {
		return store.Update(ctx, key, value, version)
	})
}

// confirmWrite repeats a conditional write until it is known whether it took effect. The
// repetition is safe because the condition holds at most once.
func confirmWrite(ctx context.Context, store ObjectStore, key string, value []byte, version int64, write func() (Object, error)) (Object, error) {
	ambiguous := false
	for {
		object, err := write()
		switch {
		case err == nil:
			return object, nil
		case ambiguous && fault.Is(err, fault.Conflict):
			object, known, readErr := readBack(ctx, store, key, value, version)
			if known {
				return object, readErr
			}
		case fault.Is(err, fault.Ambiguous):
			ambiguous = true
		case !ambiguous:
			return Object{}, err
		}
		if !sleep(ctx, retryDelay) {
			return Object{}, fault.Wrap(ctx.Err(), fault.Ambiguous, "it is unknown whether the write of "+key+" took effect", remedyReadBack)
		}
	}
}

// readBack reads key after an ambiguous write. known is false if key could not be read;
// otherwise the error is nil if the stored value is that of this write.
func readBack(ctx context.Context, store ObjectStore, key string, value []byte, version int64) (Object, bool, error) {
	current, err := store.Get(ctx, key)
	switch {
	case fault.Is(err, fault.NotFound):
		return Object{}, true, fault.New(fault.Ambiguous, key+" was deleted before its write was confirmed", remedyReadBack)
	case err != nil:
		return Object{}, false, nil
	case current.Version > version && bytes.Equal(current.Value, value):
		return current, true, nil
	case version == 0:
		return Object{}, true, conflict(key, current.Version)
	}
	return Object{}, true, fault.Wrap(conflict(key, current.Version), fault.Ambiguous,
		"another writer's version hides whether the write took effect", remedyReadBack)
}

// sleep waits for d and returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

const remedyReadBack = "read the object back and compare before writing again"

func conflict(key string, current int64) error {
	return fault.New(fault.Conflict, fmt.Sprintf("%s is at version %d", key, current),
		"read it again and repeat the change on the new version")
}
