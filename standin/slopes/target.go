package slopes

// Size of the fleet and of its load that the costs are extrapolated to.
const (
	targetDaemons         = 360.0
	targetDomains         = 6.0
	targetRegions         = 2.0
	targetReplicas        = 770.0
	targetPools           = 7.0      // one per trainer
	targetRequests        = 1800.0   // per second
	targetTokens          = 570000.0 // per second
	targetTrainers        = 7.0
	targetSamples         = 1024.0 // per step
	targetStepTime        = 2400.0 // seconds
	targetChanges         = 3200.0 // document changes per day
	targetVersionInterval = 2280.0 // seconds between two weight versions of a pool
	targetClaimShare      = 0.1    // share of requests that are non-idempotent and carry a key
	claimShards           = 64.0

	collectorsPerDomain = 2.0
	subsetSize          = 24.0 // replicas of a pool that a daemon polls
	daySeconds          = 86400.0
)

// Limits that the page checks the extrapolated costs against.
const (
	limitCPU     = 0.024  // share of a core, per daemon
	limitMemory  = 64e6   // bytes per daemon
	limitBytes   = 24e3   // control bytes per second, per daemon
	limitWrites  = 300.0  // per second; stated as "several hundred"
	limitReads   = 2000.0 // per second
	limitWave    = 5.0    // seconds until all replicas of a pool have new weights
	limitInForce = 10.0   // seconds until a change is in force on all daemons
)

// roleCost is the cost of a role for one daemon.
type roleCost struct {
	cpu      float64 // share of a core
	bytes    float64 // control bytes per second
	messages float64 // control messages per second
	memory   float64 // bytes
}

func (c roleCost) plus(other roleCost) roleCost {
	return roleCost{c.cpu + other.cpu, c.bytes + other.bytes, c.messages + other.messages, c.memory + other.memory}
}

// target extrapolates the costs of the roles to the target size.
type target struct {
	results    Results
	pollFactor float64 // factor on the measured rate of load polls
}

func (target) collectorCount() float64 { return collectorsPerDomain * targetDomains }

func (t target) membersPerCollector() float64 {
	return (targetDaemons - t.collectorCount()) / t.collectorCount()
}

// polledReplicas returns the number of replicas that one daemon polls: a subset of each pool
// of its region.
func (target) polledReplicas() float64 {
	return subsetSize * targetPools / targetRegions
}

// pollRate returns the load polls per second of a daemon: the idle rate plus one poll for each
// request, made when the load reported in its response has aged.
func (t target) pollRate() float64 {
	return t.pollFactor * (t.polledReplicas()*t.results.PollRate + targetRequests/targetDaemons)
}

// waveTime returns the seconds from the first to the last activation of a version: the value
// of the line, or the longest time measured if that is more.
func (t target) waveTime() float64 {
	longest := t.results.WaveSpread.at(t.poolReplicas())
	for _, m := range t.results.Layouts {
		longest = max(longest, maxSpread(m.Waves))
	}
	return longest
}

func (target) poolReplicas() float64 { return targetReplicas / targetPools }

// memberCost returns the cost of being a member, which includes the processor time of load
// polls but not their bytes.
func (t target) memberCost() roleCost {
	polls := t.pollRate()
	changes := targetChanges / daySeconds
	return roleCost{
		cpu:      t.results.MemberCPU.at(polls, targetDaemons) + changes*t.results.ChangeMemberCPU,
		bytes:    t.results.MemberBytes.at(polls, targetDaemons) + changes*t.results.ChangeMemberBytes,
		messages: t.results.MemberMessages.at(polls, targetDaemons),
		memory:   t.results.MemberMemory.at(polls, targetDaemons),
	}
}

// pollCost returns the bytes and messages of load polls. Their processor time is part of
// memberCost.
func (t target) pollCost() roleCost {
	return roleCost{bytes: t.pollRate() * t.results.PollBytes, messages: t.pollRate()}
}

// collectorCost returns the cost of a collector in excess of a member's.
func (t target) collectorCost() roleCost {
	x := []float64{t.membersPerCollector(), t.collectorCount() - 1, targetDaemons}
	changes := targetChanges / daySeconds
	return roleCost{
		cpu:      t.results.CollectorCPU.at(x...) + changes*t.results.ChangeCollectorCPU.at(t.membersPerCollector()),
		bytes:    t.results.CollectorBytes.at(x...) + changes*t.results.ChangeCollectorBytes.at(t.membersPerCollector()),
		messages: t.results.CollectorMessages.at(x...),
		memory:   t.results.CollectorMemory.at(x...),
	}
}

// stepOwnerCost returns the cost of owning one step, which is accounting only: the runners
// hold the samples.
func (t target) stepOwnerCost() roleCost {
	rate := targetSamples / targetStepTime
	return roleCost{
		cpu:      rate * t.cpuPerSample(),
		bytes:    rate * t.results.StepMaxBytes.Slopes[0],
		messages: rate * t.results.StepMessages.Slopes[0],
		memory:   targetSamples * t.memoryPerSample(),
	}
}

// cpuPerSample returns the processor time of a sample in excess of its stream.
func (t target) cpuPerSample() float64 {
	return max(t.results.StepCPU.Slopes[0]-sampleTokens*t.results.StreamCPU.Slopes[0], 0)
}

// memoryPerSample returns the memory of a sample on one daemon, from the largest step.
func (t target) memoryPerSample() float64 {
	return max(t.results.WorkMemory-t.results.IdleMemory, 0) / maxStepSamples
}

// runnerCost returns the cost of running a daemon's share of all groups.
func (t target) runnerCost() roleCost {
	rate := targetTrainers * targetSamples / targetStepTime / targetDaemons
	return roleCost{
		cpu:      rate * t.results.StepCPU.Slopes[0],
		bytes:    rate * t.results.StepBytes.Slopes[0],
		messages: rate * t.results.StepMessages.Slopes[0],
		memory:   targetTrainers * targetSamples / targetDaemons * t.memoryPerSample(),
	}
}

func (target) claimRate() float64 { return targetRequests * targetClaimShare }

// shardOwnerCost returns the cost of owning one claim shard.
func (t target) shardOwnerCost() roleCost {
	rate := t.claimRate() / claimShards
	return roleCost{cpu: rate * t.cpuPerClaim(), bytes: rate * t.results.ClaimBytes.Slopes[0]}
}

// cpuPerClaim returns the processor time of a claim in excess of its request.
func (t target) cpuPerClaim() float64 {
	return max(t.results.ClaimCPU.Slopes[0]-t.results.PlainCPU.Slopes[0], 0)
}

// weightsOwnerCost returns the cost of owning the weights of one pool.
func (t target) weightsOwnerCost() roleCost {
	orders := t.results.WaveOrders.at(t.poolReplicas())
	return roleCost{messages: orders / targetVersionInterval}
}

// routerCost returns the cost of the data path, which does not count as control.
func (t target) routerCost() roleCost {
	return roleCost{cpu: targetRequests/targetDaemons*t.results.PlainCPU.Slopes[0] + targetTokens/targetDaemons*t.results.StreamCPU.Slopes[0]}
}

// busiestDaemonCost returns the cost of a daemon that has every role: a collector that owns a
// step, a claim shard and a pool's weights, and runs groups.
func (t target) busiestDaemonCost() roleCost {
	return t.memberCost().plus(t.pollCost()).plus(t.collectorCost()).plus(t.stepOwnerCost()).plus(t.runnerCost()).plus(t.shardOwnerCost()).plus(t.weightsOwnerCost())
}

// plainMemberCost returns the cost of a daemon that only polls and runs groups.
func (t target) plainMemberCost() roleCost {
	return t.memberCost().plus(t.pollCost()).plus(t.runnerCost())
}

func (t target) platformReadRate() float64 {
	return t.results.PlatformReads.at(t.collectorCount()) + targetChanges/daySeconds*t.results.ChangeReads + t.claimReadRate()
}

// leaseWriteRate returns the platform writes per second for the leases of the pools' weights.
func (t target) leaseWriteRate() float64 {
	return targetPools * t.results.PlatformWrites.at(t.collectorCount())
}

// platformCallsPerClaim returns the platform writes and reads per claim at the lowest measured
// rate, 20/s over 8 shards: at the target size a shard has as few claims to batch.
func (t target) platformCallsPerClaim() (writes, reads float64) {
	for _, m := range t.results.Layouts {
		if m.Work == nil || len(m.Work.Claims) == 0 {
			continue
		}
		c := m.Work.Claims[0]
		writes, reads = max(writes, c.Writes/c.Units), max(reads, c.Reads/c.Units)
	}
	return writes, reads
}

func (t target) claimWriteRate() float64 {
	writes, _ := t.platformCallsPerClaim()
	return t.claimRate() * writes
}

func (t target) claimReadRate() float64 {
	_, reads := t.platformCallsPerClaim()
	return t.claimRate() * reads
}

func (t target) platformWriteRate() float64 {
	return t.leaseWriteRate() + t.claimWriteRate() + targetChanges/daySeconds*t.results.ChangeWrites
}

// claimShareLimit returns the share of keyed non-idempotent requests at which the platform
// writes reach their limit.
func (t target) claimShareLimit() float64 {
	writes, _ := t.platformCallsPerClaim()
	return (limitWrites - t.leaseWriteRate()) / max(writes, 1e-9) / targetRequests
}
