package daemon

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/document/inifile"
)

// Allowed range of most durations in the settings.
const (
	minDuration = time.Millisecond
	maxDuration = 24 * time.Hour
)

// SettingsSchemas returns the schemas of all sections of the settings file.
func SettingsSchemas() []inifile.SectionSchema[Settings] {
	return []inifile.SectionSchema[Settings]{
		daemonSection(),
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

func duration(name string, defaultValue time.Duration, description string, field func(*Settings) *time.Duration) inifile.KeySchema[Settings] {
	return inifile.Duration(name, defaultValue, minDuration, maxDuration, description, field)
}

func address(name, description string, field func(*Settings) *string) inifile.KeySchema[Settings] {
	return inifile.Required(inifile.Address(name, description, field))
}

func daemonSection() inifile.SectionSchema[Settings] {
	dataFolder := func(s *Settings) *string { return &s.Daemon.DataFolder }
	return inifile.SectionSchema[Settings]{
		Name:        "daemon",
		Description: "The daemon process.",
		Keys: []inifile.KeySchema[Settings]{
			inifile.Required(inifile.Name("id", "Unique among all daemons.", func(s *Settings) *string { return &s.Daemon.ID })),
			address("http_address", "Listen address for callers, trainers and operators.", func(s *Settings) *string { return &s.Daemon.HTTPAddress }),
			address("peer_address", "Listen address for other daemons.", func(s *Settings) *string { return &s.Daemon.PeerAddress }),
			inifile.Required(inifile.Name("region", "Region of this instance.", func(s *Settings) *string { return &s.Daemon.Region })),
			inifile.Required(inifile.Name("failure_domain", "Failure domain of this instance.", func(s *Settings) *string { return &s.Daemon.FailureDomain })),
			inifile.String("data_folder", "path", "Folder for bulk data; empty if the instance stores none. No module stores any yet.", dataFolder),
			inifile.Duration("drain_time", 30*time.Second, 0, maxDuration, "Maximum time for requests in flight to finish at a stop; a document may allow more.", func(s *Settings) *time.Duration { return &s.Daemon.DrainTime }),
			inifile.Duration("drain_notice", time.Second, 0, time.Minute, "Time between the first failing health check and the refusal of new work at a stop.", func(s *Settings) *time.Duration { return &s.Daemon.DrainNotice }),
			duration("caller_progress", 30*time.Second, "Maximum time without progress of a caller that sends a request or reads a response; then its connection is closed.", func(s *Settings) *time.Duration { return &s.Daemon.CallerProgress }),
		},
	}
}

func platformSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name:        "platform",
		Description: "The platform's object API, instance list and weight store.",
		Keys: []inifile.KeySchema[Settings]{
			address("address", "Object API and instance list.", func(s *Settings) *string { return &s.Platform.Address }),
			address("weight_address", "Weight store.", func(s *Settings) *string { return &s.Platform.WeightAddress }),
			duration("call_timeout", 2*time.Second, "Timeout of one call.", func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }),
			duration("progress", 5*time.Second, "Maximum time without data on a watch.", func(s *Settings) *time.Duration { return &s.Platform.Progress }),
			inifile.Int("read_rate", "reads a second", 200, 0, 100000, "Maximum read rate of this daemon; 0 for no limit.", func(s *Settings) *int { return &s.Platform.ReadRate }),
			inifile.Int("write_rate", "writes a second", 50, 0, 100000, "Maximum write rate of this daemon; 0 for no limit.", func(s *Settings) *int { return &s.Platform.WriteRate }),
		},
	}
}

func peersSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name:        "peers",
		Description: "Timeouts and intervals of communication with other daemons.",
		Keys: []inifile.KeySchema[Settings]{
			duration("connect", time.Second, "Timeout for establishing a connection.", func(s *Settings) *time.Duration { return &s.Peers.Connect }),
			duration("progress", 3*time.Second, "Maximum time without data on a connection with a call in flight.", func(s *Settings) *time.Duration { return &s.Peers.Progress }),
			duration("report_interval", time.Second, "Interval between reports to the collector.", func(s *Settings) *time.Duration { return &s.Peers.ReportInterval }),
			duration("list_interval", time.Second, "Interval between reads of the instance list by a collector.", func(s *Settings) *time.Duration { return &s.Peers.ListInterval }),
			duration("member_timeout", 4*time.Second, "Time without contact after which a member is no longer considered live.", func(s *Settings) *time.Duration { return &s.Peers.MemberTimeout }),
			duration("isolation_limit", 10*time.Second, "Time without contact with the platform or any peer after which new work is refused.", func(s *Settings) *time.Duration { return &s.Peers.IsolationLimit }),
			duration("direct_interval", 2*time.Second, "Interval between reads of the platform by a member without a collector.", func(s *Settings) *time.Duration { return &s.Peers.DirectInterval }),
		},
	}
}

func backendsSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name:        "backends",
		Description: "Timeouts of calls to backend servers, and the selection of servers.",
		Keys: []inifile.KeySchema[Settings]{
			duration("connect", time.Second, "Timeout for establishing a connection.", func(s *Settings) *time.Duration { return &s.Backends.Connect }),
			duration("first_byte", 10*time.Second, "Timeout for the response headers.", func(s *Settings) *time.Duration { return &s.Backends.FirstByte }),
			duration("progress", 5*time.Second, "Maximum time without data within a response.", func(s *Settings) *time.Duration { return &s.Backends.Progress }),
			duration("poll_interval", time.Second, "Interval between status polls of an engine.", func(s *Settings) *time.Duration { return &s.Backends.PollInterval }),
			inifile.Choice("policy", []Policy{PolicyAffinity, PolicyRandom, PolicyRoundRobin, PolicyLeastLoad}, PolicyAffinity, "How a backend server is selected; policies other than affinity are for comparison.", func(s *Settings) *Policy { return &s.Backends.Policy }),
			inifile.Float("load_bound", "ratio", 1.25, 1, 100, "Ratio of a server's load to the mean load above which its keys go to other servers.", func(s *Settings) *float64 { return &s.Backends.LoadBound }),
		},
	}
}

func weightsSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name:        "weights",
		Description: "Staging and activation of weight versions.",
		Keys: []inifile.KeySchema[Settings]{
			duration("poll_interval", time.Second, "Interval between reads of the weight store by the owner of a pool.", func(s *Settings) *time.Duration { return &s.Weights.PollInterval }),
			duration("lease", 5*time.Second, "Duration of the lease of a pool's owner.", func(s *Settings) *time.Duration { return &s.Weights.Lease }),
			inifile.Int("stage_at_once", "backend servers", 4, 1, 1000, "Maximum number of servers that load from the weight store at the same time.", func(s *Settings) *int { return &s.Weights.StageAtOnce }),
		},
	}
}

func claimsSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name:        "claims",
		Description: "The claim journal of non-idempotent requests; must be the same on all daemons.",
		Keys: []inifile.KeySchema[Settings]{
			inifile.Int("shards", "shards a service", 8, 1, 1024, "Shards of the journal, each with its own owner.", func(s *Settings) *int { return &s.Claims.Shards }),
			duration("batch_interval", 5*time.Millisecond, "Maximum time that a claim waits for its batch.", func(s *Settings) *time.Duration { return &s.Claims.BatchInterval }),
		},
	}
}

func rolloutSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name:        "rollout",
		Description: "Generation of samples for trainers. The switches are for comparison; leave them on.",
		Keys: []inifile.KeySchema[Settings]{
			inifile.Int("groups_in_progress", "groups", 64, 1, 10000, "Maximum number of groups that this daemon runs at the same time.", func(s *Settings) *int { return &s.Rollout.GroupsInProgress }),
			inifile.Bool("hedging", true, "A straggler may get a second attempt.", func(s *Settings) *bool { return &s.Rollout.Hedging }),
			inifile.Bool("cut_stale", true, "Samples that already exceed the staleness bound are canceled.", func(s *Settings) *bool { return &s.Rollout.CutStale }),
			inifile.Bool("freshness", true, "The staleness preference of a document is applied.", func(s *Settings) *bool { return &s.Rollout.Freshness }),
		},
	}
}

func alarmsSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name:        "alarms",
		Description: "When alarms are raised and cleared.",
		Keys: []inifile.KeySchema[Settings]{
			duration("clear_after", 30*time.Second, "An alarm clears when its promise has not been broken for this long.", func(s *Settings) *time.Duration { return &s.Alarms.ClearAfter }),
			duration("in_force", 10*time.Second, "An alarm is raised if a document is not in force on all daemons within this time.", func(s *Settings) *time.Duration { return &s.Alarms.InForce }),
			inifile.Int("unanswered", "percent of requests", 5, 1, 100, "Share of a service's requests that may stay unanswered before an alarm is raised.", func(s *Settings) *int { return &s.Alarms.Unanswered }),
		},
	}
}

func logSection() inifile.SectionSchema[Settings] {
	return inifile.SectionSchema[Settings]{
		Name:        "log",
		Description: "Log entries on standard error.",
		Keys: []inifile.KeySchema[Settings]{
			inifile.Choice("level", []LogLevel{"error", "warn", "info", "debug"}, "info", "Least severe level that is logged.", func(s *Settings) *LogLevel { return &s.Log.Level }),
			inifile.Choice("format", []LogFormat{"text", "json"}, "text", "Format of the entries.", func(s *Settings) *LogFormat { return &s.Log.Format }),
		},
	}
}
