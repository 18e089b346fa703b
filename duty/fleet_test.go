package duty

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/memstore"
)

func TestFleetAtRest(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		time.Sleep(20 * time.Second)
		holder, writes, calls := w.holder(), w.store.Writes(), map[string]int{}
		for _, p := range w.all() {
			calls[p.name] = p.storeCallCount()
		}
		time.Sleep(100 * time.Second)
		if got := w.store.Writes() - writes; got > 2*20+1 {
			w.t.Errorf("%d writes in 20 windows, want at most 2 each", got)
		}
		for _, p := range w.all() {
			if got := p.storeCallCount() - calls[p.name]; p != holder && got > 0 {
				w.t.Errorf("%s, which does not hold the lease, called the store %d times", p.name, got)
			}
		}
		if w.holder() != holder || holder.id != "a" {
			w.t.Errorf("the lease passed from %s to %s", holder.name, w.holder().name)
		}
		w.mustBeAccepted(0, 110*time.Second, 3*time.Second)
		if got, want := len(w.platform.log()), len(w.platform.acceptedAt()); got != want {
			w.t.Errorf("%d calls for %d windows", got, want)
		}
		for window := range w.platform.acceptedAt() {
			if window < windowAt(w.start, testWindow) {
				w.t.Errorf("report of window %d, which ended before the fleet started", window)
			}
		}
		d := holder.manager.Dump()
		if d.Holder != "a" || d.Counts.Accepted != d.Counts.Sent || len(d.Windows) != keptWindows || d.Windows[keptWindows-1].State != StateAccepted || d.Windows[0].DelayMs < 2500 {
			w.t.Errorf("dump %+v", d)
		}
	})
}

// The holder is killed after it stored a report. The next holder must send the stored report although
// it would count otherwise.
func TestHolderKilledBetweenStoreAndSend(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		time.Sleep(16 * time.Second)
		a := w.holder()
		a.set(func(p *process) { p.atSend = func() { w.kill(a) } })
		time.Sleep(24 * time.Second)
		if w.holder().id != "b" {
			w.t.Errorf("%s holds the lease, want b", w.holder().name)
		}
		w.mustBeAccepted(0, 30*time.Second, testDue)
		window := windowAt(w.start.Add(12*time.Second), testWindow)
		for _, e := range w.platform.log() {
			if e.report.Window == window && (e.by != "b#2" || !strings.Contains(string(e.report.Body), `"a#1"`)) {
				w.t.Errorf("%s sent %s, want the report of a#1 sent by b#2", e.by, e.report.Body)
			}
		}
	})
}

// The holder is frozen while it composes, past the end of its lease. Where the receiver checks no
// tokens, it must send nothing after that; elsewhere the receiver refuses it.
func TestHolderFrozenPastItsLease(t *testing.T) {
	for _, frozen := range []time.Duration{3500 * time.Millisecond, 7 * time.Second, 20 * time.Second} {
		inBothWorlds(t, func(w *world) {
			time.Sleep(12400 * time.Millisecond)
			a := w.holder()
			a.set(func(p *process) { p.frozenUntil = time.Now().Add(frozen) })
			thaw := time.Now().Add(frozen)
			time.Sleep(40 * time.Second)
			for _, e := range w.platform.log() {
				if e.by == a.name && e.at.After(thaw) && e.reply == Accepted && frozen > 10*time.Second {
					w.t.Errorf("frozen for %s: the former holder's report was accepted %s later", frozen, e.at.Sub(thaw))
				}
			}
			w.holder()
			w.mustBeAccepted(20*time.Second, 40*time.Second, testDue)
			w.mustBeAccepted(0, 40*time.Second, maxReportAge)
		})
	}
}

// Answers are lost and the calls are executed seconds later, after newer ones of the same holder.
func TestLostAnswersAreExecutedLate(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		for range 6 {
			time.Sleep(10 * time.Second)
			w.platform.set(func(p *fakePlatform) { p.lose, p.delay = 2, 2900*time.Millisecond })
		}
		time.Sleep(20 * time.Second)
		w.mustBeAccepted(0, 70*time.Second, testDue)
	})
}

// A holder that is cut off from the other daemons composes a window while its successor does. The
// conditional write must let only one of the two reports exist.
func TestTwoHoldersRaceForOneWindow(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		total, slow := w.countsFunc(), true
		var mu sync.Mutex
		composedBy := map[int64][]string{}
		w.mu.Lock()
		w.total = func(p *process, window int64) (map[string]int64, error) {
			mu.Lock()
			composedBy[window] = append(composedBy[window], p.id)
			wait := p.name == "a#1" && slow && time.Since(w.start) > 15*time.Second
			if wait {
				slow = false
			}
			mu.Unlock()
			if wait {
				time.Sleep(9 * time.Second) // longer than the takeover takes
			}
			return total(p, window)
		}
		w.mu.Unlock()
		time.Sleep(15 * time.Second)
		a := w.holder()
		a.set(func(p *process) { p.cut = true })
		time.Sleep(45 * time.Second)
		a.set(func(p *process) { p.cut = false })
		time.Sleep(10 * time.Second)
		w.holder()
		mu.Lock()
		if by := composedBy[windowAt(w.start.Add(12*time.Second), testWindow)]; !slices.Contains(by, "a") || !slices.Contains(by, "b") {
			w.t.Errorf("the window was composed by %v, want a and b", by)
		}
		mu.Unlock()
		w.mustBeAccepted(0, 60*time.Second, 15*time.Second)
	})
}

// A holder that reaches only the platform goes on calling until its lease ends, and its last call is
// executed late. Its successor must wait for it where the receiver checks no tokens.
func TestSuccessorWaitsForCallsInFlight(t *testing.T) {
	for offset := time.Duration(0); offset < 3*time.Second; offset += 100 * time.Millisecond {
		inWorld(t, false, func(w *world) {
			time.Sleep(17400 * time.Millisecond)
			a := w.holder()
			w.platform.set(func(p *fakePlatform) { p.lose, p.delay = 100, 2900*time.Millisecond })
			time.Sleep(offset)
			a.set(func(p *process) { p.cut, p.storeCut = true, true })
			time.Sleep(3 * time.Second)
			w.platform.set(func(p *fakePlatform) { p.lose = 0 })
			time.Sleep(30 * time.Second)
			a.set(func(p *process) { p.cut, p.storeCut = false, false })
			time.Sleep(10 * time.Second)
			w.holder()
			w.mustBeAccepted(0, 50*time.Second, testDue+5*time.Second)
		})
	}
}

func TestStoreDownForEightSeconds(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		time.Sleep(16 * time.Second)
		for _, f := range []memstore.Faults{{Outage: true}, {Hang: true}} {
			w.store.SetFaults(f)
			time.Sleep(8 * time.Second)
			w.store.SetFaults(memstore.Faults{Delay: 20 * time.Millisecond})
			time.Sleep(17 * time.Second)
		}
		w.mustBeAccepted(0, 60*time.Second, testDue+4*time.Second)
		w.mustBeAccepted(30*time.Second, 35*time.Second, testDue)
	})
}

// The platform's API is down or throttles. The calls must stay few, and the windows of the outage are
// reported afterwards without delay to the later ones.
func TestPlatformDown(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		time.Sleep(16 * time.Second)
		w.platform.set(func(p *fakePlatform) { p.down = true })
		sent := w.holder().manager.Dump().Counts.Sent
		time.Sleep(20 * time.Second)
		if got := w.holder().manager.Dump().Counts.Sent - sent; got > 10 {
			w.t.Errorf("%d calls in 20 s without an answer", got)
		}
		w.platform.set(func(p *fakePlatform) { p.down, p.throttle = false, 2 })
		time.Sleep(30 * time.Second)
		w.mustBeAccepted(0, 60*time.Second, 30*time.Second)
		w.mustBeAccepted(35*time.Second, 60*time.Second, testDue)
	})
}

// A restarted holder is a new holder: it must not use its old token, and where tokens are not checked
// it must wait for its own earlier calls.
func TestRestartedHolder(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		for range 3 {
			time.Sleep(10 * time.Second)
			w.platform.set(func(p *fakePlatform) { p.lose, p.delay = 1, 2900*time.Millisecond })
			time.Sleep(2700 * time.Millisecond)
			w.kill(w.process("a"))
			time.Sleep(300 * time.Millisecond)
			w.run("a")
		}
		time.Sleep(20 * time.Second)
		w.mustBeAccepted(0, 50*time.Second, testDue)
	})
}

func TestBetterRankedCandidateLeavesLeaseWithHolder(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		time.Sleep(16 * time.Second)
		w.kill(w.process("a"))
		time.Sleep(15 * time.Second)
		b := w.holder()
		a := w.run("a")
		time.Sleep(30 * time.Second)
		if w.holder() != b || b.id != "b" {
			w.t.Errorf("%s holds the lease, want b", w.holder().name)
		}
		if got := a.storeCallCount(); got > 1 {
			w.t.Errorf("the returned candidate called the store %d times, want at most once", got)
		}
		w.mustBeAccepted(0, 50*time.Second, testDue)
	})
}

// At a planned stop, the next holder need not wait until the lease expires.
func TestPlannedStopReleasesLease(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		time.Sleep(16 * time.Second)
		a := w.process("a")
		a.cancel()
		time.Sleep(50 * time.Millisecond)
		w.kill(a)
		time.Sleep(2500 * time.Millisecond)
		if w.holder().id != "b" {
			w.t.Errorf("%s holds the lease, want b", w.holder().name)
		}
		time.Sleep(20 * time.Second)
		w.mustBeAccepted(0, 30*time.Second, testDue)
	})
}

// Random kills, freezes, cuts, store faults and lost answers, several at a time. The rules checked in
// check must hold, and reports must arrive again afterwards.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		inBothWorlds(t, func(w *world) {
			random := rand.New(rand.NewPCG(seed, 1))
			for time.Since(w.start) < 150*time.Second {
				time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
				w.randomFault(random)
			}
			w.store.SetFaults(memstore.Faults{Delay: 20 * time.Millisecond})
			w.platform.set(func(p *fakePlatform) { p.down, p.lose, p.throttle = false, 0, 0 })
			for _, p := range w.all() {
				p.set(func(p *process) { p.cut = false })
			}
			time.Sleep(60 * time.Second)
			w.mustBeAccepted(180*time.Second, 200*time.Second, testDue)
			if w.t.Failed() {
				w.t.Logf("seed %d", seed)
				for _, p := range w.all() {
					w.t.Logf("%s: %+v", p.name, p.manager.Dump())
				}
			}
		})
	}
}

func (w *world) randomFault(random *rand.Rand) {
	id := w.order[random.IntN(3)]
	p := w.process(id)
	switch random.IntN(8) {
	case 0:
		w.kill(p)
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		w.run(id)
	case 1, 2:
		p.set(func(p *process) {
			p.frozenUntil = time.Now().Add(time.Duration(random.IntN(12000)) * time.Millisecond)
		})
	case 3:
		p.set(func(p *process) { p.cut = !p.cut })
	case 4:
		w.store.SetFaults(memstore.Faults{Outage: random.IntN(3) == 0, Hang: random.IntN(4) == 0, Delay: time.Duration(random.IntN(200)) * time.Millisecond, LoseResponses: random.IntN(3)})
	case 5:
		w.platform.set(func(p *fakePlatform) { p.down = !p.down })
	default:
		w.platform.set(func(p *fakePlatform) {
			p.lose, p.delay, p.throttle = random.IntN(3), time.Duration(random.IntN(2900))*time.Millisecond, random.IntN(2)
		})
	}
}

// Guards against a fleet without a holder while the former one drains: it releases the lease as soon as a
// stop is requested, but answers other daemons' calls until its callers are served.
func TestDrainingHolderDoesNotDelaySuccessor(t *testing.T) {
	inBothWorlds(t, func(w *world) {
		time.Sleep(20 * time.Second)
		old := w.holder()
		old.cancel() // it still answers status queries
		time.Sleep(6 * time.Second)
		if now := w.holder(); now == old {
			t.Errorf("%s still holds the lease", now.name)
		}
		w.mu.Lock()
		delete(w.processes, old.id)
		w.mu.Unlock()
	})
}
