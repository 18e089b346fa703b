package combined

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/cluster"
)

const (
	recordInterval = 100 * time.Millisecond
	recordTimeout  = time.Second
	applyTimeout   = 10 * time.Second
)

// raceOperators lets two operators apply different documents at the same version through two
// daemons other than frozen. At most one of the documents may be accepted.
func (r *run) raceOperators(ctx context.Context, frozen *cluster.Process) error {
	source, err := r.document(plainService)
	if err != nil {
		return err
	}
	var targets []*cluster.Process
	for _, daemon := range r.daemons {
		if daemon != frozen {
			targets = append(targets, daemon)
		}
	}
	version, err := r.plainServiceVersion(ctx, targets[0])
	if err != nil {
		return err
	}
	var accepted [2]bool
	var operators sync.WaitGroup
	for i := range accepted {
		operators.Go(func() {
			revised := append(bytes.Clone(source), fmt.Sprintf("\n; race %d, operator %d\n", r.report.OperatorRaces, i)...)
			accepted[i] = putDocument(ctx, targets[i].Address, revised, version)
		})
	}
	operators.Wait()
	r.report.OperatorRaces++
	if accepted[0] && accepted[1] {
		r.addViolation("two documents were accepted at the same version %d", version)
	}
	return nil
}

func (r *run) plainServiceVersion(ctx context.Context, daemon *cluster.Process) (int64, error) {
	var documents []documentVersion
	if err := r.cluster.Get(ctx, daemon.Address, "/v1/documents", &documents); err != nil {
		return 0, err
	}
	for _, d := range documents {
		if d.Service == plainService {
			return d.Version, nil
		}
	}
	return 0, fmt.Errorf("%s has no document of %s", daemon.Name, plainService)
}

func putDocument(ctx context.Context, address string, source []byte, version int64) bool {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	url := "http://" + address + "/v1/documents/" + plainService
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(source))
	if err != nil {
		return false
	}
	request.Header.Set("If-Match", strconv.FormatInt(version, 10))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}

// documentVersion is one entry of GET /v1/documents.
type documentVersion struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
}

// recordedVersions holds what a recorder read.
type recordedVersions struct {
	read     int
	reverted []string
}

// recorder polls the document versions in force on each daemon.
type recorder struct {
	cluster *cluster.Cluster
	cancel  context.CancelFunc
	readers sync.WaitGroup

	mu     sync.Mutex
	result recordedVersions
}

func startRecorder(ctx context.Context, c *cluster.Cluster, daemons []*cluster.Process) *recorder {
	ctx, cancel := context.WithCancel(ctx)
	r := &recorder{cluster: c, cancel: cancel}
	for _, daemon := range daemons {
		name, address := daemon.Name, daemon.Address
		r.readers.Go(func() { r.checkVersions(ctx, name, address) })
	}
	return r
}

func (r *recorder) stop() recordedVersions {
	r.cancel()
	r.readers.Wait()
	return r.result
}

// checkVersions checks that the document versions of one daemon never decrease, not even over
// a restart.
func (r *recorder) checkVersions(ctx context.Context, name, address string) {
	highest := map[string]int64{}
	for sleep(ctx, recordInterval) == nil {
		var documents []documentVersion
		if r.get(ctx, address, &documents) != nil {
			continue
		}
		for _, d := range documents {
			r.record(name, d, highest[d.Service])
			highest[d.Service] = max(highest[d.Service], d.Version)
		}
	}
}

func (r *recorder) get(ctx context.Context, address string, documents *[]documentVersion) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return r.cluster.Get(ctx, address, "/v1/documents", documents)
}

func (r *recorder) record(name string, d documentVersion, highest int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.read++
	if d.Version < highest {
		r.result.reverted = append(r.result.reverted,
			fmt.Sprintf("%s: document of %s reverted from version %d to %d", name, d.Service, highest, d.Version))
	}
}
