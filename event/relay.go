package event

import "github.com/sirupsen/logrus"

// Events of package relay.
var (
	RelayStarted = define(1800, logrus.WarnLevel, "store calls go through other daemons", "The store refuses this daemon's calls or does not respond to them; they go through peers until the store responds.")
	RelayEnded   = define(1801, logrus.InfoLevel, "store is called directly again", "The store responds to this daemon again.")
)
