package slopes

// The target size.
const (
	targetDaemons   = 360.0
	targetDomains   = 6.0
	targetRegions   = 2.0
	targetReplicas  = 770.0
	targetPools     = 7.0      // one a trainer
	targetRequests  = 1800.0   // a second
	targetTokens    = 570000.0 // a second
	targetTrainers  = 7.0
	targetSamples   = 1024.0 // a step
	targetStepTime  = 2400.0 // seconds
	targetChanges   = 3200.0 // a day
	targetWeights   = 2280.0 // seconds between two versions of a pool
	targetClaimRate = 0.1    // share of the requests that are non-idempotent with a key
	claimShards     = 64.0

	collectorsADomain = 2.0
	subset            = 24.0 // replicas of a pool that a daemon polls
	daySeconds        = 86400.0
)

// The limits.
const (
	limitCPU     = 0.024  // of a core, a daemon
	limitMemory  = 64e6   // bytes, a daemon
	limitBytes   = 24e3   // control bytes a second, a daemon
	limitWrites  = 300.0  // a second, "several hundred"
	limitReads   = 2000.0 // a second
	limitWave    = 5.0    // seconds, weights on all replicas
	limitInForce = 10.0   // seconds, a change on all daemons
)

// load is what a role costs one daemon.
type load struct {
	cpu      float64 // share of a core
	bytes    float64 // control bytes a second
	messages float64 // control messages a second
	memory   float64 // bytes
}

func (l load) plus(other load) load {
	return load{l.cpu + other.cpu, l.bytes + other.bytes, l.messages + other.messages, l.memory + other.memory}
}

// target works out the roles at the target size.
type target struct {
	r          Results
	pollFactor float64 // on the measured rate of load polls
}

func (target) collectors() float64 { return collectorsADomain * targetDomains }

func (t target) attendees() float64 {
	return (targetDaemons - t.collectors()) / t.collectors()
}

// polled is the replicas that one daemon polls: a subset of each pool of its region.
func (target) polled() float64 {
	return subset * targetPools / targetRegions
}

// pollRate is a daemon's load polls a second: the idle rate, and one poll more for each
// request, after the load in its response has aged.
func (t target) pollRate() float64 {
	return t.pollFactor * (t.polled()*t.r.PollRate + targetRequests/targetDaemons)
}

// wave is the time from the first activation to the last: the line, or the longest
// wave measured if that is more.
func (t target) wave() float64 {
	longest := t.r.WaveSpread.at(t.poolReplicas())
	for _, m := range t.r.Layouts {
		longest = max(longest, largestSpread(m.Waves))
	}
	return longest
}

func (target) poolReplicas() float64 { return targetReplicas / targetPools }

// member is a daemon that polls, without its polls' bytes.
func (t target) member() load {
	polls := t.pollRate()
	changes := targetChanges / daySeconds
	return load{
		cpu:      t.r.MemberCPU.at(polls, targetDaemons) + changes*t.r.ChangeMemberCPU,
		bytes:    t.r.MemberBytes.at(polls, targetDaemons) + changes*t.r.ChangeMemberBytes,
		messages: t.r.MemberMessages.at(polls, targetDaemons),
		memory:   t.r.MemberMemory.at(polls, targetDaemons),
	}
}

// polls are the bytes and messages of a daemon's load polls; their processor time is
// in the member's line.
func (t target) polls() load {
	return load{bytes: t.pollRate() * t.r.PollBytes, messages: t.pollRate()}
}

// collector is what collecting adds to a member.
func (t target) collector() load {
	x := []float64{t.attendees(), t.collectors() - 1, targetDaemons}
	changes := targetChanges / daySeconds
	return load{
		cpu:      t.r.CollectorCPU.at(x...) + changes*t.r.ChangeCollectorCPU.at(t.attendees()),
		bytes:    t.r.CollectorBytes.at(x...) + changes*t.r.ChangeCollectorBytes.at(t.attendees()),
		messages: t.r.CollectorMessages.at(x...),
		memory:   t.r.CollectorMemory.at(x...),
	}
}

// stepOwner owns one step: accounting only.
func (t target) stepOwner() load {
	rate := targetSamples / targetStepTime
	return load{
		cpu:      rate * t.stepCPU(),
		bytes:    rate * t.r.StepPeak.Slopes[0],
		messages: rate * t.r.StepCalls.Slopes[0],
		memory:   targetSamples * t.sampleMemory(),
	}
}

// stepCPU is the processor time of a sample beside its stream.
func (t target) stepCPU() float64 {
	return max(t.r.StepCPU.Slopes[0]-sampleTokens*t.r.StreamCPU.Slopes[0], 0)
}

// sampleMemory is the memory of a daemon's share of a sample, from the largest step.
func (t target) sampleMemory() float64 {
	return max(t.r.WorkMemory-t.r.IdleMemory, 0) / largestStep
}

// runner runs its share of all groups.
func (t target) runner() load {
	rate := targetTrainers * targetSamples / targetStepTime / targetDaemons
	return load{
		cpu:      rate * t.r.StepCPU.Slopes[0],
		bytes:    rate * t.r.StepBytes.Slopes[0],
		messages: rate * t.r.StepCalls.Slopes[0],
		memory:   targetTrainers * targetSamples / targetDaemons * t.sampleMemory(),
	}
}

func (target) claims() float64 { return targetRequests * targetClaimRate }

// keeper keeps one claim shard.
func (t target) keeper() load {
	rate := t.claims() / claimShards
	return load{cpu: rate * t.claimCPU(), bytes: rate * t.r.ClaimBytes.Slopes[0]}
}

// claimCPU is the processor time of a claim beside its request.
func (t target) claimCPU() float64 {
	return max(t.r.ClaimCPU.Slopes[0]-t.r.PlainCPU.Slopes[0], 0)
}

// weightsKeeper keeps one pool.
func (t target) weightsKeeper() load {
	orders := t.r.WaveOrders.at(t.poolReplicas())
	return load{messages: orders / targetWeights}
}

// router is the data path, no control.
func (t target) router() load {
	return load{cpu: targetRequests/targetDaemons*t.r.PlainCPU.Slopes[0] + targetTokens/targetDaemons*t.r.StreamCPU.Slopes[0]}
}

// control is the busiest daemon: a collector that owns a step, keeps a claim shard and
// a pool and runs groups.
func (t target) control() load {
	return t.member().plus(t.polls()).plus(t.collector()).plus(t.stepOwner()).plus(t.runner()).plus(t.keeper()).plus(t.weightsKeeper())
}

// plainMember is a daemon without any further role.
func (t target) plainMember() load {
	return t.member().plus(t.polls()).plus(t.runner())
}

func (t target) platformReads() float64 {
	return t.r.PlatformReads.at(t.collectors()) + targetChanges/daySeconds*t.r.ChangeReads + t.claimReads()
}

// leaseWrites are the writes of the weights keepers' leases.
func (t target) leaseWrites() float64 { return targetPools * t.r.PlatformWrites.at(t.collectors()) }

// sparseClaims returns the platform writes and reads a claim at the lowest measured
// rate, 20/s over 8 shards: at the target size a shard has as few claims to batch.
func (t target) sparseClaims() (writes, reads float64) {
	for _, m := range t.r.Layouts {
		if m.Work == nil || len(m.Work.Claims) == 0 {
			continue
		}
		c := m.Work.Claims[0]
		writes, reads = max(writes, c.Writes/c.Units), max(reads, c.Reads/c.Units)
	}
	return writes, reads
}

func (t target) claimWrites() float64 {
	writes, _ := t.sparseClaims()
	return t.claims() * writes
}

func (t target) claimReads() float64 {
	_, reads := t.sparseClaims()
	return t.claims() * reads
}

func (t target) platformWrites() float64 {
	return t.leaseWrites() + t.claimWrites() + targetChanges/daySeconds*t.r.ChangeWrites
}

// claimShareLimit is the share of keyed non-idempotent requests at which the platform's
// writes reach their limit.
func (t target) claimShareLimit() float64 {
	writes, _ := t.sparseClaims()
	return (limitWrites - t.leaseWrites()) / max(writes, 1e-9) / targetRequests
}
