package connlimit

import "testing"

// Replays a process whose room is taken by new large bodies as soon as it is free, while work that another process
// has lost waits for room: that must not wait for ever.
func TestPriorityHolderGetsRoomBeforeNewBodies(t *testing.T) {
	const limit, body = 80 << 20, 20 << 20
	b := NewBudget(limit)
	var held []*Holder
	for h := b.Holder(limit); h.Take(body); h = b.Holder(limit) {
		held = append(held, h)
	}
	if len(held) != 3 { // an eighth is kept for small bodies
		t.Fatalf("%d large bodies fit, want 3", len(held))
	}
	lost := b.PriorityHolder(limit)
	if lost.Take(2 * body) {
		t.Fatal("the lost work got room that there isn't")
	}
	for n, h := range held[:2] {
		h.Release()
		if b.Holder(limit).Take(body) {
			t.Fatalf("a new body got the room of body %d", n)
		}
		if !b.Holder(limit).Take(smallBody) {
			t.Error("a small body was refused")
		}
	}
	if !lost.Take(2 * body) {
		t.Fatal("the lost work got no room")
	}
	held[2].Release()
	if !b.Holder(limit).Take(body) {
		t.Error("no new body is taken after the lost work got its room")
	}
}

// Replays running batches that take all the room that they can get: a request with a large body still finds some.
func TestLastingHoldersLeaveRoomForRequests(t *testing.T) {
	const limit = 64 << 20
	b := NewBudget(limit)
	for b.LastingHolder(0).Take(100 << 10) {
	}
	if !b.Holder(0).Take(2 << 20) {
		t.Error("a large body of a request was refused")
	}
	if !b.Holder(0).Take(smallBody) {
		t.Error("a small body was refused")
	}
}

// Guards against bytes that are counted twice or never given back when they pass from one holder to another.
func TestTransferAndShrinkKeepTheBudgetExact(t *testing.T) {
	b := NewBudget(1 << 20)
	h := b.Holder(0)
	h.Take(300 << 10)
	h.ShrinkTo(200 << 10)
	h.ShrinkTo(250 << 10) // not less than is held
	moved := h.Transfer()
	h.Release()
	if moved.Held() != 200<<10 || b.Used() != 200<<10 || h.Held() != 0 {
		t.Errorf("held %d by the new holder and %d by the old one, used %d", moved.Held(), h.Held(), b.Used())
	}
	moved.Release()
	moved.Release()
	if b.Used() != 0 {
		t.Errorf("%d bytes are still used", b.Used())
	}
}
