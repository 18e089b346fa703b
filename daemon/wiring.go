package daemon

import (
	"io"
	"net"
	"time"

	"go.uber.org/dig"

	"github.com/hornbeamtide/hornbeamtide/admission"
	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/claims"
	"github.com/hornbeamtide/hornbeamtide/dispatch"
	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/fleet"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/peer"
	"github.com/hornbeamtide/hornbeamtide/platform"
	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/routing"
	"github.com/hornbeamtide/hornbeamtide/weights"
)

// Limits and intervals without a setting.
const (
	subsetSize           = 24              // replicas of a pool that one daemon uses for unkeyed requests
	collectorsPerDomain  = 2               // collectors in each failure domain
	stepRetention        = 2 * time.Hour   // an idle step is removed after this time
	tokenStoreInterval   = 5 * time.Second // between writes of a trainer's newest token to the store
	claimRetention       = 24 * time.Hour  // a claimed request key is kept for this long
	inForceCheckInterval = time.Second     // between checks of where documents are in force
	minUnanswered        = 20              // minimum number of unanswered requests of a service in unansweredWindow that raises an alarm
	unansweredWindow     = time.Minute
)

// listeners are bound before any module is constructed, so that a bind error leaves no
// module behind.
type listeners struct {
	http net.Listener
	peer net.Listener
}

func (l listeners) close() {
	_ = l.http.Close()
	_ = l.peer.Close()
}

// modules holds the modules of a daemon.
type modules struct {
	dig.In

	Client    *platform.Client
	Conns     *peer.Pool
	Server    *peer.Server
	Fleet     *fleet.Manager
	View      fleet.View
	Documents fleet.Documents
	Admin     fleet.DocumentAdmin
	Routing   *routing.Store
	Admission *admission.Controller
	Backends  *backend.Client
	Claims    *claims.Manager
	Dispatch  *dispatch.Manager
	Rollout   *rollout.Manager
	Weights   *weights.Manager
	Alarms    *alarm.Manager
	InForce   *alarm.InForceWatch
	Answers   *alarm.AnswerBudget
}

// wire constructs the modules from the settings.
func wire(s Settings, l listeners, log *event.Logger) (modules, error) {
	container := dig.New()
	for _, provider := range providers(s, l, log) {
		if err := container.Provide(provider.constructor, provider.options...); err != nil {
			return modules{}, err
		}
	}
	var built modules
	err := container.Invoke(func(m modules) { built = m })
	return built, dig.RootCause(err)
}

type provider struct {
	constructor any
	options     []dig.ProvideOption
}

func provide(constructor any) provider { return provider{constructor: constructor} }

// provideAs makes a provided *T available as each of the given interfaces.
func provideAs[T any](interfaces ...any) provider {
	identity := func(value *T) *T { return value }
	return provider{identity, []dig.ProvideOption{dig.As(interfaces...)}}
}

func providers(s Settings, l listeners, log *event.Logger) []provider {
	return []provider{
		provide(func() *event.Logger { return log }),
		provide(func() platform.Config { return platformConfig(s) }),
		provide(func() peer.Config {
			return peer.Config{ConnectTimeout: s.Peers.Connect, ProgressTimeout: s.Peers.Progress}
		}),
		provide(func() fleet.Config { return fleetConfig(s, l) }),
		provide(func() routing.Config { return routingConfig(s) }),
		provide(func() backend.Timeouts { return backendTimeouts(s) }),
		provide(func() claims.Config { return claimsConfig(s) }),
		provide(func() rollout.Config { return rolloutConfig(s) }),
		provide(func() weights.Config { return weightsConfig(s) }),
		provide(func() alarm.Config { return alarm.Config{ClearAfter: s.Alarms.ClearAfter} }),

		provide(platform.NewClient),
		provideAs[platform.Client](new(objectapi.ObjectStore), new(objectapi.InstanceList), new(objectapi.WeightStore)),
		provide(peer.NewPool),
		provideAs[peer.Pool](new(peer.ConnProvider)),
		provide(peer.NewServer),
		provide(fleet.NewManager),
		provideAs[fleet.Manager](new(fleet.View), new(fleet.Documents), new(fleet.DocumentAdmin)),
		provide(backend.NewClient),
		provideAs[backend.Client](new(backend.Dialer)),
		provide(routing.NewStore),
		provideAs[routing.Store](new(routing.Picker), new(weights.ReplicaGate)),
		provide(func(log *event.Logger, view fleet.View) *admission.Controller {
			return admission.NewController(log, admission.WithView(view))
		}),
		provideAs[admission.Controller](new(admission.Admitter)),
		provide(claims.NewManager),
		provideAs[claims.Manager](new(claims.Claimer)),
		provide(func() alarm.InForceConfig {
			return alarm.InForceConfig{MaxDelay: s.Alarms.InForce, Interval: inForceCheckInterval}
		}),
		provide(alarm.NewInForceWatch),
		provide(func() alarm.AnswerConfig {
			return alarm.AnswerConfig{MaxUnansweredPercent: s.Alarms.Unanswered, MinUnanswered: minUnanswered, Window: unansweredWindow}
		}),
		provide(alarm.NewAnswerBudget),
		provide(alarm.NewManager),
		provideAs[alarm.Manager](new(alarm.Recorder)),
		provide(newDispatch),
		provideAs[dispatch.Manager](new(dispatch.Generator)),
		provide(newWeights),
		provideAs[weights.Manager](new(weights.Versions)),
		provide(newRollout),
	}
}

type dispatchDeps struct {
	dig.In

	View      fleet.View
	Documents fleet.Documents
	Picker    routing.Picker
	Admitter  admission.Admitter
	Claimer   claims.Claimer
	Backends  backend.Dialer
	Recorder  alarm.Recorder
	Log       *event.Logger
}

func newDispatch(deps dispatchDeps) *dispatch.Manager {
	return dispatch.NewManager(dispatch.Dependencies{
		View: deps.View, Documents: deps.Documents, Picker: deps.Picker, Admitter: deps.Admitter,
		Claimer: deps.Claimer, Backends: deps.Backends, Recorder: deps.Recorder, Log: deps.Log,
	})
}

type weightsDeps struct {
	dig.In

	View        fleet.View
	Documents   fleet.Documents
	ObjectStore objectapi.ObjectStore
	WeightStore objectapi.WeightStore
	Backends    backend.Dialer
	Gate        weights.ReplicaGate
	Conns       peer.ConnProvider
	Log         *event.Logger
}

func newWeights(config weights.Config, deps weightsDeps) *weights.Manager {
	return weights.NewManager(config, weights.Dependencies{
		View: deps.View, Documents: deps.Documents, ObjectStore: deps.ObjectStore, WeightStore: deps.WeightStore,
		Backends: deps.Backends, Gate: deps.Gate, Conns: deps.Conns, Log: deps.Log,
	})
}

type rolloutDeps struct {
	dig.In

	View        fleet.View
	Documents   fleet.Documents
	Generator   dispatch.Generator
	Versions    weights.Versions
	ObjectStore objectapi.ObjectStore
	Conns       peer.ConnProvider
	Recorder    alarm.Recorder
	Log         *event.Logger
}

func newRollout(config rollout.Config, deps rolloutDeps) *rollout.Manager {
	return rollout.NewManager(config, rollout.Dependencies{
		View: deps.View, Documents: deps.Documents, Generator: deps.Generator, Versions: deps.Versions,
		ObjectStore: deps.ObjectStore, Conns: deps.Conns, Recorder: deps.Recorder, Log: deps.Log,
	})
}

// newLogger returns this daemon's own logger with the level and format of the settings.
func newLogger(s Settings, output io.Writer) *event.Logger {
	return event.NewLogger(event.NewLogrus(output, string(s.Log.Level), string(s.Log.Format)), event.F("daemon", s.Daemon.ID))
}
