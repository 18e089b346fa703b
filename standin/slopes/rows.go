package slopes

import "fmt"

// roleRow is the row of one role in the page's table of roles.
type roleRow struct {
	name, count, state, platform, mechanism, formula string
	cost                                             roleCost
}

func (t target) roleRows() []roleRow {
	return []roleRow{
		{
			name: "member", count: num(targetDaemons), cost: t.memberCost(),
			state:     "documents, instance list, one stream",
			platform:  "none while a collector answers",
			mechanism: "domain collectors: one stream to a collector, changes pushed down",
			formula:   fmt.Sprintf("member lines at polls/s = %s, daemons = %s", num(t.pollRate()), num(targetDaemons)),
		},
		{
			name: "load polls", count: num(targetDaemons), cost: t.pollCost(),
			state:     fmt.Sprintf("state of %s replicas", num(t.polledReplicas())),
			platform:  "none",
			mechanism: "subset of each pool; load in response headers first",
			formula: fmt.Sprintf("polled = %s a pool × %s pools / %s regions = %s; polls/s = polled × %s (idle, measured) + %s requests/s (a poll after each) = %s; bytes = polls/s × %s B; processor time is in the member's line",
				num(subsetSize), num(targetPools), num(targetRegions), num(t.polledReplicas()), num(t.results.PollRate), num(targetRequests/targetDaemons), num(t.pollRate()), num(t.results.PollBytes)),
		},
		{
			name: "collector", count: num(t.collectorCount()), cost: t.collectorCost(),
			state: fmt.Sprintf("a row a daemon (%s), %s member streams", num(targetDaemons), num(t.membersPerCollector())),
			platform: fmt.Sprintf("%s reads/s and %s watches for all collectors",
				num(t.results.PlatformReads.at(t.collectorCount())), num(t.results.Watches.at(t.collectorCount()))),
			mechanism: "two a failure domain, each serves half; alone they watch the platform",
			formula: fmt.Sprintf("collector lines at members = (%s − %s) / %s = %s, collectors = %s, daemons = %s, plus %s changes a day / 86,400 s × a change",
				num(targetDaemons), num(t.collectorCount()), num(t.collectorCount()), num(t.membersPerCollector()), num(t.collectorCount()-1), num(targetDaemons), num(targetChanges)),
		},
		{
			name: "step owner", count: num(targetTrainers), cost: t.stepOwnerCost(),
			state:     fmt.Sprintf("index of %s samples", num(targetSamples)),
			platform:  fmt.Sprintf("%s writes, %s reads a step", num(t.results.StepWrites.at(targetSamples)), num(t.results.StepReads.at(targetSamples))),
			mechanism: "accounting only; payloads stay with the runners; the token carries what was delivered",
			formula: fmt.Sprintf("samples/s = %s / %s s; processor = (step − %d tokens × stream) a sample, as if the owner spent it all; bytes = busiest daemon's slope",
				num(targetSamples), num(targetStepTime), sampleTokens),
		},
		{
			name: "group runner", count: num(targetDaemons), cost: t.runnerCost(),
			state:     "prompts of its groups, finished samples until the trainer has them",
			platform:  "none",
			mechanism: "groups spread over all daemons by rendezvous hashing",
			formula: fmt.Sprintf("samples/s = %s × %s / %s s / %s daemons; processor and bytes = step lines a sample, stream included",
				num(targetTrainers), num(targetSamples), num(targetStepTime), num(targetDaemons)),
		},
		{
			name: "claim shard keeper", count: num(claimShards), cost: t.shardOwnerCost(),
			state:     "keys of the retention time in the platform's objects, an index of them in memory",
			platform:  fmt.Sprintf("%s writes/s, %s reads/s for all shards", num(t.claimWriteRate()), num(t.claimReadRate())),
			mechanism: "journal by create-if-absent, batches of claims",
			formula: fmt.Sprintf("claims = %s × %s = %s/s, / %s shards; processor = (keyed − plain request) a claim; writes = %s a claim, as measured at 20/s over 8 shards, a rate a shard like the target's (the line above is flatter, since busy shards batch)",
				num(targetRequests), num(targetClaimShare), num(t.claimRate()), num(claimShards), num(t.claimWriteRate()/t.claimRate())),
		},
		{
			name: "weights keeper", count: num(targetPools), cost: t.weightsOwnerCost(),
			state:     fmt.Sprintf("version of each of %s replicas", num(t.poolReplicas())),
			platform:  fmt.Sprintf("%s lease writes/s for all pools", num(t.leaseWriteRate())),
			mechanism: "lease a pool; stage ahead, then one wave of activations",
			formula: fmt.Sprintf("orders line at %s replicas every %s s; lease writes = idle writes of one pool × %s",
				num(t.poolReplicas()), num(targetVersionInterval), num(targetPools)),
		},
		{
			name: "router", count: num(targetDaemons), cost: t.routerCost(),
			state:     "requests in progress, replica states, retry budget",
			platform:  "none",
			mechanism: "any daemon serves any request; prefix affinity under a load bound",
			formula: fmt.Sprintf("data path, not control: %s/s × a plain request + %s tokens/s × a streamed token (8 a chunk)",
				num(targetRequests/targetDaemons), num(targetTokens/targetDaemons)),
		},
	}
}

// pollIntervalFactor is the factor by which the remedy of slower polling lengthens the poll
// interval.
const pollIntervalFactor = 4.0

// limitRow is the row of one limit in the page's table of limits.
type limitRow struct {
	name          string
	value, limit  float64
	unit, formula string
	remedy        string // design change to make if the limit is exceeded
}

func (t target) limitRows() []limitRow {
	busiest, plain := t.busiestDaemonCost(), t.plainMemberCost()
	slowerPolling := target{t.results, 1 / pollIntervalFactor}
	remedyPrefix := fmt.Sprintf("poll load every %.0f default intervals (`poll_interval`), since response headers carry it for the replicas in use: the same sum gives ", pollIntervalFactor)
	return []limitRow{
		{
			"processor of a member", 100 * plain.cpu, 100 * limitCPU, "% of a core", "member + polls + runner",
			remedyPrefix + num(100*slowerPolling.plainMemberCost().cpu) + " %",
		},
		{
			"processor of the busiest daemon", 100 * busiest.cpu, 100 * limitCPU, "% of a core",
			"member + polls + collector + step owner + runner + claim shard + pool",
			remedyPrefix + num(100*slowerPolling.busiestDaemonCost().cpu) + " %; beyond that, place a role on a daemon that has none",
		},
		{
			"memory of the busiest daemon", busiest.memory / 1e6, limitMemory / 1e6, "MB", "the same sum",
			"collectors exchange only rows that changed; payloads of samples go to the data folder",
		},
		{
			"control of a member", plain.bytes / 1e3, limitBytes / 1e3, "KB/s", "member + polls + runner",
			remedyPrefix + num(slowerPolling.plainMemberCost().bytes/1e3) + " KB/s",
		},
		{
			"control of the busiest daemon", busiest.bytes / 1e3, limitBytes / 1e3, "KB/s", "the sum of all roles",
			remedyPrefix + num(slowerPolling.busiestDaemonCost().bytes/1e3) + " KB/s",
		},
		{
			"platform writes", t.platformWriteRate(), limitWrites, "1/s",
			fmt.Sprintf("claims %s + leases %s + changes; the limit is reached when %s %% of the requests are claimed",
				num(t.claimWriteRate()), num(t.leaseWriteRate()), num(100*t.claimShareLimit())),
			"fewer shards or a longer batch interval under load, so that a write carries more claims",
		},
		{
			"platform reads", t.platformReadRate(), limitReads, "1/s", "idle line at 12 collectors + changes + claims",
			"one collector a domain reads for both",
		},
		{
			"weights on all replicas of a pool, from the first activation", t.waveTime(), limitWave, "s",
			fmt.Sprintf("first to last activation, staged before: the line at %s replicas or the longest wave measured, whichever is more", num(t.poolReplicas())),
			"the keeper hands the wave to more daemons",
		},
		{
			"weights on all replicas of a pool, from publication", t.results.WaveTotal.at(t.poolReplicas()), limitWave, "s",
			"the same with staging at the stand-in store (20 ms a load, 8 at a time) and the keeper's poll of the store",
			"stage ahead of the publication, so that only the wave counts",
		},
		{
			"a change in force everywhere", t.results.InForce.at(targetDaemons), limitInForce, "s",
			fmt.Sprintf("line at %s daemons; the slowest single change measured took %s s", num(targetDaemons), num(t.results.InForceMax)),
			"collectors push changes before summaries",
		},
	}
}

func (p *page) limits(t target) {
	p.line("## Against the limits\n")
	p.header("limit", "worked out", "limit", "verdict", "from")
	var remedies []string
	for _, r := range t.limitRows() {
		verdict := "holds"
		if r.value > r.limit {
			verdict = "**exceeded**"
			remedies = append(remedies, fmt.Sprintf("- **%s** (%s of %s %s): %s.", r.name, num(r.value), num(r.limit), r.unit, r.remedy))
		}
		p.row(r.name, num(r.value)+" "+r.unit, num(r.limit)+" "+r.unit, verdict, r.formula)
	}
	p.line("")
	if len(remedies) == 0 {
		return
	}
	p.line("What exceeds a limit, and the change of the design that mends it:\n")
	for _, remedy := range remedies {
		p.line("%s", remedy)
	}
	p.line("")
}

func (p *page) notMeasured() {
	p.line(`## Not measured here

- Two regions: all measured daemons are in one; a region's collectors do not watch for the other.
- Latency between failure domains: everything runs on loopback.
- Questions for the newest weights: a daemon that heard nothing of a pool for 2 s asks the
  first candidate for its lease. One pool is in the measured lines; with 180 daemons and 3 to
  4 pools a region the candidate answers about 90 calls a second for each of its pools
  (worked out). Carrying the newest versions in the collectors' streams would end this.
- Real weights: staging takes 20 ms a replica at the stand-in store.
- Bytes of platform calls and of HTTP to callers are not in the control figures; load polls are.
- Memory of claims kept for their retention time at 64 shards.
- Streams with fewer than 8 tokens a chunk, which cost the router more a token.
- Daemons at work and at rest at the same time: the rows are sums of separate measurements.`)
}
