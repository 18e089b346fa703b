package event

import "github.com/sirupsen/logrus"

// Events of package placement.
var (
	PlacementSuspected = define(1900, logrus.InfoLevel, "replica suspected", "It broke off or did not answer; it gets no work for that long while others can take it.")
	PlacementCleared   = define(1901, logrus.InfoLevel, "replica no longer suspected", "It answered; failures counts those in a row before.")
)
