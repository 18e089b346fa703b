package daemon

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/document/inifile"
)

// Bounds of the durations in the settings.
const (
	shortest = time.Millisecond
	longest  = 24 * time.Hour
)

// SettingsSections returns the table of all sections and keys of the settings.
func SettingsSections() []inifile.SectionSchema[Settings] {
	return []inifile.SectionSchema[Settings]{
		instanceSection(),
		platformSection(),
		peersSection(),
		backendsSection(),
		weightsSection(),
		claimsSection(),
		rolloutSection(),
		alarmsSection(),
		logSection(),
	}
}

func duration(name string, preset time.Duration, text string, field func(*Settings) *time.Duration) inifile.KeySchema[Settings] {
	return inifile.Duration(name, preset, shortest, longest, text, field)
}

func address(name, text string, field func(*Settings) *string) inifile.KeySchema[Settings] {
	return inifile.Required(inifile.Address(name, text, field))
}

func instanceSection() inifile.SectionSchema[Settings] {
	folder := func(s *Settings) *string { return &s.Daemon.DataFolder }
	return inifile.SectionSchema[Settings]{
		Name: "daemon",
		Text: "This process.",
		Keys: []inifile.KeySchema[Settings]{
			inifile.Required(inifile.Name("id", "Unique among all daemons.", func(s *Settings) *string { return &s.Daemon.ID })),
			address("http_address", "Listens for callers, trainers and operators.", func(s *Settings) *string { return &s.Daemon.HTTPAddress }),
			address("peer_address", "Listens for other daemons.", func(s *Settings) *string { return &s.Daemon.PeerAddress }),
			inifile.Required(inifile.Name("region", "Region of this instance.", func(s *Settings) *string { return &s.Daemon.Region })),
			inifile.Required(inifile.Name("failure_domain", "Failure domain of this instance.", func(s *Settings) *string { return &s.Daemon.FailureDomain })),
			inifile.Text("data_folder", "path", "Folder for bulk data; empty when the instance keeps nothing. No module keeps any yet.", folder),
			inifile.Duration("drain_time", 30*time.Second, 0, longest, "Requests in progress may take this long at a stop, or as long as a document allows.", func(s *Settings) *time.Duration { return &s.Daemon.DrainTime }),
			inifile.Duration("drain_notice", time.Second, 0, time.Minute, "The health check fails this long before new work is refused.", func(s *Settings) *time.Duration { return &s.Daemon.DrainNotice }),
			duration("caller_progress", 30*time.Second, "Longest silence of a caller that sends a request or takes an answer; then its connection is closed.", func(s *Settings) *time.Duration { return &s.Daemon.CallerProgress }),
		},
	}
}

func platformSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name: "platform",
		Text: "The platform's object API, instance list and weight store.",
		Keys: []inifile.KeySchema[Settings]{
			address("address", "Object API and instance list.", func(s *Settings) *string { return &s.Platform.Address }),
			address("weight_address", "Weight store.", func(s *Settings) *string { return &s.Platform.WeightAddress }),
			duration("call_timeout", 2*time.Second, "Longest wait for one call.", func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }),
			duration("progress", 5*time.Second, "Longest silence of a watch.", func(s *Settings) *time.Duration { return &s.Platform.Progress }),
			inifile.Int("read_rate", "reads a second", 200, 0, 100000, "Most reads of this daemon; 0 for no limit.", func(s *Settings) *int { return &s.Platform.ReadRate }),
			inifile.Int("write_rate", "writes a second", 50, 0, 100000, "Most writes of this daemon; 0 for no limit.", func(s *Settings) *int { return &s.Platform.WriteRate }),
		},
	}
}

func peersSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name: "peers",
		Text: "Waits on other daemons.",
		Keys: []inifile.KeySchema[Settings]{
			duration("connect", time.Second, "Longest wait for a connection.", func(s *Settings) *time.Duration { return &s.Peers.Connect }),
			duration("progress", 3*time.Second, "Longest silence of a connection with a call in progress.", func(s *Settings) *time.Duration { return &s.Peers.Progress }),
			duration("report_interval", time.Second, "Between two reports to the collector.", func(s *Settings) *time.Duration { return &s.Peers.ReportInterval }),
			duration("list_interval", time.Second, "Between two reads of the instance list by a collector.", func(s *Settings) *time.Duration { return &s.Peers.ListInterval }),
			duration("member_timeout", 4*time.Second, "Silence after which a member counts as gone.", func(s *Settings) *time.Duration { return &s.Peers.MemberTimeout }),
			duration("isolation_limit", 10*time.Second, "Without platform and peers before new work is refused.", func(s *Settings) *time.Duration { return &s.Peers.IsolationLimit }),
			duration("direct_interval", 2*time.Second, "Between two reads of the platform by a member without collectors.", func(s *Settings) *time.Duration { return &s.Peers.DirectInterval }),
		},
	}
}

func backendsSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name: "backends",
		Text: "Waits on backend servers and the choice among them.",
		Keys: []inifile.KeySchema[Settings]{
			duration("connect", time.Second, "Longest wait for a connection.", func(s *Settings) *time.Duration { return &s.Backends.Connect }),
			duration("first_byte", 10*time.Second, "Longest wait for response headers.", func(s *Settings) *time.Duration { return &s.Backends.FirstByte }),
			duration("progress", 5*time.Second, "Longest silence within a response.", func(s *Settings) *time.Duration { return &s.Backends.Progress }),
			duration("poll_interval", time.Second, "Between two status polls of an engine.", func(s *Settings) *time.Duration { return &s.Backends.PollInterval }),
			inifile.Choice("policy", []Policy{Affinity, Random, RoundRobin, LeastLoad}, Affinity, "How a backend server is chosen; all but affinity are for comparison.", func(s *Settings) *Policy { return &s.Backends.Policy }),
			inifile.Float("load_bound", "ratio", 1.25, 1, 100, "Load of a server over the mean before its keys spill over.", func(s *Settings) *float64 { return &s.Backends.LoadBound }),
		},
	}
}

func weightsSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name: "weights",
		Text: "Staging and activation of weight versions.",
		Keys: []inifile.KeySchema[Settings]{
			duration("poll_interval", time.Second, "Between two reads of the weight store by a pool's keeper.", func(s *Settings) *time.Duration { return &s.Weights.PollInterval }),
			duration("lease", 5*time.Second, "Validity of a keeper's lease.", func(s *Settings) *time.Duration { return &s.Weights.Lease }),
			inifile.Int("stage_at_once", "backend servers", 4, 1, 1000, "Servers that load from the weight store at a time.", func(s *Settings) *int { return &s.Weights.StageAtOnce }),
		},
	}
}

func claimsSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name: "claims",
		Text: "The claim journal of non-idempotent requests; the same on all daemons.",
		Keys: []inifile.KeySchema[Settings]{
			inifile.Int("shards", "shards a service", 8, 1, 1024, "Parts of the journal, each with a keeper.", func(s *Settings) *int { return &s.Claims.Shards }),
			duration("batch_interval", 5*time.Millisecond, "Longest wait of a claim for its batch.", func(s *Settings) *time.Duration { return &s.Claims.BatchInterval }),
		},
	}
}

func rolloutSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name: "rollout",
		Text: "Samples for trainers. The switches are for comparison; leave them on.",
		Keys: []inifile.KeySchema[Settings]{
			inifile.Int("groups_in_progress", "groups", 64, 1, 10000, "Groups that this daemon runs at a time.", func(s *Settings) *int { return &s.Rollout.GroupsInProgress }),
			inifile.Bool("hedging", true, "A sample that straggles may get a second attempt.", func(s *Settings) *bool { return &s.Rollout.Hedging }),
			inifile.Bool("cut_stale", true, "Samples that are over the staleness bound already are cancelled.", func(s *Settings) *bool { return &s.Rollout.CutStale }),
			inifile.Bool("freshness", true, "The preference for staleness takes effect.", func(s *Settings) *bool { return &s.Rollout.Freshness }),
		},
	}
}

func alarmsSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name: "alarms",
		Text: "When alarms are raised and cleared.",
		Keys: []inifile.KeySchema[Settings]{
			duration("clear_after", 30*time.Second, "An alarm clears when its promise was not broken again for this long.", func(s *Settings) *time.Duration { return &s.Alarms.ClearAfter }),
			duration("in_force", 10*time.Second, "A document is in force on all daemons within this, or an alarm is raised.", func(s *Settings) *time.Duration { return &s.Alarms.InForce }),
			inifile.Int("unanswered", "percent of requests", 5, 1, 100, "Requests of a service that may stay unanswered before an alarm is raised.", func(s *Settings) *int { return &s.Alarms.Unanswered }),
		},
	}
}

func logSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name: "log",
		Text: "Log entries on standard error.",
		Keys: []inifile.KeySchema[Settings]{
			inifile.Choice("level", []LogLevel{"error", "warn", "info", "debug"}, "info", "Least severe level that is written.", func(s *Settings) *LogLevel { return &s.Log.Level }),
			inifile.Choice("format", []LogFormat{"text", "json"}, "text", "Form of the entries.", func(s *Settings) *LogFormat { return &s.Log.Format }),
		},
	}
}
