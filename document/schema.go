package document

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document/inifile"
)

// maxDuration bounds every duration of a document.
const maxDuration = 24 * time.Hour

// TeamSection is the name of the repeated section that holds a TeamShare.
const TeamSection = "team"

// Sections returns the table of sections that occur at most once.
func Sections() []inifile.SectionSchema[Document] {
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
		Name: "service",
		Text: "What the service is and which backend servers answer for it.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Required(inifile.Name("name", "Unique name; callers use it in the path.", func(d *Document) *string { return &d.Service })),
			inifile.Required(inifile.Name("team", "Team that owns the service and its document.", func(d *Document) *string { return &d.Team })),
			inifile.Required(inifile.Name("region", "Region whose daemons serve it.", func(d *Document) *string { return &d.Region })),
			inifile.Required(inifile.Choice("kind", []Kind{Model, Plain}, Model, "Kind of backend servers: model engines or plain services.", func(d *Document) *Kind { return &d.Kind })),
			inifile.Required(inifile.Name("pool", "Pool of backend servers in the instance list.", func(d *Document) *string { return &d.Pool })),
		},
	}
}

func samplesSection() inifile.SectionSchema[Document] {
	return inifile.SectionSchema[Document]{
		Name: "samples",
		Text: "Samples for trainers; for `kind = model` only.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Int("staleness_bound", "weight versions", 1, 0, 1000, "A delivered sample is at most this many versions behind its trainer.", func(d *Document) *int { return &d.Samples.StalenessBound }),
			inifile.Choice("preference", []Preference{PreferIdleTime, PreferStaleness}, PreferIdleTime, "The measure to favour: trainer idle time or staleness.", func(d *Document) *Preference { return &d.Samples.Preference }),
			inifile.Int("group_size", "samples", 8, 1, 256, "Samples of a group that names no number.", func(d *Document) *int { return &d.Samples.GroupSize }),
			inifile.Int("max_tokens", "tokens", 256, 1, 131072, "Longest sample of a group that names no number.", func(d *Document) *int { return &d.Samples.MaxTokens }),
			inifile.Int("hedges", "attempts", 1, 0, 1, "Extra attempts for a sample that straggles.", func(d *Document) *int { return &d.Samples.Hedges }),
			inifile.Int("hedge_budget", "percent of samples", 5, 0, 100, "Extra attempts over all samples.", func(d *Document) *int { return &d.Samples.HedgeBudget }),
			inifile.Duration("step_time", 40*time.Minute, time.Second, maxDuration, "Time within which the samples of a step are whole.", func(d *Document) *time.Duration { return &d.Samples.StepTime }),
		},
	}
}

func requestsSection() inifile.SectionSchema[Document] {
	return inifile.SectionSchema[Document]{
		Name: "requests",
		Text: "Requests of callers.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Duration("deadline", 30*time.Second, 10*time.Millisecond, maxDuration, "Deadline of a request that names none.", func(d *Document) *time.Duration { return &d.Requests.Deadline }),
			inifile.Int("queue_limit", "requests a daemon", 256, 0, 100000, "Requests that may wait; more are refused as not run.", func(d *Document) *int { return &d.Requests.QueueLimit }),
			inifile.Key("non_idempotent", "list of METHOD /path, separated by commas", "", "methods in upper case or *, paths start with /", "Requests by method and path prefix that run at most once, whatever their headers say.", setMatches, getMatches),
		},
	}
}

func retrySection() inifile.SectionSchema[Document] {
	return inifile.SectionSchema[Document]{
		Name: "retry",
		Text: "Retries of idempotent requests.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Int("attempts", "attempts", 3, 1, 10, "Attempts a request, the first included.", func(d *Document) *int { return &d.Retry.Attempts }),
			inifile.Int("budget", "percent of requests", 10, 0, 100, "Retries as a share of the live requests.", func(d *Document) *int { return &d.Retry.Budget }),
		},
	}
}

func serversSection() inifile.SectionSchema[Document] {
	return inifile.SectionSchema[Document]{
		Name: "servers",
		Text: "How backend servers come and go and what they take.",
		Keys: []inifile.KeySchema[Document]{
			inifile.Duration("leave_bound", 5*time.Second, 0, 5*time.Minute, "A leaving server gets no new work after this.", func(d *Document) *time.Duration { return &d.Servers.LeaveBound }),
			inifile.Duration("drain_time", 30*time.Second, 0, maxDuration, "Requests in progress may take this long at a planned stop of a daemon, if that is longer than its settings say.", func(d *Document) *time.Duration { return &d.Servers.DrainTime }),
			inifile.Int("max_in_flight", "requests", 32, 1, 10000, "Requests in progress that one daemon sends to one server.", func(d *Document) *int { return &d.Servers.MaxInFlight }),
			inifile.Bool("checks_fencing", false, "The servers refuse an order with an old fencing number.", func(d *Document) *bool { return &d.Servers.ChecksFencing }),
		},
	}
}

// Team returns the schema of the repeated team section.
func Team() inifile.SectionSchema[TeamShare] {
	return inifile.SectionSchema[TeamShare]{
		Name:     TeamSection,
		Repeated: true,
		Text:     "A team's share of the service; the argument is the team's name.",
		Keys: []inifile.KeySchema[TeamShare]{
			inifile.Int("weight", "share", 1, 1, 1000, "Share of the service when teams contend for it.", func(t *TeamShare) *int { return &t.Weight }),
			inifile.Int("limit", "requests a daemon", 0, 0, 100000, "Requests of the team in progress; 0 for no limit.", func(t *TeamShare) *int { return &t.Limit }),
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
