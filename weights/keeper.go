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
	leaseTicks      = 6                // looks at the lease during its validity
	candidates      = 3                // daemons that try to take a pool's lease
	newsInterval    = 2 * time.Second  // a daemon without news for this long asks a candidate
	releaseTimeout  = time.Second      // for giving up the lease at a stop
	stageTimeout    = 10 * time.Minute // one replica's load from the weight store
	activateTimeout = 30 * time.Second // one replica's switch
	laggardFactor   = 3                // a wave waits this many times as long as half of the replicas took to stage
	reminders       = 5 * time.Second  // between two announcements of the same suspensions
)

// keeper is this daemon's part in one pool: candidate for its lease and, while it
// holds it, the one that orders swaps.
type keeper struct {
	m             *Manager
	pool          string
	lease         *lease
	stop          context.CancelFunc
	checksFencing atomic.Bool
	wake          chan struct{} // asks for a round before the next poll

	mu       sync.Mutex
	target   int64           // version that the pool is being brought to
	since    time.Time       // when it was first seen
	half     time.Time       // when half of the replicas had it staged, zero before
	staging  map[string]bool // by replica
	partial  map[string]bool // replicas reported as not whole
	reminded time.Time       // last announcement of them
}

func newKeeper(m *Manager, pool string) *keeper {
	return &keeper{
		m:       m,
		pool:    pool,
		wake:    make(chan struct{}, 1),
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
	k.release(ctx)
}

// release frees the lease for another daemon, also after ctx ended.
func (k *keeper) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	k.lease.release(ctx)
}

func (k *keeper) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(max(k.m.config.Lease/leaseTicks, time.Millisecond))
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
	if k.m.parts.View.Self().Leaving {
		k.release(ctx)
		return
	}
	rank, ok := k.rank()
	_, left := k.lease.remaining()
	before := left > 0
	if !ok && !before {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, k.m.config.Lease/3)
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
		case <-k.wake:
		}
	}
}

// wakeNow has the next round begin at once.
func (k *keeper) wakeNow() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// poll does one round: as keeper of the pool or as one who asks the keeper.
func (k *keeper) poll(ctx context.Context) {
	if _, left := k.permit(); left <= 0 {
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

// permit is the right of this keeper to send orders. On engines that check fencing numbers
// the latest holder goes on after its lease ran out, until a newer one is known or an
// engine refuses its number: that carries new weights through an outage of the object API.
func (k *keeper) permit() (fence int64, left time.Duration) {
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
		k.since = k.m.now()
		k.half = time.Time{}
	}
}

// wave returns the replicas to activate now: all that have the version staged, once no
// reachable one is without it or the laggards had their time.
func (k *keeper) wave(version int64, replicas []fleet.Replica, reports []*weightspb.ReplicaReport) []*weightspb.Target {
	targets := targetsOf(replicas)
	var staged []*weightspb.Target
	missing := 0
	for i, r := range reports {
		switch {
		case !r.Reached || r.Leaving || current(r, version):
		case r.Staged >= version:
			staged = append(staged, targets[i])
		default:
			missing++
		}
	}
	if k.m.config.DisableEarlyStage || missing == 0 || k.laggardsHadTime(len(staged), missing) {
		return staged
	}
	return nil
}

// current reports whether the replica runs the version, or a newer one, whole.
func current(r *weightspb.ReplicaReport, version int64) bool { return r.Whole && r.Version >= version }

// laggardsHadTime reports whether a wave no longer waits for the missing replicas.
func (k *keeper) laggardsHadTime(staged, missing int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.m.now()
	if k.half.IsZero() && staged >= missing {
		k.half = now
	}
	if k.half.IsZero() {
		return false
	}
	limit := laggardFactor*k.half.Sub(k.since) + 2*k.m.config.PollInterval
	return now.Sub(k.since) > limit
}

// stageMissing starts stage orders on replicas that lack version, StageAtOnce at a time.
func (k *keeper) stageMissing(ctx context.Context, version int64, replicas []fleet.Replica, reports []*weightspb.ReplicaReport) {
	targets := targetsOf(replicas)
	for i, r := range reports {
		if !r.Reached || r.Leaving || current(r, version) || r.Staged >= version {
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
	err := k.m.stageTarget(stageCtx, t, version, k.permit)
	k.mu.Lock()
	delete(k.staging, t.Replica)
	k.mu.Unlock()
	if fault.Is(err, fault.Fenced) && fault.OutcomeOf(err) != fault.NotRun {
		k.stepDown()
		return
	}
	if err == nil {
		k.wakeNow()
	}
}

// takeReports keeps replicas with an incomplete swap out of sample work and steps
// down when an engine refused the fencing number.
func (k *keeper) takeReports(ctx context.Context, version int64, reports []*weightspb.ReplicaReport) {
	for _, r := range reports {
		if r.Fenced {
			k.stepDown()
			break
		}
	}
	if suspensions := k.suspensions(version, reports); len(suspensions) > 0 {
		k.m.announce(ctx, &weightspb.AnnounceRequest{Pool: k.pool, Version: version, Suspensions: suspensions})
	}
}

// suspensions returns the replicas to announce as out of sample work: all incomplete
// ones when there is a new one among them or it is time for a reminder.
func (k *keeper) suspensions(version int64, reports []*weightspb.ReplicaReport) []*weightspb.Suspension {
	k.mu.Lock()
	defer k.mu.Unlock()
	var found []*weightspb.Suspension
	news := false
	for _, r := range reports {
		if !r.Reached {
			continue
		}
		if r.Whole {
			delete(k.partial, r.Replica)
			continue
		}
		found = append(found, &weightspb.Suspension{Replica: r.Replica, Min: version})
		if !k.partial[r.Replica] {
			news = true
			k.partial[r.Replica] = true
			k.m.counters.partial.Add(1)
			k.m.parts.Log.Log(event.WeightsReplicaPartial, event.F("pool", k.pool), event.F("replica", r.Replica), event.F("version", version))
		}
	}
	if !news && k.m.now().Sub(k.reminded) < reminders {
		return nil
	}
	k.reminded = k.m.now()
	return found
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
