package event

import "github.com/sirupsen/logrus"

// Events of package placement.
var (
	PlacementSuspected = define(1900, logrus.InfoLevel, "replica suspected", "The replica did not respond or its response was incomplete; it gets no work for for_ms while other replicas can take it.")
	PlacementCleared   = define(1901, logrus.InfoLevel, "replica no longer suspected", "The replica responded; failures is the number of consecutive failures before that.")
	PlacementLeaving   = define(1902, logrus.InfoLevel, "replica announced that it is leaving", "A response of the replica said so, to this daemon (source replica) or to another one (source daemon). This incarnation of it, with this born and address, gets no new work, also while the store says that it is ready.")
)
