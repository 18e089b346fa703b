package slopes

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeplain"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeweights"
	"github.com/hornbeamtide/hornbeamtide/standin/local"
)

// Layout is the size and configuration of one measured fleet.
type Layout struct {
	Daemons     int  `json:"daemons"`
	Domains     int  `json:"domains"`
	Replicas    int  `json:"replicas"`
	MeasureWork bool `json:"work"` // also measure requests, claims and steps
	// MaxProcs is the GOMAXPROCS value of each daemon; zero means all processors of the
	// machine. A fleet with zero is shown for comparison and left out of the fitted lines.
	MaxProcs int `json:"processors"`
	// PollInterval is the poll_interval of the daemons; zero means their default. A layout with a
	// different interval lets the fit separate the cost of polls from the other costs.
	PollInterval time.Duration `json:"poll_ns"`
}

const (
	region                 = "pk-south"
	modelService           = "draftpool"
	plainService           = "ledgerdesk"
	concurrentStarts       = 16
	engineMaxBatch         = 256
	engineTokenTime        = 200 * time.Microsecond
	engineExtraRequestTime = time.Microsecond
	engineMedianTokens     = 1 << 20 // large enough that completions have the length that the request asks for
)

// fleet is one running layout. Each daemon is a separate process, so that its processor time
// and memory can be read; the fake engines, plain services and platform run in this process.
type fleet struct {
	layout  Layout
	system  *local.System
	cluster *cluster.Cluster
	daemons []*cluster.Process
}

func startFleet(ctx context.Context, daemonPath, examplesDir string, layout Layout) (*fleet, error) {
	system, err := local.New(fakeweights.Config{LoadTime: 20 * time.Millisecond, LoadSlots: 8}, io.Discard)
	if err != nil {
		return nil, err
	}
	processes, err := cluster.New(daemonPath, "")
	if err != nil {
		system.Close()
		return nil, err
	}
	processes.UsePlatform(system.PlatformAddress(), system.WeightAddress())
	if layout.MaxProcs > 0 {
		processes.ExtraEnv = []string{fmt.Sprintf("GOMAXPROCS=%d", layout.MaxProcs)}
	}
	f := &fleet{layout: layout, system: system, cluster: processes}
	if err := f.start(ctx); err != nil {
		f.cluster.PrintLogs(os.Stderr, 5)
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fleet) close() {
	f.cluster.Close(false)
	f.system.Close()
}

func (f *fleet) start(ctx context.Context) error {
	f.system.Weights.Publish(modelService, 1)
	for i := range f.layout.Replicas {
		config := fakeengine.Config{
			ID: fmt.Sprintf("engine-%03d", i), Pool: modelService, Version: 1, MaxBatch: engineMaxBatch,
			TokenTime: engineTokenTime, ExtraRequestTime: engineExtraRequestTime, PrefillTime: time.Microsecond, MedianTokens: engineMedianTokens,
		}
		if _, err := f.system.StartEngine(config, local.Location(f.location(i))); err != nil {
			return err
		}
	}
	for i := range 3 {
		config := fakeplain.Config{ID: fmt.Sprintf("plain-%d", i), ServiceTime: time.Millisecond}
		if _, err := f.system.StartPlainService(config, plainService, local.Location(f.location(i))); err != nil {
			return err
		}
	}
	f.daemons = make([]*cluster.Process, f.layout.Daemons)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrentStarts)
	for i := range f.daemons {
		group.Go(func() error {
			daemon := cluster.DaemonConfig{ID: fmt.Sprintf("daemon-%03d", i), Location: f.location(i), Settings: f.layout.settings()}
			var err error
			f.daemons[i], err = f.cluster.StartDaemon(ctx, daemon)
			return err
		})
	}
	return group.Wait()
}

// settings returns additional sections of a daemon's settings file.
func (l Layout) settings() string {
	text := "[log]\nlevel = error\n"
	if l.PollInterval > 0 {
		text += fmt.Sprintf("[backends]\npoll_interval = %s\n", l.PollInterval)
	}
	return text
}

func (f *fleet) location(i int) cluster.Location {
	return cluster.Location{Region: region, FailureDomain: fmt.Sprintf("domain-%d", i%f.layout.Domains)}
}

// applyDocuments puts the documents of both services in force and waits until every daemon
// has them.
func (f *fleet) applyDocuments(ctx context.Context, examplesDir string) error {
	for _, service := range []string{modelService, plainService} {
		source, err := os.ReadFile(filepath.Join(examplesDir, "documents", service+".ini"))
		if err != nil {
			return err
		}
		f.system.Apply(service, source)
	}
	for _, daemon := range f.daemons {
		err := f.cluster.WaitFor(ctx, daemon.Name+" has both documents", func() bool {
			infos, err := f.documents(ctx, daemon)
			return err == nil && len(infos) == 2
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// documentInfo is one entry of GET /v1/documents.
type documentInfo struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
}

func (f *fleet) documents(ctx context.Context, daemon *cluster.Process) ([]documentInfo, error) {
	var infos []documentInfo
	err := f.cluster.Get(ctx, daemon.Address, "/v1/documents", &infos)
	return infos, err
}

func (f *fleet) addresses() []string {
	var addresses []string
	for _, daemon := range f.daemons {
		addresses = append(addresses, daemon.Address)
	}
	return addresses
}
