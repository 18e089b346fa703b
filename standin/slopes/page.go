package slopes

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// writePage writes the content of docs/CAPACITY.md.
func writePage(w io.Writer, r Results) error {
	p := &page{}
	p.intro()
	p.fleets(r)
	p.slopes(r)
	p.roles(target{r, 1})
	p.limits(target{r, 1})
	p.notMeasured()
	_, err := io.WriteString(w, p.String())
	return err
}

type page struct {
	strings.Builder
}

func (p *page) line(format string, arguments ...any) {
	fmt.Fprintf(p, format+"\n", arguments...)
}

func (p *page) row(cells ...string) { p.line("| %s |", strings.Join(cells, " | ")) }

func (p *page) header(cells ...string) {
	p.row(cells...)
	rule := make([]string, len(cells))
	for i := range rule {
		rule[i] = "---"
	}
	p.row(rule...)
}

func (p *page) intro() {
	p.line(`# Capacity

This page is written by `+"`make slopes`"+`; don't edit it. It says what each role costs at the
target size, worked out from slopes measured on one machine. Daemons run as processes of
their own, so processor time (all threads, from the kernel's scheduler) and resident
memory are each daemon's own; platform, weight store, engines and plain services are
stand-ins. Lines are fitted by least squares with one observation a daemon; R² says what
share of the variance the line explains. Daemons use %d processors each (GOMAXPROCS), as on
a small instance; one fleet uses all of the machine for comparison and is left out of the
lines. An extrapolation from %d to %.0f daemons is a
forecast, not a measurement.

Target: %.0f daemons, %.0f replicas in %.0f pools, %.0f requests/s, %.0f tokens/s, %.0f trainers ×
%.0f samples a step in %.0f minutes, %.0f changes a day, %.0f regions, %.0f failure domains. Taken
besides: %.0f%% of the requests carry a key and are non-idempotent; %.0f claim shards.
`, smallInstanceProcessors, DefaultLayouts[len(DefaultLayouts)-1].Daemons, targetDaemons, targetDaemons, targetReplicas, targetPools, targetRequests, targetTokens,
		targetTrainers, targetSamples, targetStepTime/60, targetChanges, targetRegions, targetDomains, 100*targetClaimShare, claimShards)
}

func (p *page) fleets(r Results) {
	p.line("## Measured fleets\n\nMeans of the daemons while nobody works; documents of one model and one plain service in force.\n")
	p.header("daemons", "domains", "replicas", "processors", "poll interval", "member: core %", "KB/s", "MB", "collector: members", "core %", "KB/s", "MB",
		"platform reads/s", "writes/s", "watches", "in force, slowest s", "weights wave s")
	for _, m := range r.Layouts {
		member, collector := m.Member, m.Collector
		p.row(num(float64(m.Daemons)), num(float64(m.Domains)), num(float64(m.Replicas)), m.processorsLabel(), m.pollIntervalLabel(),
			num(100*member.CPU), num(member.Bytes/1e3), num(member.Memory/1e6),
			num(collector.MembersServed), num(100*collector.CPU), num(collector.Bytes/1e3), num(collector.Memory/1e6),
			num(m.PlatformReads), num(m.PlatformWrites), num(m.Watches), num(maxOf(m.InForce)), num(maxSpread(m.Waves)))
	}
	p.line("")
}

func (p *page) slopes(r Results) {
	p.line("## Slopes\n")
	p.header("quantity", "line", "R²", "observations")
	add := func(name, unit string, scale float64, f fit, x ...string) {
		if unit != "" {
			name += " (" + unit + ")"
		}
		p.row(name, f.formula(scale, x), num(f.R2), num(float64(f.Observations)))
	}
	add("member, processor", "% of a core", 100, r.MemberCPU, "polls/s", "daemons")
	add("member, control", "B/s", 1, r.MemberBytes, "polls/s", "daemons")
	add("member, messages", "1/s", 1, r.MemberMessages, "polls/s", "daemons")
	add("member, memory", "MB", 1e-6, r.MemberMemory, "polls/s", "daemons")
	add("collector beside a member, processor", "% of a core", 100, r.CollectorCPU, "members", "collectors", "daemons")
	add("collector, control", "B/s", 1, r.CollectorBytes, "members", "collectors", "daemons")
	add("collector, messages", "1/s", 1, r.CollectorMessages, "members", "collectors", "daemons")
	add("collector, memory", "MB", 1e-6, r.CollectorMemory, "members", "collectors", "daemons")
	add("platform reads, idle", "1/s", 1, r.PlatformReads, "collectors")
	add("platform writes, idle, one model pool", "1/s", 1, r.PlatformWrites, "collectors")
	add("watches waiting", "", 1, r.Watches, "collectors")
	add("change at a collector, processor", "ms", 1e3, r.ChangeCollectorCPU, "members")
	add("change at a collector, control", "B", 1, r.ChangeCollectorBytes, "members")
	add("change in force on all daemons", "ms", 1e3, r.InForce, "daemons")
	add("weights: publication to all active", "s", 1, r.WaveTotal, "replicas")
	add("weights: first to last activation", "ms", 1e3, r.WaveSpread, "replicas")
	add("weights: orders of a version", "", 1, r.WaveOrders, "replicas")
	add("plain request, processor", "ms", 1e3, r.PlainCPU, "requests")
	add(fmt.Sprintf("%.0f streams, 8 tokens a chunk, processor", r.StreamRequests), "ms", 1e3, r.StreamCPU, "tokens")
	add("keyed non-idempotent request, processor", "ms", 1e3, r.ClaimCPU, "claims")
	add("claims, control", "B", 1, r.ClaimBytes, "claims")
	add("claims, platform writes", "", 1, r.ClaimWrites, "claims")
	add("claims, platform reads", "", 1, r.ClaimReads, "claims")
	add(fmt.Sprintf("step of %d-token samples, processor", sampleTokens), "ms", 1e3, r.StepCPU, "samples")
	add("step, control of all daemons", "B", 1, r.StepBytes, "samples")
	add("step, control of the busiest daemon", "B", 1, r.StepMaxBytes, "samples")
	add("step, messages", "", 1, r.StepMessages, "samples")
	add("step, platform writes", "", 1, r.StepWrites, "samples")
	add("step, platform reads", "", 1, r.StepReads, "samples")
	p.line("\nOne load poll: %s B in both directions, %s polls/s a replica. A change: %s ms and %s B at a member, %s reads and %s writes of the platform.\n",
		num(r.PollBytes), num(r.PollRate), num(1e3*r.ChangeMemberCPU), num(r.ChangeMemberBytes), num(r.ChangeReads), num(r.ChangeWrites))
}

// formula formats the line with the names of its regressors.
func (f fit) formula(scale float64, x []string) string {
	text := num(f.Intercept * scale)
	for i, slope := range f.Slopes {
		sign := " + "
		if slope < 0 {
			sign = " − "
		}
		text += sign + num(math.Abs(slope)*scale) + "·" + x[i]
	}
	return text
}

func (p *page) roles(t target) {
	p.line("## Roles at the target size\n\nA row is what the role adds to one daemon.\n")
	p.header("role", "how many", "state", "messages/s", "core %", "control KB/s", "MB", "platform", "mechanism that carries it")
	for _, r := range t.roleRows() {
		p.row(r.name, r.count, r.state, num(r.cost.messages), num(100*r.cost.cpu), num(r.cost.bytes/1e3), num(r.cost.memory/1e6), r.platform, r.mechanism)
	}
	p.line("\nFormulas, with the slopes above:\n")
	for _, r := range t.roleRows() {
		p.line("- **%s**: %s", r.name, r.formula)
	}
	p.line("")
}

// processorsLabel formats the processor limit of the daemons.
func (l Layout) processorsLabel() string {
	if l.MaxProcs == 0 {
		return "all"
	}
	return num(float64(l.MaxProcs))
}

// pollIntervalLabel formats the poll interval of the daemons.
func (l Layout) pollIntervalLabel() string {
	if l.PollInterval == 0 {
		return "default"
	}
	return l.PollInterval.String()
}

// num formats a figure with three significant digits, from 1000 on as an integer.
func num(x float64) string {
	switch {
	case x == 0:
		return "0"
	case x >= 1000 || x <= -1000:
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

func maxOf(values []float64) float64 {
	result := 0.0
	for _, v := range values {
		result = max(result, v)
	}
	return result
}

func maxSpread(all []waveResult) float64 {
	result := 0.0
	for _, w := range all {
		result = max(result, w.Spread)
	}
	return result
}

// meanRates returns the mean rates of the collectors, or of all other daemons.
func meanRates(rates []daemonRates, collecting bool) daemonRates {
	var sum daemonRates
	n := 0.0
	for _, m := range rates {
		if m.Collecting != collecting {
			continue
		}
		n++
		sum.CPU += m.CPU
		sum.Bytes += m.Bytes
		sum.Memory += m.Memory
		sum.MembersServed += m.MembersServed
		sum.Collectors += m.Collectors
		sum.Messages += m.Messages
		sum.Polls += m.Polls
		sum.Reads += m.Reads
		sum.Writes += m.Writes
		sum.Collecting, sum.Daemons = m.Collecting, m.Daemons
	}
	n = max(n, 1)
	for _, value := range []*float64{&sum.CPU, &sum.Bytes, &sum.Memory, &sum.MembersServed, &sum.Collectors, &sum.Messages, &sum.Polls, &sum.Reads, &sum.Writes} {
		*value /= n
	}
	return sum
}
