package objectapi

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// settlePause is the wait between two attempts to settle a write.
const settlePause = 100 * time.Millisecond

// CreateSettled creates key and settles a lost answer before it returns. Values must
// differ between writers, by a nonce if need be. It fails with fault.Conflict if
// another value is there and with fault.Ambiguous if ctx ended before the platform
// could be read.
func CreateSettled(ctx context.Context, store ObjectStore, key string, value []byte) (Object, error) {
	return settle(ctx, store, key, value, 0, func() (Object, error) {
		return store.Create(ctx, key, value)
	})
}

// UpdateSettled updates key from the given version and settles a lost answer before
// it returns. Errors are those of CreateSettled; fault.Ambiguous is also returned
// when a newer version of another writer hides whether this write took effect.
func UpdateSettled(ctx context.Context, store ObjectStore, key string, value []byte, version int64) (Object, error) {
	return settle(ctx, store, key, value, version, func() (Object, error) {
		return store.Update(ctx, key, value, version)
	})
}

// settle repeats a conditional write until it is known whether it took effect. To
// repeat it is safe: its condition holds at most once.
func settle(ctx context.Context, store ObjectStore, key string, value []byte, version int64, write func() (Object, error)) (Object, error) {
	lost := false
	for {
		object, err := write()
		switch {
		case err == nil:
			return object, nil
		case lost && fault.Is(err, fault.Conflict):
			object, settled, readErr := readBack(ctx, store, key, value, version)
			if settled {
				return object, readErr
			}
		case fault.Is(err, fault.Ambiguous):
			lost = true
		case !lost:
			return Object{}, err
		}
		if !pause(ctx, settlePause) {
			return Object{}, fault.Wrap(ctx.Err(), fault.Ambiguous, "write of "+key+" is not settled", remedySettle)
		}
	}
}

// readBack reports whose write is at key, once it could be read.
func readBack(ctx context.Context, store ObjectStore, key string, value []byte, version int64) (Object, bool, error) {
	current, err := store.Get(ctx, key)
	switch {
	case fault.Is(err, fault.NotFound):
		return Object{}, true, fault.New(fault.Ambiguous, key+" was deleted while its write was unsettled", remedySettle)
	case err != nil:
		return Object{}, false, nil
	case current.Version > version && bytes.Equal(current.Value, value):
		return current, true, nil
	case version == 0:
		return Object{}, true, conflict(key, current.Version)
	}
	return Object{}, true, fault.Wrap(conflict(key, current.Version), fault.Ambiguous,
		"another writer's version hides whether the write took effect", remedySettle)
}

// pause waits and reports whether ctx still holds.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

const remedySettle = "read the object back and compare before writing again"

func conflict(key string, current int64) error {
	return fault.New(fault.Conflict, fmt.Sprintf("%s is at version %d", key, current),
		"read it again and repeat the change on the new version")
}
