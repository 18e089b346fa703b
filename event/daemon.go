package event

import "github.com/sirupsen/logrus"

// Events of package daemon.
var (
	DaemonStarted = define(100, logrus.InfoLevel, "daemon started", "The daemon listens and takes work.")
	DaemonStopped = define(101, logrus.InfoLevel, "daemon stopped", "All requests in progress ended and the daemon exits.")
)
