package usage

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/usage/usagepb"
)

// Guards against counts that are lost or counted twice without any fault, in fleets that are smaller
// and larger than the number of candidates.
func TestTotalOfAllDaemons(t *testing.T) {
	for _, daemons := range []int{1, 2, 3, 4, 20} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			runFleet(t, daemons, func(f *testFleet) {
				window := f.toWindowStart()
				for step := range 40 {
					for i := range f.order {
						f.at(i).record("a", 1+step%2)
						f.at(i).record(fmt.Sprint("of ", i), 1)
					}
					f.sleep(100 * time.Millisecond)
				}
				f.sleep(3 * time.Second)
				want := map[string]int64{"a": int64(60 * daemons)}
				for i := range f.order {
					want[fmt.Sprint("of ", i)] = 40
				}
				for i := range f.order {
					f.checkTotal(f.at(i), window, want)
				}
			})
		})
	}
}

// Guards against the loss of the counts of a daemon that ends half a second after its last count. At
// most those of the last half second may be missing.
func TestCountsSurviveTheDaemonThatCounted(t *testing.T) {
	for rank := range 6 {
		runFleet(t, 6, func(f *testFleet) {
			window := f.toWindowStart()
			f.at(rank).record("a", 7)
			f.sleep(200 * time.Millisecond)
			f.at(rank).record("a", 1)
			f.sleep(500 * time.Millisecond)
			f.at(rank).record("a", 100)
			f.at(rank).end()
			f.sleep(3 * time.Second)
			f.checkTotal(f.at((rank+1)%6), window, map[string]int64{"a": 8})

			f.at(rank).begin() // counts from zero again
			f.at(rank).record("a", 2)
			f.sleep(time.Second)
			f.checkTotal(f.at((rank+1)%6), window, map[string]int64{"a": 10})
		})
	}
}

// Guards against the loss of counts when the daemons that received them are restarted, while the daemon
// that counted has something new to send and while it has not.
func TestCountsSurviveRestartsOfTheReceivers(t *testing.T) {
	for _, busy := range []bool{true, false} {
		t.Run(fmt.Sprint("busy ", busy), func(t *testing.T) {
			runFleet(t, 6, func(f *testFleet) {
				window := f.toWindowStart()
				want := int64(7)
				f.at(5).record("a", 7)
				f.sleep(400 * time.Millisecond)
				for _, rank := range []int{0, 1, 0} {
					f.at(rank).end()
					f.at(rank).begin()
					if busy {
						f.at(5).record("a", 1)
						want++
					}
					f.sleep(time.Second)
				}
				if !busy {
					f.at(5).end()
				}
				f.sleep(3 * time.Second)
				for rank := range 3 {
					f.checkTotal(f.at(rank), window, map[string]int64{"a": want})
				}
			})
		})
	}
}

// Guards against receivers that were restarted at the same time, so that none has the earlier counts,
// and get only the new ones.
func TestEverythingIsSentToRestartedReceivers(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		window := f.toWindowStart()
		f.at(5).record("a", 7)
		f.sleep(time.Second)
		for _, rank := range []int{0, 1} {
			f.at(rank).end()
		}
		for _, rank := range []int{0, 1} {
			f.at(rank).begin()
		}
		f.at(5).record("b", 1)
		f.sleep(500 * time.Millisecond)
		f.at(5).end()
		for rank := range 3 {
			f.checkTotal(f.at(rank), window, map[string]int64{"a": 7, "b": 1})
		}
	})
}

// Guards against counts that are taken for received although the receiver's clock was wrong and it
// dropped them. In a fleet of two, it has no majority to correct it.
func TestCountsThatTheReceiverDroppedAreSentAgain(t *testing.T) {
	runFleet(t, 2, func(f *testFleet) {
		f.at(0).end()
		f.at(0).jump.Store(int64(-time.Hour))
		f.at(0).begin()
		window := f.toWindowStart()
		f.at(1).record("a", 7)
		f.sleep(time.Second)
		if f.at(0).hasReceived() {
			t.Error("counts of a window far ahead were kept")
		}
		f.at(0).jump.Store(0)
		f.sleep(3 * time.Second)
		if !f.at(0).hasReceived() {
			t.Error("the counts were not sent again")
		}
		f.checkTotal(f.at(0), window, map[string]int64{"a": 7})
	})
}

// Guards against a receiver that does not respond: it must not delay the message to the other one, the
// next daemon takes its place, and it gets the counts once it responds again.
func TestReceiverThatDoesNotRespond(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		window := f.toWindowStart()
		f.at(0).setHanging(true)
		f.at(5).record("a", 7)
		f.sleep(350 * time.Millisecond)
		if !f.at(1).hasReceived() {
			t.Error("the second receiver has not got the counts in time")
		}
		f.sleep(300 * time.Millisecond)
		if !f.at(2).hasReceived() {
			t.Error("the third daemon has not taken the place of the first")
		}
		f.checkTotal(f.at(1), window, map[string]int64{"a": 7})
		f.at(0).setHanging(false)
		f.sleep(6 * time.Second)
		if !f.at(0).hasReceived() {
			t.Error("the first receiver has not got the counts after it responded again")
		}
		f.checkTotal(f.at(0), window, map[string]int64{"a": 7})
	})
}

// Guards against a total without the counts that only unresponsive daemons have, and against one that
// is taken for complete when no other daemon responded.
func TestTotalWithUnresponsiveDaemons(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		window := f.toWindowStart()
		f.at(0).record("a", 1)
		f.at(1).record("a", 10)
		f.at(2).record("a", 100)
		f.at(5).record("a", 1000)
		f.sleep(time.Second)
		f.at(0).setHanging(true)
		begunAt := time.Now()
		f.checkTotal(f.at(2), window, map[string]int64{"a": 1111})
		if took := time.Since(begunAt); took > time.Second {
			t.Errorf("the total took %v", took)
		}
		f.at(1).setHanging(true) // both receivers of the last daemon's counts
		if total, err := f.at(2).Total(context.Background(), window); err == nil {
			t.Errorf("total %v without an error", total)
		}
		f.at(0).setRemoved(true)
		f.at(1).setRemoved(true)
		f.sleep(4 * time.Second)
		f.checkTotal(f.at(2), window, map[string]int64{"a": 1111})
		if total, err := f.at(1).Total(context.Background(), window-100); err == nil {
			t.Errorf("total %v of a window that is not kept", total)
		}
	})
}

// Guards against messages that are repeated and delivered late, after newer ones.
func TestRepeatedAndReorderedUpdates(t *testing.T) {
	runFleet(t, 6, func(f *testFleet) {
		window := f.toWindowStart()
		var old []*usagepb.UpdateRequest
		f.afterUpdate = func(to *Manager, request *usagepb.UpdateRequest) {
			old = append(old, proto.Clone(request).(*usagepb.UpdateRequest))
			for i := range old {
				_, _ = service{to}.Update(context.Background(), old[len(old)-1-i])
			}
		}
		for range 10 {
			f.at(3).record("a", 3)
			f.at(4).record("a", 2)
			f.sleep(400 * time.Millisecond)
		}
		f.sleep(time.Second)
		for rank := range 6 {
			f.checkTotal(f.at(rank), window, map[string]int64{"a": 50})
		}
	})
}

// Guards against windows that move when one wall clock jumps and jumps back, on the daemon itself or on
// another one. A fleet of two has no majority; there the previous estimate decides.
func TestWindowsStayWhenOneWallClockJumps(t *testing.T) {
	for _, daemons := range []int{2, 3, 5, 20} {
		for _, jump := range []time.Duration{7 * time.Second, -7 * time.Second, time.Hour, -time.Hour} {
			t.Run(fmt.Sprint(daemons, " daemons, jump of ", jump), func(t *testing.T) {
				runFleet(t, daemons, func(f *testFleet) {
					for _, current := range []time.Duration{jump, 0, -jump, 0} {
						f.at(1).jump.Store(int64(current))
						for range 90 {
							for _, d := range f.daemons {
								if off := time.Until(d.Clock.Now()).Abs(); off > time.Millisecond {
									t.Fatalf("the wall clock of one daemon at %v moved %s by %v", current, d.id, off)
								}
							}
							f.sleep(500 * time.Millisecond)
						}
						if offset := f.at(1).Clock.Offset(); offset != -current {
							t.Errorf("offset %v of the clock at %v", offset, current)
						}
					}
				})
			})
		}
	}
}

// Guards against a peer that does not respond and is asked again and again instead of the others.
func TestUnresponsivePeerDoesNotStopTheSamples(t *testing.T) {
	runFleet(t, 3, func(f *testFleet) {
		// Of two peers, one is asked at least in each third round. A round takes up to 1.25 intervals, and
		// two of them wait for the other peer.
		const maxAge = 3*sampleInterval*5/4 + 2*maxRoundTrip
		f.at(2).setHanging(true)
		f.sleep(2 * maxSampleAge)
		for range 100 {
			f.sleep(time.Second)
			c := f.at(0).Clock
			c.mu.Lock()
			for _, s := range c.samples {
				if age := c.boot() - s.takenAt; age > maxAge {
					t.Errorf("the sample of %s is %v old", s.peer, age)
				}
			}
			if len(c.samples) != 1 {
				t.Errorf("%d samples", len(c.samples))
			}
			c.mu.Unlock()
		}
	})
}

// Guards against counts in a wrong window when a wall clock jumps between the begin of a request and
// its record.
func TestRecordIgnoresJumpsSinceTheBegin(t *testing.T) {
	runFleet(t, 5, func(f *testFleet) {
		window := f.toWindowStart()
		begunAt := time.Now()
		f.sleep(4500 * time.Millisecond)
		f.at(4).jump.Store(int64(20 * time.Second))
		f.at(4).Recorder.Record("a", begunAt)
		f.sleep(time.Second)
		f.at(4).Recorder.Record("a", begunAt)
		f.sleep(time.Second)
		f.checkTotal(f.at(0), window, map[string]int64{"a": 2})
	})
}

// Guards against a daemon that starts with a wrong wall clock and keeps windows of its own.
func TestStartWithWrongWallClock(t *testing.T) {
	runFleet(t, 5, func(f *testFleet) {
		f.at(0).end()
		f.at(0).jump.Store(int64(-time.Hour))
		window := f.toWindowStart()
		f.at(4).record("a", 7)
		f.at(0).begin()
		f.sleep(time.Second)
		f.at(0).record("a", 1)
		f.sleep(2 * time.Second)
		f.checkTotal(f.at(0), window, map[string]int64{"a": 8})
		f.checkTotal(f.at(1), window, map[string]int64{"a": 8})
	})
}

// Guards against control work at rest: besides the clock samples, no calls are made.
func TestNoCallsAtRest(t *testing.T) {
	runFleet(t, 20, func(f *testFleet) {
		f.at(7).record("a", 1)
		f.sleep(time.Second)
		before := f.calls()
		if before.updates != receiverCount {
			t.Errorf("%d updates for one count", before.updates)
		}
		const period = 10 * time.Minute
		f.sleep(period)
		after := f.calls()
		if after.updates != before.updates || after.reads != before.reads {
			t.Errorf("calls %+v, before %+v", after, before)
		}
		perDaemon := float64(after.samples-before.samples) / 20
		if most := 1.1 * period.Seconds() / sampleInterval.Seconds(); perDaemon > most {
			t.Errorf("%g clock samples per daemon in %v", perDaemon, period)
		}
	})
}

// Guards against messages that follow each other without a pause while counts change all the time.
func TestUpdateRateIsBounded(t *testing.T) {
	runFleet(t, 4, func(f *testFleet) {
		before := f.calls().updates
		for range 1000 {
			f.at(3).record("a", 1)
			f.sleep(10 * time.Millisecond)
		}
		if n := (f.calls().updates - before) / receiverCount; n < 25 || n > 40 {
			t.Errorf("%d updates to each receiver in 10 s", n)
		}
	})
}
