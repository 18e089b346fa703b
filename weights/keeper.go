package weights

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/weights/weightspb"
)

const (
	candidates      = 3                // daemons that try to take a pool's lease
	newsInterval    = 2 * time.Second  // a daemon without news for this long asks a candidate
	releaseTimeout  = time.Second      // for giving up the lease at a stop
	stageTimeout    = 10 * time.Minute // one replica's load from the weight store
	activateTimeout = 30 * time.Second // one replica's switch
	partialRetries  = 2                // polls that a missing replica may hold up a wave
)

// keeper is this daemon's part in one pool: candidate for its lease and, while it
// holds it, the one that orders swaps.
type keeper struct {
	m             *Manager
	pool          string
	lease         *lease
	stop          context.CancelFunc
	checksFencing atomic.Bool

	mu      sync.Mutex
	target  int64           // version that the pool is being brought to
	waves   int             // polls since target was seen whose stages were not complete
	staging map[string]bool // by replica
	partial map[string]bool // replicas reported as not whole
}

func newKeeper(m *Manager, pool string) *keeper {
	return &keeper{
		m:       m,
		pool:    pool,
		lease:   newLease(m.parts.Store, pool, m.parts.View.Self().ID, m.config.Lease, m.now),
		staging: map[string]bool{},
		partial: map[string]bool{},
	}
}

// run renews the lease on one goroutine and works on another until ctx ends.
func (k *keeper) run(ctx context.Context) {
	var renewing sync.WaitGroup
	renewing.Add(1)
	go func() {
		defer renewing.Done()
		k.renewLoop(ctx)
	}()
	k.workLoop(ctx)
	renewing.Wait()
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	k.lease.release(releaseCtx)
}

func (k *keeper) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(max(k.m.config.Lease/10, time.Millisecond))
	defer ticker.Stop()
	for {
		k.tickLease(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tickLease takes or renews the lease if this daemon is a candidate or holds it.
func (k *keeper) tickLease(ctx context.Context) {
	rank, ok := k.rank()
	_, left := k.lease.remaining()
	before := left > 0
	if !ok && !before {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.m.config.Lease)
	defer cancel()
	_ = k.lease.tick(callCtx, rank)
	fence, left := k.lease.remaining()
	after := left > 0
	if after && !before {
		k.m.parts.Log.Log(event.WeightsLeaseTaken, event.F("pool", k.pool), event.F("fence", fence))
	}
	if before && !after {
		k.m.parts.Log.Log(event.WeightsLeaseLost, event.F("pool", k.pool))
	}
}

// rank returns this daemon's place among the candidates for the lease.
func (k *keeper) rank() (int, bool) {
	self := k.m.parts.View.Self().ID
	for i, member := range k.candidates() {
		if member.ID == self {
			return i, true
		}
	}
	return 0, false
}

func (k *keeper) candidates() []fleet.Member {
	return k.m.parts.View.Owners("weights/"+k.pool, candidates)
}

func (k *keeper) workLoop(ctx context.Context) {
	ticker := time.NewTicker(k.m.config.PollInterval)
	defer ticker.Stop()
	for {
		k.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll does one round: as keeper of the pool or as one who asks the keeper.
func (k *keeper) poll(ctx context.Context) {
	if _, left := k.may(); left <= 0 {
		k.askNews(ctx)
		return
	}
	k.readStore(ctx)
	version := k.m.Newest(k.pool)
	if version == 0 {
		return
	}
	k.bring(ctx, version)
}

// may is the permit for orders of this keeper. On engines that check fencing numbers
// the latest holder goes on after its lease ran out, until a newer one is known or an
// engine refuses its number: that carries new weights through an outage of the object API.
func (k *keeper) may() (fence int64, left time.Duration) {
	fence, left = k.lease.remaining()
	if left <= 0 && k.checksFencing.Load() && !k.lease.superseded() {
		return fence, endless
	}
	return fence, left
}

// askNews asks the other candidates for the newest version if nothing was heard lately.
func (k *keeper) askNews(ctx context.Context) {
	if k.m.now().Sub(k.m.heardAt(k.pool)) < newsInterval {
		return
	}
	for _, member := range k.candidates() {
		if member.ID == k.m.parts.View.Self().ID {
			continue
		}
		version, err := k.m.askNewest(ctx, member, k.pool)
		if err == nil && version > 0 {
			k.m.setNewest(k.pool, version)
			return
		}
	}
}

// readStore reads the weight store and announces a newer version.
func (k *keeper) readStore(ctx context.Context) {
	latest, err := k.m.parts.Weights.Latest(ctx, k.pool)
	if err != nil {
		return
	}
	if !k.m.setNewest(k.pool, latest.Version) {
		return
	}
	k.m.parts.Log.Log(event.WeightsPublished, event.F("pool", k.pool), event.F("version", latest.Version))
	k.m.announce(ctx, &weightspb.AnnounceRequest{Pool: k.pool, Version: latest.Version})
}

// bring takes the pool towards version: reads all replicas, stages where it is missing
// and activates once all reachable replicas have it staged.
func (k *keeper) bring(ctx context.Context, version int64) {
	k.setTarget(version)
	replicas := k.m.parts.View.Replicas(k.pool)
	reports := k.m.surveyAll(ctx, targetsOf(replicas))
	k.takeReports(ctx, version, reports)
	k.stageMissing(ctx, version, replicas, reports)
	wave := k.wave(version, replicas, reports)
	if len(wave) == 0 {
		return
	}
	results := k.m.activateAll(ctx, k, wave, version)
	k.takeReports(ctx, version, results)
	k.m.parts.Log.Log(event.WeightsActivated, event.F("pool", k.pool), event.F("version", version),
		event.F("replicas", len(wave)), event.F("active", countActive(results, version)))
}

func (k *keeper) setTarget(version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.target != version {
		k.target = version
		k.waves = 0
	}
}

// wave returns the replicas to activate now: none while a reachable replica still
// stages for the first wave, later every replica that has the version staged.
func (k *keeper) wave(version int64, replicas []fleet.Replica, reports []*weightspb.ReplicaReport) []*weightspb.Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ready []*weightspb.Target
	missing := 0
	targets := targetsOf(replicas)
	for i, r := range reports {
		switch {
		case !r.Reached || r.Leaving || (r.Whole && r.Version >= version):
		case r.Staged >= version || !r.Whole:
			ready = append(ready, targets[i])
		default:
			missing++
		}
	}
	if missing > 0 && len(k.staging) == 0 {
		k.waves++
	}
	if missing > 0 && k.waves <= partialRetries && !k.m.config.DisableEarlyStage {
		return nil
	}
	return ready
}

// stageMissing starts stage orders on replicas that lack version, StageAtOnce at a time.
func (k *keeper) stageMissing(ctx context.Context, version int64, replicas []fleet.Replica, reports []*weightspb.ReplicaReport) {
	targets := targetsOf(replicas)
	for i, r := range reports {
		if !r.Reached || r.Leaving || r.Version >= version || r.Staged >= version {
			continue
		}
		if !k.startStaging(r.Replica) {
			continue
		}
		go k.stageOne(ctx, targets[i], version)
	}
}

func (k *keeper) startStaging(replica string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.staging[replica] || len(k.staging) >= max(1, k.m.config.StageAtOnce) {
		return false
	}
	k.staging[replica] = true
	return true
}

func (k *keeper) stageOne(ctx context.Context, t *weightspb.Target, version int64) {
	stageCtx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	err := k.m.stageTarget(stageCtx, t, version, k.may)
	k.mu.Lock()
	delete(k.staging, t.Replica)
	k.mu.Unlock()
	if fault.Is(err, fault.Fenced) && fault.OutcomeOf(err) != fault.NotRun {
		k.stepDown()
		return
	}
	if err == nil && ctx.Err() == nil {
		k.stageNext(ctx, version)
	}
}

// stageNext starts the next stage order without waiting for the next poll.
func (k *keeper) stageNext(ctx context.Context, version int64) {
	if k.m.Newest(k.pool) != version {
		return
	}
	replicas := k.m.parts.View.Replicas(k.pool)
	reports := k.m.surveyAll(ctx, targetsOf(replicas))
	k.stageMissing(ctx, version, replicas, reports)
}

// takeReports keeps replicas with an incomplete swap out of sample work and steps
// down when an engine refused the fencing number.
func (k *keeper) takeReports(ctx context.Context, version int64, reports []*weightspb.ReplicaReport) {
	var suspensions []*weightspb.Suspension
	fenced := false
	k.mu.Lock()
	for _, r := range reports {
		fenced = fenced || r.Fenced
		if !r.Reached {
			continue
		}
		if r.Whole {
			delete(k.partial, r.Replica)
			continue
		}
		suspensions = append(suspensions, &weightspb.Suspension{Replica: r.Replica, Min: version})
		if !k.partial[r.Replica] {
			k.partial[r.Replica] = true
			k.m.counters.partial.Add(1)
			k.m.parts.Log.Log(event.WeightsReplicaPartial, event.F("pool", k.pool), event.F("replica", r.Replica), event.F("version", version))
		}
	}
	k.mu.Unlock()
	if fenced {
		k.stepDown()
	}
	if len(suspensions) > 0 {
		k.m.announce(ctx, &weightspb.AnnounceRequest{Pool: k.pool, Version: version, Suspensions: suspensions})
	}
}

// stepDown gives up the lease after an engine refused the fencing number.
func (k *keeper) stepDown() {
	k.m.counters.fenced.Add(1)
	k.m.parts.Log.Log(event.WeightsFenced, event.F("pool", k.pool))
	k.lease.drop()
}

func (k *keeper) state() PoolState {
	fence, left := k.lease.remaining()
	s := PoolState{Pool: k.pool, Newest: k.m.Newest(k.pool), Keeper: left > 0, Fence: fence, Remaining: left.String()}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.Staging = sortedKeys(k.staging)
	s.Partial = sortedKeys(k.partial)
	return s
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
