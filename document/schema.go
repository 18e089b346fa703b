package document

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document/inifile"
)

// maxDuration is the upper limit of durations in a document.
const maxDuration = 24 * time.Hour

// TeamSection is the name of the repeated section that decodes into a TeamShare.
const TeamSection = "team"

// SectionSchemas returns the schemas of the sections that occur at most once.
func SectionSchemas() []inifile.SectionSchema[Document] {
	return []inifile.SectionSchema[Document]{
		serviceSection(),
		samplesSection(),
		requestsSection(),
		retrySection(),
		serversSection(),
	}
}

func serviceSection() inifile.SectionSchema[Document] {
	return inifile.SectionSchema[Document]{
		Name:        "service",
		Description: "The service and its backend servers.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Required(inifile.Name("name", "Unique name; part of the path of requests.", func(d *Document) *string { return &d.Service })),
			inifile.Required(inifile.Name("team", "Team that owns the service and its document.", func(d *Document) *string { return &d.Team })),
			inifile.Required(inifile.Name("region", "Region whose daemons serve the service.", func(d *Document) *string { return &d.Region })),
			inifile.Required(inifile.Choice("kind", []Kind{KindModel, KindPlain}, KindModel, "Kind of the backend servers: model engines or plain services.", func(d *Document) *Kind { return &d.Kind })),
			inifile.Required(inifile.Name("pool", "Pool of backend servers in the instance list.", func(d *Document) *string { return &d.Pool })),
		},
	}
}

func samplesSection() inifile.SectionSchema[Document] {
	return inifile.SectionSchema[Document]{
		Name:        "samples",
		Description: "Samples for trainers; only with `kind = model`.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Int("staleness_bound", "weight versions", 1, 0, 1000, "Maximum number of versions by which a delivered sample lags its trainer.", func(d *Document) *int { return &d.Samples.StalenessBound }),
			inifile.Choice("preference", []Preference{PreferIdleTime, PreferStaleness}, PreferIdleTime, "Measure to minimise first: trainer idle time or staleness.", func(d *Document) *Preference { return &d.Samples.Preference }),
			inifile.Int("group_size", "samples", 8, 1, 256, "Number of samples in a group if the request does not set it.", func(d *Document) *int { return &d.Samples.GroupSize }),
			inifile.Int("max_tokens", "tokens", 256, 1, 131072, "Maximum length of a sample if the request does not set it.", func(d *Document) *int { return &d.Samples.MaxTokens }),
			inifile.Int("hedges", "attempts", 1, 0, 1, "Extra attempts for a straggling sample.", func(d *Document) *int { return &d.Samples.Hedges }),
			inifile.Int("hedge_budget", "percent of samples", 5, 0, 100, "Extra attempts as a share of all samples.", func(d *Document) *int { return &d.Samples.HedgeBudget }),
			inifile.Duration("step_time", 40*time.Minute, time.Second, maxDuration, "Time within which the samples of a step must be complete.", func(d *Document) *time.Duration { return &d.Samples.StepTime }),
		},
	}
}

func requestsSection() inifile.SectionSchema[Document] {
	return inifile.SectionSchema[Document]{
		Name:        "requests",
		Description: "Requests from callers.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Duration("deadline", 30*time.Second, 10*time.Millisecond, maxDuration, "Deadline of a request that does not set one.", func(d *Document) *time.Duration { return &d.Requests.Deadline }),
			inifile.Int("queue_limit", "requests per daemon", 256, 0, 100000, "Maximum number of waiting requests; further ones are rejected as not run.", func(d *Document) *int { return &d.Requests.QueueLimit }),
			inifile.Key("non_idempotent", "list of METHOD /path, separated by commas", "", "methods in upper case or *, paths start with /", "Requests, by method and path prefix, that run at most once regardless of their headers.", setMatches, getMatches),
		},
	}
}

func retrySection() inifile.SectionSchema[Document] {
	return inifile.SectionSchema[Document]{
		Name:        "retry",
		Description: "Retries of idempotent requests.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Int("attempts", "attempts", 3, 1, 10, "Attempts per request, including the first.", func(d *Document) *int { return &d.Retry.Attempts }),
			inifile.Int("budget", "percent of requests", 10, 0, 100, "Retries as a share of the requests from callers.", func(d *Document) *int { return &d.Retry.Budget }),
		},
	}
}

func serversSection() inifile.SectionSchema[Document] {
	return inifile.SectionSchema[Document]{
		Name:        "servers",
		Description: "Load, draining and fencing of backend servers.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Duration("leave_bound", 5*time.Second, 0, 5*time.Minute, "Time after which a leaving server gets no new work.", func(d *Document) *time.Duration { return &d.Servers.LeaveBound }),
			inifile.Duration("drain_time", 30*time.Second, 0, maxDuration, "Time that requests in flight may take at a planned stop of a daemon, if longer than the daemon's own setting.", func(d *Document) *time.Duration { return &d.Servers.DrainTime }),
			inifile.Int("max_in_flight", "requests", 32, 1, 10000, "Maximum number of requests in flight from one daemon to one server.", func(d *Document) *int { return &d.Servers.MaxInFlight }),
			inifile.Bool("checks_fencing", false, "The servers reject an order with an outdated fencing token.", func(d *Document) *bool { return &d.Servers.ChecksFencing }),
		},
	}
}

// TeamSchema returns the schema of the repeated [team "name"] section.
func TeamSchema() inifile.SectionSchema[TeamShare] {
	return inifile.SectionSchema[TeamShare]{
		Name:        TeamSection,
		Repeated:    true,
		Description: "A team's share of the service; the argument is the team's name.",
		Keys: []inifile.KeySchema[TeamShare]{
			inifile.Int("weight", "share", 1, 1, 1000, "Relative share of the service when teams contend for it.", func(t *TeamShare) *int { return &t.Weight }),
			inifile.Int("limit", "requests per daemon", 0, 0, 100000, "Maximum number of the team's requests in flight; 0 for no limit.", func(t *TeamShare) *int { return &t.Limit }),
		},
	}
}

var methodPattern = regexp.MustCompile(`^([A-Z]{1,20}|\*)$`)

func setMatches(d *Document, value string) error {
	d.Requests.NonIdempotent = nil
	if value == "" {
		return nil
	}
	for _, item := range strings.Split(value, ",") {
		match, err := parseMatch(item)
		if err != nil {
			return err
		}
		d.Requests.NonIdempotent = append(d.Requests.NonIdempotent, match)
	}
	return nil
}

func parseMatch(item string) (Match, error) {
	fields := strings.Fields(item)
	if len(fields) != 2 || !methodPattern.MatchString(fields[0]) || !strings.HasPrefix(fields[1], "/") {
		return Match{}, fmt.Errorf("%q is not METHOD /path", strings.TrimSpace(item))
	}
	return Match{Method: fields[0], Path: fields[1]}, nil
}

func getMatches(d *Document) string {
	items := make([]string, 0, len(d.Requests.NonIdempotent))
	for _, match := range d.Requests.NonIdempotent {
		items = append(items, match.Method+" "+match.Path)
	}
	return strings.Join(items, ", ")
}
