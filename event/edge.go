package event

import "github.com/sirupsen/logrus"

// Events of package edge.
var (
	EdgeStarted              = define(1700, logrus.InfoLevel, "edge daemon started", "The daemon listens; it is ready once configuration and replicas are known.")
	EdgeStopped              = define(1701, logrus.InfoLevel, "edge daemon stopped", "Its batches were handed over and its requests ended.")
	EdgeConfiguration        = define(1702, logrus.InfoLevel, "configuration in force", "A newer version of the configuration is in force on this daemon.")
	EdgeConfigurationRefused = define(1703, logrus.ErrorLevel, "configuration can't be read", "The older one stays in force; check who wrote the object.")
	EdgeReplica              = define(1704, logrus.InfoLevel, "replica's entry changed", "What the replica says of itself now.")
	EdgeReplicaGone          = define(1705, logrus.InfoLevel, "replica's entry is gone", "The replica gets no new work.")
	EdgeEntryUnreadable      = define(1706, logrus.WarnLevel, "entry names no replica", "Another writer made the entry, or fields are missing; the other entries hold.")
	EdgeRetired              = define(1707, logrus.InfoLevel, "instance reported as emptied", "Nothing that must last is kept on its disk; it may be removed.")
)
