package daemon

import (
	"os"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document/inifile"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	Daemon   DaemonSettings
	Platform PlatformSettings
	Peers    PeerSettings
	Backends BackendSettings
	Weights  WeightSettings
	Claims   ClaimSettings
	Rollout  RolloutSettings
	Alarms   AlarmSettings
	Log      LogSettings
}

// DaemonSettings holds the [daemon] section.
type DaemonSettings struct {
	ID             string
	HTTPAddress    string // IP:port; port 0 selects a free port
	PeerAddress    string // IP:port; port 0 selects a free port
	Region         string
	FailureDomain  string
	DataFolder     string // empty if nothing is stored
	DrainTime      time.Duration
	DrainNotice    time.Duration
	CallerProgress time.Duration
}

// PlatformSettings holds the [platform] section.
type PlatformSettings struct {
	Address       string
	WeightAddress string
	CallTimeout   time.Duration
	Progress      time.Duration
	ReadRate      int
	WriteRate     int
}

// PeerSettings holds the [peers] section.
type PeerSettings struct {
	Connect        time.Duration
	Progress       time.Duration
	ReportInterval time.Duration
	ListInterval   time.Duration
	MemberTimeout  time.Duration
	IsolationLimit time.Duration
	DirectInterval time.Duration
}

// Policy selects how a backend server is chosen for a request.
type Policy string

// The policies.
const (
	PolicyAffinity   Policy = "affinity"
	PolicyRandom     Policy = "random"
	PolicyRoundRobin Policy = "round_robin"
	PolicyLeastLoad  Policy = "least_load"
)

// BackendSettings holds the [backends] section.
type BackendSettings struct {
	Connect      time.Duration
	FirstByte    time.Duration
	Progress     time.Duration
	PollInterval time.Duration
	Policy       Policy
	LoadBound    float64
}

// WeightSettings holds the [weights] section.
type WeightSettings struct {
	PollInterval time.Duration
	Lease        time.Duration
	StageAtOnce  int
}

// ClaimSettings holds the [claims] section.
type ClaimSettings struct {
	Shards        int
	BatchInterval time.Duration
}

// RolloutSettings holds the [rollout] section.
type RolloutSettings struct {
	GroupsInProgress int
	Hedging          bool
	CutStale         bool
	Freshness        bool
}

// AlarmSettings holds the [alarms] section.
type AlarmSettings struct {
	ClearAfter time.Duration
	InForce    time.Duration
	Unanswered int // percent of a service's requests
}

// LogLevel is the least severe level that is logged.
type LogLevel string

// LogFormat is the format of log entries.
type LogFormat string

// LogSettings holds the [log] section.
type LogSettings struct {
	Level  LogLevel
	Format LogFormat
}

// LoadSettings reads and validates a settings file. It returns fault.Unrecognized for
// unknown sections and keys and fault.Invalid for other errors; errors in the
// content name the file, the line and a remedy.
func LoadSettings(path string) (Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(err, fault.Invalid, "cannot read the settings file", "name an existing settings file", fault.WithOutcome(fault.NotRun))
	}
	return ParseSettings(path, source)
}

// ParseSettings is LoadSettings for the content of a file; errors use name as its name.
func ParseSettings(name string, source []byte) (Settings, error) {
	file, err := inifile.Load(name, source)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	if err := inifile.ApplyAll(file, SettingsSchemas(), &s); err != nil {
		return Settings{}, err
	}
	if err := s.checkDataFolder(file); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func (s *Settings) checkDataFolder(file *inifile.File) error {
	folder := s.Daemon.DataFolder
	if folder == "" {
		return nil
	}
	info, err := os.Stat(folder)
	if err == nil && info.IsDir() {
		return nil
	}
	line := file.LineOf("daemon", "data_folder")
	return inifile.Errorf(fault.Invalid, file.Name, line, "create the folder or leave the value empty", "data_folder: %q is not a folder", folder)
}
