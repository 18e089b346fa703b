package bench

import "time"

// Workload describes the traffic of one set of teams. Times are scaled down: one second of
// the benchmark represents about one minute of the service.
type Workload struct {
	Name                 string
	Region               string
	Domains              []string
	ModelService         string // file name in examples/documents, without its extension
	PlainService         string
	StalenessBound       int // staleness bound of the model service
	Engines              int
	PlainServers         int
	Daemons              int
	Trainers             int
	GroupsPerStep        int           // per step
	SamplesPerGroup      int           // per group
	MaxTokens            int           // per sample
	PromptWords          int           // words in the prompt of a group
	TrainTime            time.Duration // duration of training on the samples of a step
	InteractiveRate      float64       // model requests of callers per second
	InteractiveMaxTokens int           // maximum tokens of such a request
	LookupRate           float64       // plain requests per second
	SharedPrefixes       int           // number of prompt prefixes that callers share
}

// Karachi trains a caption model while callers send member lookups and sketches.
var Karachi = Workload{
	Name: "karachi", Region: "pk-south", Domains: []string{"khi-a", "khi-b", "hyd-a"},
	ModelService: "draftpool", PlainService: "ledgerdesk", StalenessBound: 2,
	Engines: 8, PlainServers: 3, Daemons: 8, Trainers: 3,
	GroupsPerStep: 12, SamplesPerGroup: 8, MaxTokens: 256, PromptWords: 160, TrainTime: 1200 * time.Millisecond,
	InteractiveRate: 40, InteractiveMaxTokens: 48, LookupRate: 80, SharedPrefixes: 12,
}

// Cerrito trains a quoting model for which stale samples cost most.
var Cerrito = Workload{
	Name: "cerrito", Region: "litoral", Domains: []string{"litoral-a", "litoral-b", "litoral-c"},
	ModelService: "lm-pool", PlainService: "orders-app", StalenessBound: 1,
	Engines: 8, PlainServers: 3, Daemons: 9, Trainers: 2,
	GroupsPerStep: 16, SamplesPerGroup: 8, MaxTokens: 192, PromptWords: 96, TrainTime: 1300 * time.Millisecond,
	InteractiveRate: 60, InteractiveMaxTokens: 48, LookupRate: 60, SharedPrefixes: 16,
}

// Workloads lists all workloads.
var Workloads = []Workload{Karachi, Cerrito}

// Variant is a configuration to compare: a routing policy and the features that are off.
type Variant struct {
	Name     string
	Settings string // INI sections for each daemon
}

// Variants lists the default configuration, the baseline policies, and the default with one
// feature off each.
var Variants = []Variant{
	{Name: "affinity", Settings: ""},
	{Name: "random", Settings: baselineSettings("random")},
	{Name: "round_robin", Settings: baselineSettings("round_robin")},
	{Name: "least_load", Settings: baselineSettings("least_load")},
	{Name: "no_hedging", Settings: withoutFeature("hedging")},
	{Name: "no_cut_stale", Settings: withoutFeature("cut_stale")},
	{Name: "no_freshness", Settings: withoutFeature("freshness")},
}

// baselineSettings selects a simple policy and turns all features off.
func baselineSettings(policy string) string {
	return "[backends]\npolicy = " + policy +
		"\n\n[rollout]\nhedging = no\ncut_stale = no\nfreshness = no\n"
}

func withoutFeature(name string) string { return "[rollout]\n" + name + " = no\n" }

// FindVariants returns the variants with the given names, in the order of the names.
func FindVariants(names []string) []Variant {
	var found []Variant
	for _, name := range names {
		for _, v := range Variants {
			if v.Name == name {
				found = append(found, v)
			}
		}
	}
	return found
}
