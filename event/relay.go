package event

import "github.com/sirupsen/logrus"

// Events of package relay.
var (
	RelayStarted = define(1800, logrus.WarnLevel, "store is called over other daemons", "The store turns this daemon away or does not answer it; its calls go over peers until it does.")
	RelayEnded   = define(1801, logrus.InfoLevel, "store is called directly again", "The store answers this daemon again.")
)
