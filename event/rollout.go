package event

import "github.com/sirupsen/logrus"

// Events of package rollout.
var (
	RolloutSessionOpened       = define(900, logrus.InfoLevel, "trainer session opened", "Older sessions of the trainer are refused from now on.")
	RolloutSessionFenced       = define(901, logrus.WarnLevel, "older trainer session refused", "A process of an older session called; stop it or let it open a new session.")
	RolloutStepOpened          = define(902, logrus.InfoLevel, "step opened", "This daemon owns the step and assigns its groups to runners.")
	RolloutStepRebuilt         = define(903, logrus.WarnLevel, "step rebuilt", "This daemon took over the step from its definition and the trainer's token.")
	RolloutStepComplete        = define(904, logrus.InfoLevel, "step complete", "All samples of the step were generated.")
	RolloutStepLate            = define(905, logrus.WarnLevel, "step late", "The step is not complete within its time limit; see the trainer_idle alarm.")
	RolloutStepExpired         = define(906, logrus.InfoLevel, "step expired", "The step was not requested within its retention time; a pull rebuilds it.")
	RolloutSampleFailed        = define(907, logrus.DebugLevel, "sample attempt failed", "The sample is generated again on another replica.")
	RolloutSampleStale         = define(908, logrus.InfoLevel, "sample over the staleness bound", "The sample is dropped and generated again.")
	RolloutSampleHedged        = define(909, logrus.DebugLevel, "straggler hedged", "A second attempt of the sample was started on another replica.")
	RolloutRunnerLost          = define(910, logrus.WarnLevel, "group runner lost", "The samples of the group that the runner held are generated again.")
	RolloutOwnerUnreachable    = define(911, logrus.WarnLevel, "step owner unreachable", "The next backup takes over the step.")
	RolloutDefinitionNotStored = define(912, logrus.WarnLevel, "step definition not stored", "The object API did not accept the definition; copies on other daemons remain.")
	RolloutDuplicateBlocked    = define(913, logrus.ErrorLevel, "duplicate sample blocked", "A sample that the trainer's token already contains was about to be sent again; report this as a defect.")
)
