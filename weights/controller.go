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
	leaseChecksPerDuration = 6                // checks of the lease per lease duration
	candidateCount         = 3                // daemons that may acquire a pool's lease
	newestMaxAge           = 2 * time.Second  // a daemon whose newest version was not confirmed for this long asks a candidate
	releaseTimeout         = time.Second      // release of the lease on shutdown
	stageTimeout           = 10 * time.Minute // load of one replica from the weight store
	activateTimeout        = 30 * time.Second // activation on one replica
	stragglerFactor        = 3                // a wave waits for stragglers this many times as long as half of the replicas took to stage
	suspensionInterval     = 5 * time.Second  // between two announcements of the same suspensions
)

// poolController controls one pool on this daemon. It tries to acquire the pool's lease
// if the daemon is a candidate for it, and sends stage and activate orders while the
// daemon holds it.
type poolController struct {
	manager       *Manager
	pool          string
	lease         *lease
	stop          context.CancelFunc
	checksFencing atomic.Bool
	pollNow       chan struct{} // requests a poll before the next tick

	mu                sync.Mutex
	target            int64           // version that is being rolled out
	targetSince       time.Time       // when the rollout of target started
	halfStagedAt      time.Time       // when half of the replicas had staged target, zero before that
	staging           map[string]bool // by replica
	partial           map[string]bool // replicas reported with a partial swap
	suspensionsSentAt time.Time       // last announcement of suspensions
}

func newPoolController(m *Manager, pool string) *poolController {
	return &poolController{
		manager: m,
		pool:    pool,
		pollNow: make(chan struct{}, 1),
		lease:   newLease(m.deps.ObjectStore, pool, m.deps.View.Self().ID, m.config.LeaseDuration, m.now),
		staging: map[string]bool{},
		partial: map[string]bool{},
	}
}

// run maintains the lease and polls the weight store, each on a goroutine of its own,
// until ctx ends. Then it releases the lease.
func (p *poolController) run(ctx context.Context) {
	var renewing sync.WaitGroup
	renewing.Add(1)
	go func() {
		defer renewing.Done()
		p.renewLoop(ctx)
	}()
	p.pollLoop(ctx)
	renewing.Wait()
	p.release(ctx)
}

// release releases the lease, even if ctx has ended.
func (p *poolController) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	p.lease.release(ctx)
}

func (p *poolController) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(max(p.manager.config.LeaseDuration/leaseChecksPerDuration, time.Millisecond))
	defer ticker.Stop()
	for {
		p.checkLease(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkLease acquires or renews the lease if this daemon is a candidate or holds it. A
// leaving daemon releases it.
func (p *poolController) checkLease(ctx context.Context) {
	if p.manager.deps.View.Self().Leaving {
		p.release(ctx)
		return
	}
	rank, isCandidate := p.rank()
	_, left := p.lease.remaining()
	heldBefore := left > 0
	if !isCandidate && !heldBefore {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, p.manager.config.LeaseDuration/3)
	defer cancel()
	_ = p.lease.renewOrAcquire(callCtx, rank)
	fencingToken, left := p.lease.remaining()
	heldAfter := left > 0
	if heldAfter && !heldBefore {
		p.manager.deps.Log.Log(event.WeightsLeaseTaken, event.F("pool", p.pool), event.F("fence", fencingToken))
	}
	if heldBefore && !heldAfter {
		p.manager.deps.Log.Log(event.WeightsLeaseLost, event.F("pool", p.pool))
	}
}

// rank returns this daemon's rank among the candidates for the lease and whether it is one.
func (p *poolController) rank() (int, bool) {
	self := p.manager.deps.View.Self().ID
	for i, member := range p.candidates() {
		if member.ID == self {
			return i, true
		}
	}
	return 0, false
}

func (p *poolController) candidates() []fleet.Member {
	return p.manager.deps.View.Owners("weights/"+p.pool, candidateCount)
}

func (p *poolController) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(p.manager.config.PollInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.pollNow:
		}
	}
}

// requestPoll makes pollLoop poll without waiting for the next tick.
func (p *poolController) requestPoll() {
	select {
	case p.pollNow <- struct{}{}:
	default:
	}
}

// poll reads the weight store and reconciles the pool if this daemon owns it. Otherwise
// it refreshes the newest version from the other candidates.
func (p *poolController) poll(ctx context.Context) {
	if _, left := p.permit(); left <= 0 {
		p.refreshNewest(ctx)
		return
	}
	p.checkWeightStore(ctx)
	version := p.manager.Newest(p.pool)
	if version == 0 {
		return
	}
	p.reconcile(ctx, version)
}

// permit returns the fencing token and for how long this daemon may send orders. If the
// engines check fencing tokens, the latest holder continues after its lease has expired
// until it learns of a newer holder or an engine refuses its token. New weights are thus
// rolled out during an outage of the object API.
func (p *poolController) permit() (fencingToken int64, left time.Duration) {
	fencingToken, left = p.lease.remaining()
	if left <= 0 && p.checksFencing.Load() && !p.lease.lostOrNeverHeld() {
		return fencingToken, noExpiry
	}
	return fencingToken, left
}

// refreshNewest asks the other candidates for the newest version unless it was confirmed
// within newestMaxAge.
func (p *poolController) refreshNewest(ctx context.Context) {
	if p.manager.now().Sub(p.manager.newestConfirmedAt(p.pool)) < newestMaxAge {
		return
	}
	for _, member := range p.candidates() {
		if member.ID == p.manager.deps.View.Self().ID {
			continue
		}
		version, err := p.manager.fetchNewest(ctx, member, p.pool)
		if err == nil && version > 0 {
			p.manager.setNewest(p.pool, version)
			return
		}
	}
}

// checkWeightStore reads the latest version from the weight store and announces it if it
// is newer than the known one.
func (p *poolController) checkWeightStore(ctx context.Context) {
	latest, err := p.manager.deps.WeightStore.Latest(ctx, p.pool)
	if err != nil {
		return
	}
	if !p.manager.setNewest(p.pool, latest.Version) {
		return
	}
	p.manager.deps.Log.Log(event.WeightsPublished, event.F("pool", p.pool), event.F("version", latest.Version))
	p.manager.announce(ctx, &weightspb.AnnounceRequest{Pool: p.pool, Version: latest.Version})
}

// reconcile does one step of the rollout of version: it surveys all replicas, stages the
// version where it is missing, and activates it once all reachable replicas have staged it.
func (p *poolController) reconcile(ctx context.Context, version int64) {
	p.setTarget(version)
	replicas := p.manager.deps.View.Replicas(p.pool)
	reports := p.manager.surveyAll(ctx, targetsOf(replicas))
	p.handleReports(ctx, version, reports)
	p.stageMissing(ctx, version, replicas, reports)
	targets := p.waveTargets(version, replicas, reports)
	if len(targets) == 0 {
		return
	}
	results := p.manager.activateAll(ctx, p, targets, version)
	p.handleReports(ctx, version, results)
	p.manager.deps.Log.Log(event.WeightsActivated, event.F("pool", p.pool), event.F("version", version),
		event.F("replicas", len(targets)), event.F("active", countActive(results, version)))
}

func (p *poolController) setTarget(version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target != version {
		p.target = version
		p.targetSince = p.manager.now()
		p.halfStagedAt = time.Time{}
	}
}

// waveTargets returns the replicas to activate now: all that have staged the version, once
// no reachable replica lacks it or the stragglers have timed out.
func (p *poolController) waveTargets(version int64, replicas []fleet.Replica, reports []*weightspb.ReplicaReport) []*weightspb.Target {
	targets := targetsOf(replicas)
	var staged []*weightspb.Target
	missing := 0
	for i, r := range reports {
		switch {
		case !r.Reached || r.Leaving || isActive(r, version):
		case r.Staged >= version:
			staged = append(staged, targets[i])
		default:
			missing++
		}
	}
	if p.manager.config.DisableWave || missing == 0 || p.stragglersTimedOut(len(staged), missing) {
		return staged
	}
	return nil
}

// isActive reports whether the replica runs the version or a newer one completely.
func isActive(r *weightspb.ReplicaReport, version int64) bool { return r.Whole && r.Version >= version }

// stragglersTimedOut reports whether a wave no longer waits for the replicas that have not
// staged the version.
func (p *poolController) stragglersTimedOut(staged, missing int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.manager.now()
	if p.halfStagedAt.IsZero() && staged >= missing {
		p.halfStagedAt = now
	}
	if p.halfStagedAt.IsZero() {
		return false
	}
	limit := stragglerFactor*p.halfStagedAt.Sub(p.targetSince) + 2*p.manager.config.PollInterval
	return now.Sub(p.targetSince) > limit
}

// stageMissing starts stage orders on replicas that lack version, at most
// MaxConcurrentStages concurrently.
func (p *poolController) stageMissing(ctx context.Context, version int64, replicas []fleet.Replica, reports []*weightspb.ReplicaReport) {
	targets := targetsOf(replicas)
	for i, r := range reports {
		if !r.Reached || r.Leaving || isActive(r, version) || r.Staged >= version {
			continue
		}
		if !p.tryStartStaging(r.Replica) {
			continue
		}
		go p.stageReplica(ctx, targets[i], version)
	}
}

// tryStartStaging marks the replica as staging, unless it is staging already or
// MaxConcurrentStages replicas are.
func (p *poolController) tryStartStaging(replica string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.staging[replica] || len(p.staging) >= max(1, p.manager.config.MaxConcurrentStages) {
		return false
	}
	p.staging[replica] = true
	return true
}

func (p *poolController) stageReplica(ctx context.Context, target *weightspb.Target, version int64) {
	stageCtx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	err := p.manager.stageTarget(stageCtx, target, version, p.permit)
	p.mu.Lock()
	delete(p.staging, target.Replica)
	p.mu.Unlock()
	if fault.Is(err, fault.Fenced) && fault.OutcomeOf(err) != fault.NotRun {
		p.stepDown()
		return
	}
	if err == nil {
		p.requestPoll()
	}
}

// handleReports suspends replicas with a partial swap from sample requests and steps down
// if an engine has refused the fencing token.
func (p *poolController) handleReports(ctx context.Context, version int64, reports []*weightspb.ReplicaReport) {
	for _, r := range reports {
		if r.Fenced {
			p.stepDown()
			break
		}
	}
	if suspensions := p.suspensionsToAnnounce(version, reports); len(suspensions) > 0 {
		p.manager.announce(ctx, &weightspb.AnnounceRequest{Pool: p.pool, Version: version, Suspensions: suspensions})
	}
}

// suspensionsToAnnounce returns all replicas with a partial swap if one of them is new or
// suspensionInterval has passed since the last announcement, and nil otherwise.
func (p *poolController) suspensionsToAnnounce(version int64, reports []*weightspb.ReplicaReport) []*weightspb.Suspension {
	p.mu.Lock()
	defer p.mu.Unlock()
	var suspensions []*weightspb.Suspension
	hasNew := false
	for _, r := range reports {
		if !r.Reached {
			continue
		}
		if r.Whole {
			delete(p.partial, r.Replica)
			continue
		}
		suspensions = append(suspensions, &weightspb.Suspension{Replica: r.Replica, Min: version})
		if !p.partial[r.Replica] {
			hasNew = true
			p.partial[r.Replica] = true
			p.manager.counters.partial.Add(1)
			p.manager.deps.Log.Log(event.WeightsReplicaPartial, event.F("pool", p.pool), event.F("replica", r.Replica), event.F("version", version))
		}
	}
	if !hasNew && p.manager.now().Sub(p.suspensionsSentAt) < suspensionInterval {
		return nil
	}
	p.suspensionsSentAt = p.manager.now()
	return suspensions
}

// stepDown marks the lease as lost after an engine has refused the fencing token.
func (p *poolController) stepDown() {
	p.manager.counters.fenced.Add(1)
	p.manager.deps.Log.Log(event.WeightsOrderFenced, event.F("pool", p.pool))
	p.lease.markLost()
}

func (p *poolController) state() PoolState {
	fencingToken, left := p.lease.remaining()
	s := PoolState{Pool: p.pool, Newest: p.manager.Newest(p.pool), IsOwner: left > 0, FencingToken: fencingToken, Remaining: left.String()}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Staging = sortedKeys(p.staging)
	s.Partial = sortedKeys(p.partial)
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
