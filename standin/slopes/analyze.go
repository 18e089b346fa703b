package slopes

import "slices"

// Results holds the measurements of a run and the lines fitted through them.
type Results struct {
	Layouts []LayoutMeasurement `json:"layouts"`

	// Rates of one daemon. Regressors: load polls per second, daemons in the fleet.
	MemberCPU      fit `json:"member_cpu"`
	MemberBytes    fit `json:"member_bytes"`
	MemberMessages fit `json:"member_messages"`
	MemberMemory   fit `json:"member_memory"`

	// Rates of a collector in excess of a member's. Regressors: members served, other
	// collectors, daemons in the fleet.
	CollectorCPU      fit `json:"collector_cpu"`
	CollectorBytes    fit `json:"collector_bytes"`
	CollectorMessages fit `json:"collector_messages"`
	CollectorMemory   fit `json:"collector_memory"`

	// Platform calls of the whole fleet while idle. Regressor: collectors.
	PlatformReads  fit     `json:"platform_reads"`
	PlatformWrites fit     `json:"platform_writes"`
	Watches        fit     `json:"watches"`
	PollBytes      float64 `json:"poll_bytes"`
	PollRate       float64 `json:"poll_rate"`   // polls per second per replica at the default interval
	IdleMemory     float64 `json:"idle_memory"` // largest of any idle daemon, in bytes

	// Cost of one document change. Regressor: members served by a collector.
	ChangeMemberCPU      float64 `json:"change_member_cpu_s"`
	ChangeMemberBytes    float64 `json:"change_member_bytes"`
	ChangeCollectorCPU   fit     `json:"change_collector_cpu_s"`
	ChangeCollectorBytes fit     `json:"change_collector_bytes"`
	ChangeReads          float64 `json:"change_platform_reads"`
	ChangeWrites         float64 `json:"change_platform_writes"`
	InForce              fit     `json:"in_force_s"` // time on the slowest daemon; regressor: daemons
	InForceMax           float64 `json:"in_force_max_s"`

	// Rollout of one weight version. Regressor: replicas.
	WaveTotal  fit `json:"wave_total_s"`
	WaveSpread fit `json:"wave_spread_s"`
	WaveOrders fit `json:"wave_orders"`

	// Cost of work. Regressor: number of units, or of tokens for streams.
	PlainCPU     fit     `json:"plain_cpu_s"`
	StreamCPU    fit     `json:"stream_cpu_s"`
	ClaimCPU     fit     `json:"claim_cpu_s"`
	ClaimBytes   fit     `json:"claim_bytes"`
	ClaimWrites  fit     `json:"claim_writes"`
	ClaimReads   fit     `json:"claim_reads"`
	StepCPU      fit     `json:"step_cpu_s"`
	StepBytes    fit     `json:"step_bytes"`
	StepMaxBytes fit     `json:"step_peak_bytes"` // of the busiest daemon
	StepMessages fit     `json:"step_messages"`
	StepWrites   fit     `json:"step_writes"`
	StepReads    fit     `json:"step_reads"`
	WorkMemory   float64 `json:"work_memory"` // largest of any daemon while working, in bytes

	StreamRequests float64 `json:"stream_requests"` // requests in one stream measurement
}

// fitLines fits all lines of the results. Layouts without a processor limit are left out:
// they are measured only for comparison.
func fitLines(all []LayoutMeasurement) (Results, error) {
	r := Results{Layouts: all}
	all = slices.DeleteFunc(slices.Clone(all), func(m LayoutMeasurement) bool { return m.MaxProcs == 0 })
	var f fitter
	f.members(&r, all)
	f.collectors(&r, all)
	f.platform(&r, all)
	f.changes(&r, all)
	f.waves(&r, all)
	f.work(&r, all)
	return r, f.err
}

// fitter fits lines and keeps the first error.
type fitter struct {
	err error
}

func (f *fitter) fit(observations []observation) fit {
	line, err := leastSquares(observations)
	if err != nil && f.err == nil {
		f.err = err
	}
	return line
}

func (f *fitter) members(r *Results, all []LayoutMeasurement) {
	lines := map[*fit]func(daemonRates) float64{
		&r.MemberCPU:      func(m daemonRates) float64 { return m.CPU },
		&r.MemberBytes:    func(m daemonRates) float64 { return m.Bytes },
		&r.MemberMessages: func(m daemonRates) float64 { return m.Messages },
		&r.MemberMemory:   func(m daemonRates) float64 { return m.Memory },
	}
	for line, value := range lines {
		var observations []observation
		forEachDaemon(all, false, func(m daemonRates) {
			observations = append(observations, observation{[]float64{m.Polls, m.Daemons}, value(m)})
		})
		*line = f.fit(observations)
	}
}

// collectors fits the cost of collectors in excess of the members' line.
func (f *fitter) collectors(r *Results, all []LayoutMeasurement) {
	lines := map[*fit]func(daemonRates) float64{
		&r.CollectorCPU:      func(m daemonRates) float64 { return m.CPU - r.MemberCPU.at(m.Polls, m.Daemons) },
		&r.CollectorBytes:    func(m daemonRates) float64 { return m.Bytes - r.MemberBytes.at(m.Polls, m.Daemons) },
		&r.CollectorMessages: func(m daemonRates) float64 { return m.Messages - r.MemberMessages.at(m.Polls, m.Daemons) },
		&r.CollectorMemory:   func(m daemonRates) float64 { return m.Memory - r.MemberMemory.at(m.Polls, m.Daemons) },
	}
	for line, value := range lines {
		var observations []observation
		forEachDaemon(all, true, func(m daemonRates) {
			observations = append(observations, observation{[]float64{m.MembersServed, m.Collectors, m.Daemons}, value(m)})
		})
		*line = f.fit(observations)
	}
}

// forEachDaemon calls visit with the rates of all collectors, or of all other daemons.
func forEachDaemon(all []LayoutMeasurement, collecting bool, visit func(daemonRates)) {
	for _, layout := range all {
		for _, m := range layout.idle {
			if m.Collecting == collecting {
				visit(m)
			}
		}
	}
}

func (f *fitter) platform(r *Results, all []LayoutMeasurement) {
	var reads, writes, watches []observation
	n, defaultLayouts := float64(len(all)), 0.0
	for _, m := range all {
		x := []float64{m.collectorCount()}
		reads = append(reads, observation{x, m.PlatformReads})
		writes = append(writes, observation{x, m.PlatformWrites})
		watches = append(watches, observation{x, m.Watches})
		r.PollBytes += m.PollBytes / n
		if m.PollInterval == 0 {
			r.PollRate += m.pollRatePerReplica()
			defaultLayouts++
		}
		for _, daemon := range m.idle {
			r.IdleMemory = max(r.IdleMemory, daemon.Memory)
		}
	}
	r.PollRate /= max(defaultLayouts, 1)
	r.PlatformReads, r.PlatformWrites, r.Watches = f.fit(reads), f.fit(writes), f.fit(watches)
}

// pollRatePerReplica returns the load polls per second per polled replica.
func (m LayoutMeasurement) pollRatePerReplica() float64 {
	polls, polled := 0.0, 0.0
	for _, daemon := range m.idle {
		polls += daemon.Polls
		polled += min(float64(m.Replicas), subsetSize)
	}
	if polled == 0 {
		return 0
	}
	return polls / polled
}

func (m LayoutMeasurement) collectorCount() float64 {
	n := 0.0
	for _, daemon := range m.idle {
		if daemon.Collecting {
			n++
		}
	}
	return n
}

func (f *fitter) changes(r *Results, all []LayoutMeasurement) {
	var cpu, bytes, inForce []observation
	n := float64(len(all))
	for _, m := range all {
		x := []float64{m.ChangeCost.MembersPerCollector}
		cpu = append(cpu, observation{x, m.ChangeCost.CollectorCPU})
		bytes = append(bytes, observation{x, m.ChangeCost.CollectorBytes})
		r.ChangeMemberCPU += m.ChangeCost.MemberCPU / n
		r.ChangeMemberBytes += m.ChangeCost.MemberBytes / n
		r.ChangeReads += m.ChangeCost.PlatformReads / n
		r.ChangeWrites += m.ChangeCost.PlatformWrites / n
		for _, took := range m.InForce {
			inForce = append(inForce, observation{[]float64{float64(m.Daemons)}, took})
			r.InForceMax = max(r.InForceMax, took)
		}
	}
	r.ChangeCollectorCPU, r.ChangeCollectorBytes, r.InForce = f.fit(cpu), f.fit(bytes), f.fit(inForce)
}

func (f *fitter) waves(r *Results, all []LayoutMeasurement) {
	var total, spread, orders []observation
	for _, m := range all {
		for _, w := range m.Waves {
			x := []float64{float64(m.Replicas)}
			total = append(total, observation{x, w.Total})
			spread = append(spread, observation{x, w.Spread})
			orders = append(orders, observation{x, w.Orders})
		}
	}
	r.WaveTotal, r.WaveSpread, r.WaveOrders = f.fit(total), f.fit(spread), f.fit(orders)
}

func (f *fitter) work(r *Results, all []LayoutMeasurement) {
	units := func(c workCost) float64 { return c.Units }
	tokens := func(c workCost) float64 { return c.Tokens }
	line := func(pick func(*workCosts) []workCost, x, y func(workCost) float64) fit {
		var observations []observation
		for _, m := range all {
			if m.Work == nil {
				continue
			}
			for _, c := range pick(m.Work) {
				observations = append(observations, observation{[]float64{x(c)}, y(c)})
				r.WorkMemory = max(r.WorkMemory, c.Memory)
			}
		}
		return f.fit(observations)
	}
	plain := func(w *workCosts) []workCost { return w.Plain }
	streams := func(w *workCosts) []workCost { return w.Streams }
	claims := func(w *workCosts) []workCost { return w.Claims }
	steps := func(w *workCosts) []workCost { return w.Steps }
	cpu := func(c workCost) float64 { return c.CPU }
	bytes := func(c workCost) float64 { return c.Bytes }
	writes := func(c workCost) float64 { return c.Writes }
	reads := func(c workCost) float64 { return c.Reads }
	r.PlainCPU = line(plain, units, cpu)
	r.StreamCPU = line(streams, tokens, cpu)
	r.StreamRequests = streamRequestRate * workWindow.Seconds()
	r.ClaimCPU, r.ClaimBytes = line(claims, units, cpu), line(claims, units, bytes)
	r.ClaimWrites, r.ClaimReads = line(claims, units, writes), line(claims, units, reads)
	r.StepCPU, r.StepBytes = line(steps, units, cpu), line(steps, units, bytes)
	r.StepMaxBytes = line(steps, units, func(c workCost) float64 { return c.MaxBytes })
	r.StepMessages = line(steps, units, func(c workCost) float64 { return c.Messages })
	r.StepWrites, r.StepReads = line(steps, units, writes), line(steps, units, reads)
}
