package connlimit

import (
	"testing"
	"testing/synctest"
	"time"
)

// Replays two large bodies that use up the budget together: the first waits until the other one, which is refused, has
// left it its room.
func TestFirstOfSeveralBodiesWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 80 << 20
		b := NewBudget(limit)
		var arrivals Arrivals
		first, second := arrivals.Begin(), arrivals.Begin()
		firstHolder, secondHolder := b.Holder(0), b.Holder(0)
		if !first.Take(firstHolder, limit/3) || !second.Take(secondHolder, limit/3) {
			t.Fatal("no room although there is some")
		}
		time.AfterFunc(5*roomWaitStep, func() {
			start := time.Now()
			if second.Take(secondHolder, limit/3) || time.Since(start) > 0 {
				t.Error("the second body got room, or waited for it")
			}
			secondHolder.Release()
			second.End()
		})
		if !first.Take(firstHolder, limit/3) {
			t.Error("the first body was refused")
		}
		if start := time.Now(); first.Take(firstHolder, limit) || time.Since(start) < maxRoomWait {
			t.Error("a body that never fits was taken, or was refused too soon")
		}
		first.End()
		if third := arrivals.Begin(); !third.isFirst() {
			t.Error("a body counts as being read after its end")
		}
	})
}
