// Package soak runs the real daemons as separate processes, injects random faults and checks
// the documented promises from the outside, as callers, trainers and replicas observe them.
// The seed determines the whole plan of faults, so that a run can be repeated.
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
	Seed          uint64
	FaultDuration time.Duration // duration of the fault phase; the checks of the recovery follow it
	Daemons       int
	Replicas      int    // per service; there are two services
	DaemonProgram string // path of the daemon's program
	KeepDir       string // folder that keeps plan and logs of failed runs; "" leaves them in a temporary folder
	Out           io.Writer
}

// Fault is one fault of a plan.
type Fault struct {
	StartOffset, Duration time.Duration
	Kind                  string
	Target                int // index of the daemon, replica or organisation; 0 if the kind has no target
}

// Kinds of faults, grouped by what they affect. A link is named by its other end: callers,
// store and peers for the links of one daemon, replica for the link from all daemons to one
// replica, cloud for the link from all daemons to the platform's API. drop-up discards the data
// sent to the server of the link, drop-down the data that it sends.
var (
	links          = []string{"callers", "store", "peers", "replica"}
	accessFaults   = []string{"operator-key", "operator-key-outage", "link-cloud-delay", "link-cloud-reset", "link-cloud-drop-up", "link-cloud-drop-down", "link-cloud-silence", "link-cloud-refuse"}
	oddFaults      = []string{"replica-endless", "store-odd-objects"}
	linkFaults     = []string{"delay", "reset", "drop-up", "drop-down", "silence", "refuse"}
	processFaults  = []string{"term", "kill", "kill-twice", "freeze", "kill-all", "roll"}
	storeFaults    = []string{"outage", "slow", "lossy", "refuse-writes", "forget", "silent-watches"}
	replicaFaults  = []string{"full", "slow", "garble", "unsigned", "truncate", "break", "lose-orders", "error", "crash", "leave", "join"}
	operatorFaults = []string{"config", "hup"}
)

// FaultKinds returns all kinds of faults.
func FaultKinds() []string { return append(append(baseFaults(), accessFaults...), oddFaults...) }

// baseFaults returns all kinds but accessFaults and oddFaults. Plans of older seeds depend on their number.
func baseFaults() []string {
	var kinds []string
	for _, link := range links {
		for _, f := range linkFaults {
			kinds = append(kinds, "link-"+link+"-"+f)
		}
	}
	for prefix, group := range map[string][]string{"process": processFaults, "store": storeFaults, "replica": replicaFaults, "operator": operatorFaults} {
		for _, f := range group {
			kinds = append(kinds, prefix+"-"+f)
		}
	}
	sort.Strings(kinds)
	return kinds
}

const (
	warmUp             = time.Second // before the first fault
	faultsPerSecond    = 1.2         // mean rate at which baseFaults begin, repeated faults not counted
	accessPerSecond    = 0.5         // mean rate at which accessFaults begin
	oddPerSecond       = 0.2         // mean rate at which oddFaults begin
	faultDurationRange = 4 * time.Second
)

// GeneratePlan generates the plan that the seed determines. Faults may overlap and repeat. The
// accessFaults and the oddFaults have their own random numbers, so that older seeds keep their other faults.
func GeneratePlan(o Options) []Fault {
	plan := generateSeries(o, rand.New(rand.NewPCG(o.Seed, 0x50a4)), baseFaults(), faultsPerSecond)
	plan = append(plan, generateSeries(o, rand.New(rand.NewPCG(o.Seed, 0x50a5)), accessFaults, accessPerSecond)...)
	plan = append(plan, generateSeries(o, rand.New(rand.NewPCG(o.Seed, 0x50a6)), oddFaults, oddPerSecond)...)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].StartOffset < plan[j].StartOffset })
	return plan
}

func generateSeries(o Options, rng *rand.Rand, kinds []string, perSecond float64) []Fault {
	var plan []Fault
	for offset := warmUp; offset < o.FaultDuration; offset += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
		f := Fault{
			StartOffset: offset.Round(time.Millisecond), Kind: kinds[rng.IntN(len(kinds))],
			Duration: (200*time.Millisecond + time.Duration(rng.Int64N(int64(faultDurationRange)))).Round(time.Millisecond),
		}
		f.Duration = min(f.Duration, o.FaultDuration-offset)
		switch {
		case strings.HasPrefix(f.Kind, "link-replica"), strings.HasPrefix(f.Kind, "replica-"):
			f.Target = rng.IntN(2 * o.Replicas)
		case strings.HasPrefix(f.Kind, "operator-key"):
			f.Target = rng.IntN(len(organisations))
		case strings.HasPrefix(f.Kind, "link-cloud-"):
		case strings.HasPrefix(f.Kind, "link-"), strings.HasPrefix(f.Kind, "process-"), f.Kind == "operator-hup":
			f.Target = rng.IntN(o.Daemons)
		}
		plan = append(plan, f)
		if rng.IntN(4) == 0 { // the same fault again within the next second
			repeated := f
			repeated.StartOffset += time.Duration(rng.Int64N(int64(time.Second))).Round(time.Millisecond)
			if repeated.StartOffset < o.FaultDuration {
				plan = append(plan, repeated)
			}
		}
	}
	return plan
}

// WritePlan writes the command that repeats the run, then the plan, one fault per line.
func WritePlan(w io.Writer, o Options, plan []Fault) {
	fmt.Fprintf(w, "soak --seed %d --for %v --daemons %d --replicas %d\n", o.Seed, o.FaultDuration, o.Daemons, o.Replicas)
	for _, f := range plan {
		fmt.Fprintf(w, "  %7.3fs for %6.3fs %s %d\n", f.StartOffset.Seconds(), f.Duration.Seconds(), f.Kind, f.Target)
	}
}
