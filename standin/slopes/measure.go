package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"
	"github.com/hornbeamtide/hornbeamtide/standin/local"
)

// daemonRates holds the rates of one daemon while the fleet is idle.
type daemonRates struct {
	collectorState
	Daemons  float64 `json:"daemons"`         // daemons in the fleet
	CPU      float64 `json:"cpu"`             // share of a core
	Memory   float64 `json:"memory"`          // resident bytes
	Bytes    float64 `json:"control_bytes_s"` // bytes per second between daemons
	Messages float64 `json:"messages_s"`      // calls per second between daemons
	Polls    float64 `json:"polls_s"`         // load polls of engines per second
	Reads    float64 `json:"reads_s"`         // platform reads per second
	Writes   float64 `json:"writes_s"`        // platform writes per second
}

// LayoutMeasurement holds the measurements of one layout.
type LayoutMeasurement struct {
	Layout
	idle []daemonRates // by daemon

	Member    daemonRates `json:"member"`    // mean of the daemons that are not collectors
	Collector daemonRates `json:"collector"` // mean of the collectors

	PlatformReads  float64      `json:"platform_reads_s"`  // per second, all daemons, while idle
	PlatformWrites float64      `json:"platform_writes_s"` // per second, all daemons, while idle
	Watches        float64      `json:"watches"`           // open watches at the platform
	PollBytes      float64      `json:"poll_bytes"`        // bytes of one load poll, both directions
	InForce        []float64    `json:"in_force_s"`        // seconds until a single change is in force on all daemons
	ChangeCost     changeCost   `json:"change"`
	Waves          []waveResult `json:"waves"`
	Work           *workCosts   `json:"work,omitempty"`
}

// changeCost is the cost of one document change in excess of the idle rates.
type changeCost struct {
	Changes             int     `json:"changes"`
	MemberCPU           float64 `json:"member_cpu_s"`
	MemberBytes         float64 `json:"member_bytes"`
	CollectorCPU        float64 `json:"collector_cpu_s"`
	CollectorBytes      float64 `json:"collector_bytes"`
	PlatformReads       float64 `json:"platform_reads"`
	PlatformWrites      float64 `json:"platform_writes"`
	DocumentBytes       int     `json:"document_bytes"`
	MembersPerCollector float64 `json:"attendees"` // members served by a collector, on average
}

const (
	settleTime    = 5 * time.Second
	idleWindow    = 6 * time.Second
	changeRate    = 10.0 // per second
	changeWindow  = 5 * time.Second
	singleChanges = 5
)

// measureLayout starts a fleet with the layout and measures it.
func measureLayout(ctx context.Context, options Options, layout Layout) (LayoutMeasurement, error) {
	m := LayoutMeasurement{Layout: layout}
	f, err := startFleet(ctx, options.DaemonPath, options.ExamplesDir, layout)
	if err != nil {
		return m, err
	}
	defer f.close()
	if err := f.applyDocuments(ctx, options.ExamplesDir); err != nil {
		return m, err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return m, err
	}
	if m.idle, err = f.measureIdle(ctx, &m); err != nil {
		return m, err
	}
	m.Member, m.Collector = meanRates(m.idle, false), meanRates(m.idle, true)
	if err := f.measureChanges(ctx, options.ExamplesDir, &m); err != nil {
		return m, err
	}
	for version := int64(2); version <= 4; version++ {
		w, err := f.publishAndWait(version)
		if err != nil {
			return m, err
		}
		m.Waves = append(m.Waves, w)
	}
	if layout.MeasureWork {
		m.Work, err = f.measureWork(ctx, m.idle)
	}
	return m, err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measureIdle returns the rates of all daemons while the fleet is idle.
func (f *fleet) measureIdle(ctx context.Context, m *LayoutMeasurement) ([]daemonRates, error) {
	calls, traffic := f.system.Platform.Calls(), f.system.Traffic()
	var callsAfter fakeplatform.CallCounts
	var trafficAfter local.Traffic
	readings, elapsed, err := measureWindow(ctx, f.cluster, f.daemons, func() {
		calls, traffic = f.system.Platform.Calls(), f.system.Traffic()
		_ = sleep(ctx, idleWindow)
		callsAfter, trafficAfter = f.system.Platform.Calls(), f.system.Traffic()
	})
	if err != nil {
		return nil, err
	}
	seconds := elapsed.Seconds()
	polls := 0.0
	var rates []daemonRates
	for _, r := range readings {
		polls += r.Polls
		rates = append(rates, daemonRates{
			collectorState: r.collectorState, Daemons: float64(f.layout.Daemons), CPU: r.CPU / seconds, Memory: r.Memory,
			Bytes: r.Bytes / seconds, Messages: r.Messages / seconds, Polls: r.Polls / seconds,
			Reads: r.Reads / seconds, Writes: r.Writes / seconds,
		})
	}
	m.PlatformReads = countReads(calls, callsAfter) / seconds
	m.PlatformWrites = float64(callsAfter.Writes-calls.Writes) / seconds
	m.Watches = float64(callsAfter.OpenWatches)
	if polls > 0 {
		m.PollBytes = float64(trafficAfter.Engines-traffic.Engines) / polls
	}
	return rates, nil
}

func countReads(before, after fakeplatform.CallCounts) float64 {
	return float64(after.Gets + after.Lists + after.Watches - before.Gets - before.Lists - before.Watches)
}

// measureChanges changes a document at a steady rate to measure the cost of a change, then
// one change at a time to measure how long it takes to be in force.
func (f *fleet) measureChanges(ctx context.Context, examplesDir string, m *LayoutMeasurement) error {
	source, err := os.ReadFile(filepath.Join(examplesDir, "documents", plainService+".ini"))
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(1, uint64(f.layout.Daemons)))
	version, err := f.plainServiceVersion(ctx, f.daemons[0])
	if err != nil {
		return err
	}
	var changeErr error
	applyChange := func() {
		revised := append(source[:len(source):len(source)], fmt.Sprintf("; revision %d\n", version)...)
		applied, err := f.changeDocument(ctx, random, revised, version)
		if err != nil {
			changeErr = err
			return
		}
		version = applied
	}
	count := int(changeRate * changeWindow.Seconds())
	calls := f.system.Platform.Calls()
	var callsAfter fakeplatform.CallCounts
	readings, elapsed, err := measureWindow(ctx, f.cluster, f.daemons, func() {
		calls = f.system.Platform.Calls()
		started := time.Now()
		for i := range count {
			time.Sleep(time.Until(started.Add(time.Duration(float64(i) / changeRate * float64(time.Second)))))
			applyChange()
		}
		time.Sleep(time.Second) // let the last changes propagate
		callsAfter = f.system.Platform.Calls()
	})
	if err != nil || changeErr != nil {
		return fmt.Errorf("changes: %w %w", err, changeErr)
	}
	m.ChangeCost = splitChangeCost(m.idle, readings, elapsed.Seconds(), count)
	m.ChangeCost.DocumentBytes = len(source)
	m.ChangeCost.PlatformReads = (countReads(calls, callsAfter) - m.PlatformReads*elapsed.Seconds()) / float64(count)
	m.ChangeCost.PlatformWrites = (float64(callsAfter.Writes-calls.Writes) - m.PlatformWrites*elapsed.Seconds()) / float64(count)
	for range singleChanges {
		if applyChange(); changeErr != nil {
			return changeErr
		}
		took, err := f.waitUntilInForce(ctx, version)
		if err != nil {
			return err
		}
		m.InForce = append(m.InForce, took.Seconds())
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

func (f *fleet) plainServiceVersion(ctx context.Context, daemon *cluster.Process) (int64, error) {
	infos, err := f.documents(ctx, daemon)
	for _, info := range infos {
		if info.Service == plainService {
			return info.Version, nil
		}
	}
	return 0, fmt.Errorf("%s has no document of %s: %w", daemon.Name, plainService, err)
}

// splitChangeCost returns the mean cost of a change for a member and for a collector, in
// excess of the idle rates.
func splitChangeCost(idle []daemonRates, readings []reading, seconds float64, changes int) changeCost {
	c := changeCost{Changes: changes}
	members, collectors := 0.0, 0.0
	for i, r := range readings {
		cpu := (r.CPU - idle[i].CPU*seconds) / float64(changes)
		bytes := (r.Bytes - idle[i].Bytes*seconds) / float64(changes)
		if r.Collecting {
			collectors++
			c.CollectorCPU += cpu
			c.CollectorBytes += bytes
			c.MembersPerCollector += r.MembersServed
			continue
		}
		members++
		c.MemberCPU += cpu
		c.MemberBytes += bytes
	}
	c.MemberCPU /= max(members, 1)
	c.MemberBytes /= max(members, 1)
	c.CollectorCPU /= max(collectors, 1)
	c.CollectorBytes /= max(collectors, 1)
	c.MembersPerCollector /= max(collectors, 1)
	return c
}
