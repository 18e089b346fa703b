// Package soak runs the real programs as separate processes beside random faults and checks
// from outside, as callers, trainers and replicas see it, that the promises hold. The seed
// decides the whole plan of faults, so that it can be played again.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Options configure a run.
type Options struct {
	Seed     uint64
	For      time.Duration // of the faults; checks of what must come back follow
	Daemons  int
	Replicas int    // of each of the two services
	Program  string // the daemon's program
	Dir      string // where the folder of a failed run is kept
	Out      io.Writer
}

// Fault is one fault of a plan.
type Fault struct {
	At, For time.Duration
	Kind    string
	Target  int // number of the daemon or replica; 0 where there is none
}

// Kinds of faults by what they hit. Links are named by the two ends.
var (
	links       = []string{"callers", "store", "peers", "replica"}
	linkFaults  = []string{"delay", "reset", "drop-up", "drop-down", "silence", "refuse"}
	processes   = []string{"term", "kill", "kill-twice", "freeze", "kill-all", "roll"}
	storeFaults = []string{"outage", "slow", "lossy", "refuse-writes", "forget", "silent-watches"}
	replicas    = []string{"full", "slow", "garble", "unsigned", "truncate", "break", "lose-orders", "error", "crash", "leave", "join"}
	operator    = []string{"config", "hup"}
)

// Kinds returns all kinds of faults.
func Kinds() []string {
	var kinds []string
	for _, link := range links {
		for _, f := range linkFaults {
			kinds = append(kinds, "link-"+link+"-"+f)
		}
	}
	for prefix, group := range map[string][]string{"process": processes, "store": storeFaults, "replica": replicas, "operator": operator} {
		for _, f := range group {
			kinds = append(kinds, prefix+"-"+f)
		}
	}
	sort.Strings(kinds)
	return kinds
}

const (
	// warmUp is before the first fault, perSecond how many faults begin, on average.
	warmUp    = time.Second
	perSecond = 1.2
	longest   = 4 * time.Second
)

// Draw returns the plan of a seed: faults in series, overlapping and repeated.
func Draw(o Options) []Fault {
	random := rand.New(rand.NewPCG(o.Seed, 0x50a4))
	kinds := Kinds()
	var plan []Fault
	for at := warmUp; at < o.For; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		f := Fault{
			At: at.Round(time.Millisecond), Kind: kinds[random.IntN(len(kinds))],
			For: (200*time.Millisecond + time.Duration(random.Int64N(int64(longest)))).Round(time.Millisecond),
		}
		f.For = min(f.For, o.For-at)
		switch {
		case strings.HasPrefix(f.Kind, "link-replica"), strings.HasPrefix(f.Kind, "replica-"):
			f.Target = random.IntN(2 * o.Replicas)
		case strings.HasPrefix(f.Kind, "link-"), strings.HasPrefix(f.Kind, "process-"), f.Kind == "operator-hup":
			f.Target = random.IntN(o.Daemons)
		}
		plan = append(plan, f)
		if random.IntN(4) == 0 { // the same again, or something at the same moment
			again := f
			again.At += time.Duration(random.Int64N(int64(time.Second))).Round(time.Millisecond)
			if again.At < o.For {
				plan = append(plan, again)
			}
		}
	}
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	return plan
}

// Print writes a plan, one fault a line.
func Print(w io.Writer, o Options, plan []Fault) {
	fmt.Fprintf(w, "soak --seed %d --for %v --daemons %d --replicas %d\n", o.Seed, o.For, o.Daemons, o.Replicas)
	for _, f := range plan {
		fmt.Fprintf(w, "  %7.3fs for %6.3fs %s %d\n", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Target)
	}
}
