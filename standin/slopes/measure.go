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

// member are the rates of one daemon while nobody works.
type member struct {
	role
	Daemons  float64 `json:"daemons"`         // in the fleet
	CPU      float64 `json:"cpu"`             // share of a core
	Memory   float64 `json:"memory"`          // bytes
	Bytes    float64 `json:"control_bytes_s"` //
	Messages float64 `json:"messages_s"`      //
	Polls    float64 `json:"polls_s"`         //
	Reads    float64 `json:"reads_s"`         // of the platform
	Writes   float64 `json:"writes_s"`        // to the platform
}

// Measured is what one layout gave.
type Measured struct {
	Layout
	idle []member // one a daemon

	Member    member `json:"member"`    // mean of those that do not collect
	Collector member `json:"collector"` // mean of those that collect

	PlatformReads  float64   `json:"platform_reads_s"`  // idle, all daemons
	PlatformWrites float64   `json:"platform_writes_s"` //
	Watches        float64   `json:"watches"`           // waiting
	PollBytes      float64   `json:"poll_bytes"`        // of one poll, both directions
	InForce        []float64 `json:"in_force_s"`        // of single changes, all daemons
	Changes        change    `json:"change"`
	Waves          []waves   `json:"waves"`
	Work           *work     `json:"work,omitempty"`
}

// change is what one document change costs beside the idle rates.
type change struct {
	Changes         int     `json:"changes"`
	MemberCPU       float64 `json:"member_cpu_s"`
	MemberBytes     float64 `json:"member_bytes"`
	CollectorCPU    float64 `json:"collector_cpu_s"`
	CollectorBytes  float64 `json:"collector_bytes"`
	PlatformReads   float64 `json:"platform_reads"`
	PlatformWrites  float64 `json:"platform_writes"`
	DocumentBytes   int     `json:"document_bytes"`
	AttendeesServed float64 `json:"attendees"` // mean of a collector
}

const (
	settleTime    = 5 * time.Second
	idleWindow    = 6 * time.Second
	changeRate    = 10.0
	changeWindow  = 5 * time.Second
	singleChanges = 5
)

// measure runs one layout.
func measure(ctx context.Context, options Options, layout Layout) (Measured, error) {
	m := Measured{Layout: layout}
	f, err := startFleet(ctx, options.Daemon, options.Examples, layout)
	if err != nil {
		return m, err
	}
	defer f.close()
	if err := f.applyDocuments(ctx, options.Examples); err != nil {
		return m, err
	}
	if err := pause(ctx, settleTime); err != nil {
		return m, err
	}
	if m.idle, err = f.idleRates(ctx, &m); err != nil {
		return m, err
	}
	m.Member, m.Collector = means(m.idle, false), means(m.idle, true)
	if err := f.measureChanges(ctx, options.Examples, &m); err != nil {
		return m, err
	}
	for version := int64(2); version <= 4; version++ {
		w, err := f.publish(version)
		if err != nil {
			return m, err
		}
		m.Waves = append(m.Waves, w)
	}
	if layout.Work {
		m.Work, err = f.measureWork(ctx, m.idle)
	}
	return m, err
}

// pause waits, or returns early with an error when ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// idleRates measures all daemons while nobody works.
func (f *fleet) idleRates(ctx context.Context, m *Measured) ([]member, error) {
	calls, traffic := f.system.Platform.Calls(), f.system.Traffic()
	var callsAfter fakeplatform.Calls
	var trafficAfter local.Traffic
	readings, elapsed, err := window(ctx, f.cluster, f.daemons, func() {
		calls, traffic = f.system.Platform.Calls(), f.system.Traffic()
		_ = pause(ctx, idleWindow)
		callsAfter, trafficAfter = f.system.Platform.Calls(), f.system.Traffic()
	})
	if err != nil {
		return nil, err
	}
	seconds := elapsed.Seconds()
	polls := 0.0
	var members []member
	for _, r := range readings {
		polls += r.Polls
		members = append(members, member{
			role: r.role, Daemons: float64(f.layout.Daemons), CPU: r.CPU / seconds, Memory: r.Memory,
			Bytes: r.Bytes / seconds, Messages: r.Messages / seconds, Polls: r.Polls / seconds,
			Reads: r.Reads / seconds, Writes: r.Writes / seconds,
		})
	}
	m.PlatformReads = reads(calls, callsAfter) / seconds
	m.PlatformWrites = float64(callsAfter.Writes-calls.Writes) / seconds
	m.Watches = float64(callsAfter.Waiting)
	if polls > 0 {
		m.PollBytes = float64(trafficAfter.Engines-traffic.Engines) / polls
	}
	return members, nil
}

func reads(before, after fakeplatform.Calls) float64 {
	return float64(after.Gets + after.Lists + after.Watches - before.Gets - before.Lists - before.Watches)
}

// measureChanges changes a document at a steady rate, then singly.
func (f *fleet) measureChanges(ctx context.Context, examples string, m *Measured) error {
	source, err := os.ReadFile(filepath.Join(examples, "documents", plainService+".ini"))
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(1, uint64(f.layout.Daemons)))
	version, err := f.version(ctx, f.daemons[0])
	if err != nil {
		return err
	}
	var failure error
	next := func() {
		revised := append(source[:len(source):len(source)], fmt.Sprintf("; revision %d\n", version)...)
		applied, err := f.changeDocument(ctx, random, revised, version)
		if err != nil {
			failure = err
			return
		}
		version = applied
	}
	count := int(changeRate * changeWindow.Seconds())
	calls := f.system.Platform.Calls()
	var callsAfter fakeplatform.Calls
	readings, elapsed, err := window(ctx, f.cluster, f.daemons, func() {
		calls = f.system.Platform.Calls()
		started := time.Now()
		for i := range count {
			time.Sleep(time.Until(started.Add(time.Duration(float64(i) / changeRate * float64(time.Second)))))
			next()
		}
		time.Sleep(time.Second) // the last ones spread
		callsAfter = f.system.Platform.Calls()
	})
	if err != nil || failure != nil {
		return fmt.Errorf("changes: %w %w", err, failure)
	}
	m.Changes = changeCost(m.idle, readings, elapsed.Seconds(), count)
	m.Changes.DocumentBytes = len(source)
	m.Changes.PlatformReads = (reads(calls, callsAfter) - m.PlatformReads*elapsed.Seconds()) / float64(count)
	m.Changes.PlatformWrites = (float64(callsAfter.Writes-calls.Writes) - m.PlatformWrites*elapsed.Seconds()) / float64(count)
	for range singleChanges {
		if next(); failure != nil {
			return failure
		}
		took, err := f.waitInForce(ctx, version)
		if err != nil {
			return err
		}
		m.InForce = append(m.InForce, took.Seconds())
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

func (f *fleet) version(ctx context.Context, daemon *cluster.Process) (int64, error) {
	infos, err := f.documents(ctx, daemon)
	for _, info := range infos {
		if info.Service == plainService {
			return info.Version, nil
		}
	}
	return 0, fmt.Errorf("%s has no document of %s: %w", daemon.Name, plainService, err)
}

// changeCost splits the cost of changes beside the idle rates between members and
// collectors.
func changeCost(idle []member, readings []reading, seconds float64, changes int) change {
	c := change{Changes: changes}
	members, collectors := 0.0, 0.0
	for i, r := range readings {
		cpu := (r.CPU - idle[i].CPU*seconds) / float64(changes)
		bytes := (r.Bytes - idle[i].Bytes*seconds) / float64(changes)
		if r.Collecting {
			collectors++
			c.CollectorCPU += cpu
			c.CollectorBytes += bytes
			c.AttendeesServed += r.Attendees
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
	c.AttendeesServed /= max(collectors, 1)
	return c
}
