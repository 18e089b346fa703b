package event

import "github.com/sirupsen/logrus"

// Events of package relay.
var (
	RelayStarted = define(1800, logrus.WarnLevel, "store calls go through other daemons", "The store refuses this daemon or does not answer it; its calls go through peers until the store answers.")
	RelayEnded   = define(1801, logrus.InfoLevel, "store is called directly again", "The store answers this daemon again.")
)
